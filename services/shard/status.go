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

// Status returns a summary of the shard.
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

// packedRatio returns the reserved fraction of the capacity of the adopted workers, for the
// resource of which the largest fraction is reserved.
func (h *Holder) packedRatio() float64 {
	var capacity, free resource.Vector
	for _, w := range h.workers {
		if w.adopted {
			capacity, free = capacity.Plus(w.node.Capacity()), free.Plus(w.node.Free())
		}
	}
	return capacity.Minus(free).DominantShare(capacity)
}

// Work returns the state of each object of the shard, oldest first.
func (h *Holder) Work() []status.Work {
	var all []status.Work
	for _, s := range h.ledger.Objects() {
		if o, ok := h.objects[s.ID()]; ok {
			all = append(all, h.objectWork(o))
		}
	}
	return all
}

// objectWork returns the state of one object's tasks in the shard.
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

// maxUnknownListed limits how many unknown tasks of an object are listed by name.
const maxUnknownListed = 20

// countUnrecorded returns how many tasks of o have ended, but are not recorded in the log
// as ended yet.
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
	unsettled := roaring.AndNot(roaring.AndNot(roaring.And(home, p.Intents()), p.Done()), p.Failed())
	var all []int
	for it := unsettled.Iterator(); it.HasNext(); {
		index := int(it.Next())
		if p.MayHaveStarted(index) && !h.hasAttempt(o, index) {
			all = append(all, index)
		}
	}
	return all
}

// Places returns the tasks that have a place on a worker, at most limit of them.
func (h *Holder) Places(limit int) []status.Place {
	var all []status.Place
	for _, t := range h.tasks {
		if len(all) >= limit {
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

// Workers returns the shard's workers, at most limit of them.
func (h *Holder) Workers(now time.Time, limit int) []status.Worker {
	var all []status.Worker
	for _, w := range h.workers {
		if len(all) >= limit {
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

// Explain returns one sentence on why a task is in its state. It returns false if this process
// does not hold the shard or the task is not assigned to the shard.
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
		e.State, e.Why = string(task.Done), "It has finished, and the log has recorded it."
	case p.Failed().Contains(i):
		e.State, e.Why = string(task.Failed), "It has failed or was cancelled, and is not retried."
	case placed:
		e.State, e.Why = string(t.stage), h.placeReason(t)
	case h.outbox.unrecorded[key]:
		e.State, e.Why = string(task.Running), "It has ended, but the log has not recorded it yet."
	case o.spec.Cancelled():
		e.State, e.Why = string(task.Stopped), "It is cancelled in its file."
	case p.MayHaveStarted(key.Index) && !o.retries.has(key.Index) && h.phase == Active:
		e.State, e.Why = string(task.Unknown), "Its start was recorded, but its outcome is unknown. It may not be repeated, so it stays in this state until an operator publishes a file that settles it."
	default:
		e.State, e.Why = string(task.Waiting), h.waitingReason(o)
	}
	return e, true
}

// placeReason explains the place of an attempt.
func (h *Holder) placeReason(t *attempt) string {
	n := t.worker.node
	switch t.stage {
	case stageAwaitingIntent:
		return fmt.Sprintf("It has a place on %s and starts when the log has recorded the intent.", t.worker.name)
	case stageStopping:
		return fmt.Sprintf("It is being stopped on %s and keeps its place until the worker confirms that it has ended.", t.worker.name)
	default:
		return fmt.Sprintf("It is on %s in rack %s, the best place found for %s processors and %s of memory.",
			t.worker.name, n.Rack(), t.resources.Processors, t.resources.Memory)
	}
}

// waitingReason explains why tasks of o wait.
func (h *Holder) waitingReason(o *object) string {
	if o.reason == "" {
		return "It waits behind tasks that have a higher priority, belong to a team with a smaller share, or are older."
	}
	return "It waits because " + o.reason + "."
}
