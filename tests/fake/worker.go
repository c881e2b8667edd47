// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package fake simulates a worker of the platform without its HTTP interface. The
// stand-in of the platform serves it over HTTP, and tests of the reducer call it directly.
// The caller passes the current time to each method that depends on it.
package fake

import (
	"slices"
	"strings"
	"time"

	"saddlevane/models/resource"
	"saddlevane/models/task"
	"saddlevane/models/worker"
)

// Commands that a worker simulates.
const (
	commandSleep = "sleep"
	commandServe = "serve"
	commandFail  = "fail"
)

// Worker is one worker of the platform. It is not safe for concurrent use.
type Worker struct {
	name string
	// incarnation is different after each restart.
	incarnation string
	capacity    resource.Vector
	// taskLease is how long tasks continue after the lease on the worker has expired.
	taskLease time.Duration
	// FailAll makes all tasks that it starts fail. Leaving makes its reports say that it
	// is leaving.
	FailAll, Leaving bool

	holder   string
	epoch    int64
	leaseEnd time.Time
	// lastSeq is the highest sequence number received from each holder.
	lastSeq map[string]int64
	tasks   map[task.ID]*taskEntry
	history []*Span
	// excessStarts counts starts that were refused for lack of free capacity.
	excessStarts int64
	// version counts changes of the task inventory.
	version int64
}

// taskEntry is a task on a worker, until its end is acknowledged.
type taskEntry struct {
	start worker.Start
	state task.State
	// endAt is when the task ends by itself, and willFail whether it then fails.
	endAt    time.Time
	willFail bool
	span     *Span
}

// Span is when a task ran, in Unix milliseconds. End is 0 while it runs.
type Span struct {
	Task  task.ID    `json:"task"`
	Start int64      `json:"start_ms"`
	End   int64      `json:"end_ms"`
	State task.State `json:"state"`
}

// NewWorker returns an incarnation of a worker, without tasks. Its tasks continue for taskLease after the
// lease on the worker has expired.
func NewWorker(name, incarnation string, capacity resource.Vector, taskLease time.Duration) *Worker {
	return &Worker{
		name: name, incarnation: incarnation, capacity: capacity, taskLease: taskLease,
		lastSeq: map[string]int64{}, tasks: map[task.ID]*taskEntry{}, version: 1,
	}
}

// Apply executes a Sync received at now and returns the answer.
func (w *Worker) Apply(now time.Time, s worker.Sync) worker.Report {
	w.Advance(now)
	report := worker.Report{Worker: w.name, Incarnation: w.incarnation, Capacity: w.capacity, Leaving: w.Leaving}
	if reason := w.refusalReason(now, s); reason != "" {
		report.Reason = reason
	} else {
		report.Granted = true
		report.Refused = w.applyGranted(now, s)
	}
	w.lastSeq[s.Holder] = max(w.lastSeq[s.Holder], s.Seq)
	report.Epoch, report.Holder = w.epoch, w.holder
	if now.Before(w.leaseEnd) {
		report.ExpiresIn = worker.MillisecondsOf(w.leaseEnd.Sub(now))
	}
	report.Version = w.version
	if report.Granted && s.KnownVersion == w.version && len(report.Refused) == 0 {
		report.Unchanged = true
		return report
	}
	for _, t := range w.tasks {
		report.Tasks = append(report.Tasks, worker.Item{
			Task: t.start.Task, State: t.state, Resources: t.start.Resources, Usage: t.start.Resources, Version: t.start.Version,
		})
	}
	return report
}

// refusalReason returns why a Sync is not applied, or "" if it is.
func (w *Worker) refusalReason(now time.Time, s worker.Sync) string {
	leased := w.holder != "" && now.Before(w.leaseEnd)
	switch {
	case s.Seq <= w.lastSeq[s.Holder]:
		return "the sync is older than another sync of the same holder"
	case s.TTL <= 0:
		return "the sync asks only for a report"
	case s.Incarnation != "" && s.Incarnation != w.incarnation:
		return "the sync is meant for another incarnation"
	case s.Epoch == 0 && leased && w.holder != s.Holder:
		return "another holder has the lease"
	case s.Epoch != 0 && (s.Epoch != w.epoch || s.Holder != w.holder):
		return "the epoch is not in force"
	case s.Epoch != 0 && !leased:
		return "the lease has expired"
	default:
		return ""
	}
}

