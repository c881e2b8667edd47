// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shard

import (
	"fmt"
	"slices"
	"time"

	"saddlevane/models/resource"
	"saddlevane/models/status"
	"saddlevane/models/task"
	"saddlevane/services/ledger"

	"github.com/RoaringBitmap/roaring/v2"
)

// Status returns the shard in short.
func (h *Holder) Status(now time.Time) status.Shard {
	s := status.Shard{
		ID: h.id.String(), Phase: string(h.phase), Workers: len(h.workers), Running: len(h.tasks),
		Packed: h.packedRatio(), Starts: h.counts.Starts, Lost: h.counts.Lost, Preemptions: h.counts.Preemptions,
		Takeovers: h.counts.Takeovers, Duplicates: h.counts.Duplicates,
	}
	if claim, ok := h.ledger.Claim(h.id); ok {
		s.Holder = claim.Box()
	}
	for _, w := range h.workers {
		if w.holdsLease(now) {
			s.Held++
		}
	}
	for _, o := range h.objects {
		s.Waiting += h.objectWork(o).Waiting
	}
	return s
}

// packedRatio returns the largest part of any resource of the held workers that is
// reserved.
func (h *Holder) packedRatio() float64 {
	var capacity, free resource.Vector
	for _, w := range h.workers {
		if w.adopted {
			capacity, free = capacity.Plus(w.node.Capacity()), free.Plus(w.node.Free())
		}
	}
	return capacity.Minus(free).DominantShare(capacity)
}

// Work returns what the shard knows of each object, oldest first.
func (h *Holder) Work() []status.Work {
	var all []status.Work
	for _, s := range h.ledger.Objects() {
		if o, ok := h.objects[s.ID()]; ok {
			all = append(all, h.objectWork(o))
		}
	}
	return all
}

func (h *Holder) objectWork(o *object) status.Work {
	p := h.ledger.Progress(o.spec.ID())
	home := roaring.New()
	for _, s := range o.ranges {
		home.AddRange(uint64(s.from), uint64(s.to))
	}
	w := status.Work{
		Object: o.spec.ID().String(), Kind: string(o.spec.Kind()), Team: o.spec.Work().Team,
		Priority: string(o.spec.Work().Priority), File: o.spec.File(), Shard: h.id.String(),
		Tasks: o.taskCount(), Running: o.active,
		Done:   int(roaring.And(home, p.Done()).GetCardinality()),
		Failed: int(roaring.And(home, p.Failed()).GetCardinality()),
	}
	unknown := h.unknownTasks(o, home, p)
	w.Unknown = len(unknown)
	for _, index := range unknown[:min(len(unknown), maxUnknownListed)] {
		w.UnknownTasks = append(w.UnknownTasks, taskKey(o, index).String())
	}
	if o.spec.Cancelled() {
		w.Reason = "cancelled"
		return w
	}
	w.Waiting = max(w.Tasks-w.Running-w.Done-w.Failed-w.Unknown-h.countUnrecorded(o), 0)
	if w.Waiting > 0 {
		since := o.waitingSince
		w.Since, w.Reason = &since, o.reason
	}
	return w
}

const maxUnknownListed = 20

// countUnrecorded counts the tasks of o that have ended, though the log does not say so
// yet.
func (h *Holder) countUnrecorded(o *object) int {
	n := 0
	for key := range h.outbox.unrecorded {
		if key.Object == o.spec.ID() {
			n++
		}
	}
	return n
}

// unknownTasks returns the tasks of o that may have run and have no outcome.
func (h *Holder) unknownTasks(o *object, home *roaring.Bitmap, p *ledger.Progress) []int {
	if o.spec.Repeatable() || h.phase != Active {
		return nil
	}
	open := roaring.AndNot(roaring.AndNot(roaring.And(home, p.Intents()), p.Done()), p.Failed())
	var all []int
	for it := open.Iterator(); it.HasNext(); {
		index := int(it.Next())
		if p.MayHaveStarted(index) && !h.hasAttempt(o, index) {
			all = append(all, index)
		}
	}
	return all
}

// Places returns the tasks that have places, up to most of them.
func (h *Holder) Places(most int) []status.Place {
	var all []status.Place
	for _, t := range h.tasks {
		if len(all) >= most {
			break
		}
		all = append(all, status.Place{Task: t.id.String(), Worker: t.worker.name, Stage: string(t.stage)})
	}
	slices.SortFunc(all, func(a, b status.Place) int {
		if a.Task < b.Task {
			return -1
		}
		return 1
	})
	return all
}

// Workers returns the shard's workers, up to most of them.
func (h *Holder) Workers(now time.Time, most int) []status.Worker {
	var all []status.Worker
	for _, w := range h.workers {
		if len(all) >= most {
			break
		}
		free := w.node.Free()
		all = append(all, status.Worker{
			Name: w.name, Held: w.holdsLease(now), Adopted: w.adopted, Epoch: w.epoch, Tasks: len(w.tasks),
			Free:    fmt.Sprintf("%s processors, %s, %d accelerators", free.Processors, free.Memory, free.Accelerators),
			Drained: w.drained, Quarantined: w.quarantinedUntil, Failing: w.lastFailure,
		})
	}
	slices.SortFunc(all, func(a, b status.Worker) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return all
}

// Explain says in one sentence why a task is where it is; false if the shard is
// not held here or the task is not at home in it.
func (h *Holder) Explain(key task.Key) (status.Explanation, bool) {
	o, ok := h.objects[key.Object]
	if !ok || !o.hasTask(key.Index) {
		return status.Explanation{}, false
	}
	e := status.Explanation{Task: key.String()}
	p := h.ledger.Progress(key.Object)
	t, placed := h.tasks[key]
	switch i := uint32(key.Index); {
	case p.Done().Contains(i):
		e.State, e.Why = string(task.Done), "It finished, and the log has taken that in."
	case p.Failed().Contains(i):
		e.State, e.Why = string(task.Failed), "It failed or was cancelled, and has no tries left."
	case placed:
		e.State, e.Why = string(t.stage), h.placeReason(t)
	case h.outbox.unrecorded[key]:
		e.State, e.Why = string(task.Running), "It has ended, and waits for the log to take that in."
	case o.spec.Cancelled():
		e.State, e.Why = string(task.Stopped), "Its file says that it is cancelled."
	case p.MayHaveStarted(key.Index) && !o.retries.has(key.Index) && h.phase == Active:
		e.State, e.Why = string(task.Unknown), "Its start was recorded, but no outcome is known; it may not be repeated, so it waits for an operator's file to settle it."
	default:
		e.State, e.Why = string(task.Waiting), h.waitingReason(o)
	}
	return e, true
}

func (h *Holder) placeReason(t *attempt) string {
	n := t.worker.node
	switch t.stage {
	case stageAwaitingIntent:
		return fmt.Sprintf("It has a place on %s and waits for the log to take in that it may start.", t.worker.name)
	case stageStopping:
		return fmt.Sprintf("It was told to stop on %s and keeps its place until the worker confirms.", t.worker.name)
	default:
		return fmt.Sprintf("It is on %s in rack %s, the tightest place found for %s processors and %s of memory.",
			t.worker.name, n.Rack(), t.resources.Processors, t.resources.Memory)
	}
}

func (h *Holder) waitingReason(o *object) string {
	if o.reason == "" {
		return "It has its turn after work of higher priority, of teams with a smaller share, or that is older."
	}
	return "It waits because " + o.reason + "."
}