// applyGranted executes a Sync that is not refused: it renews the lease, removes
// acknowledged tasks, and starts and stops tasks. It returns the refused starts.
func (w *Worker) applyGranted(now time.Time, s worker.Sync) []worker.Refusal {
	if s.Epoch == 0 {
		w.epoch++
		w.holder = s.Holder
	}
	w.leaseEnd = now.Add(s.TTL.Duration())
	for _, id := range s.Acks {
		if t, ok := w.tasks[id]; ok && t.state != task.Running {
			delete(w.tasks, id)
			w.version++
		}
	}
	var refused []worker.Refusal
	for _, start := range s.Starts {
		if reason := w.start(now, start); reason != "" {
			refused = append(refused, worker.Refusal{Task: start.Task, Reason: reason})
		}
	}
	for _, stop := range s.Stops {
		if t, ok := w.tasks[stop.Task]; ok && t.state == task.Running {
			w.end(now, t, task.Stopped)
		}
	}
	if s.Release {
		w.holder, w.leaseEnd = "", now
	}
	return refused
}

// start starts a task, unless the worker has it already, and returns why it is refused,
// or "".
func (w *Worker) start(now time.Time, s worker.Start) string {
	if _, ok := w.tasks[s.Task]; ok {
		return ""
	}
	used := s.Resources
	for _, t := range w.tasks {
		if t.state == task.Running {
			used = used.Plus(t.start.Resources)
		}
	}
	if !used.Fits(w.capacity) {
		w.excessStarts++
		return "the worker does not have enough free capacity"
	}
	t := &taskEntry{start: s, state: task.Running, span: &Span{Task: s.Task, Start: now.UnixMilli(), State: task.Running}}
	t.endAt, t.willFail = simulate(now, s.Command)
	t.willFail = t.willFail || w.FailAll
	w.tasks[s.Task] = t
	w.version++
	w.history = append(w.history, t.span)
	return ""
}

// simulate returns when a command that is started at now ends, and whether it fails then.
func simulate(now time.Time, command []string) (time.Time, bool) {
	switch command[0] {
	case commandServe:
		return now.Add(365 * 24 * time.Hour), false
	case commandFail:
		return now, true
	case commandSleep:
		if d, err := time.ParseDuration(strings.Join(command[1:], "")); err == nil {
			return now.Add(d), false
		}
	}
	return now, true
}

// Restart begins the given later incarnation of the worker under the same name: its runs, outcomes
// and lease are lost. Only History keeps the earlier runs.
func (w *Worker) Restart(now time.Time, incarnation string) {
	w.Advance(now)
	for _, t := range w.tasks {
		if t.state == task.Running {
			w.end(now, t, task.Stopped)
		}
	}
	later := NewWorker(w.name, incarnation, w.capacity, w.taskLease)
	later.FailAll, later.Leaving = w.FailAll, w.Leaving
	later.history, later.excessStarts = w.history, w.excessStarts
	*w = *later
}

// Advance ends the tasks whose time is over at now, and stops all tasks once the lease
// has been expired for longer than taskLease.
func (w *Worker) Advance(now time.Time) {
	expired := !w.leaseEnd.IsZero() && now.Sub(w.leaseEnd) > w.taskLease
	for _, t := range w.tasks {
		switch {
		case t.state != task.Running:
		case !now.Before(t.endAt) && t.willFail:
			w.end(t.endAt, t, task.Failed)
		case !now.Before(t.endAt):
			w.end(t.endAt, t, task.Done)
		case expired:
			w.end(w.leaseEnd.Add(w.taskLease), t, task.Stopped)
		}
	}
}

// end records that a task ended in the given state.
func (w *Worker) end(at time.Time, t *taskEntry, state task.State) {
	t.state = state
	w.version++
	t.span.End, t.span.State = max(at.UnixMilli(), t.span.Start), state
}

// ExcessStarts returns how many starts were refused because they would have exceeded the
// capacity of the worker.
func (w *Worker) ExcessStarts() int64 { return w.excessStarts }

// History returns when each task ran, sorted by start time.
func (w *Worker) History() []Span {
	all := make([]Span, 0, len(w.history))
	for _, s := range w.history {
		all = append(all, *s)
	}
	slices.SortStableFunc(all, func(a, b Span) int { return int(a.Start - b.Start) })
	return all
}

// Running returns the tasks that are running, in no particular order.
func (w *Worker) Running() []task.ID {
	var ids []task.ID
	for id, t := range w.tasks {
		if t.state == task.Running {
			ids = append(ids, id)
		}
	}
	return ids
}
