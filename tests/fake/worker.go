// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package fake holds the platform's worker without its HTTP: what the stand-in
// serves, and what tests of the reducer talk to. Time is an argument.
package fake

import (
	"slices"
	"strings"
	"time"

	"saddlevane/models/resource"
	"saddlevane/models/task"
	"saddlevane/models/worker"
)

// Commands that a worker plays.
const (
	commandSleep = "sleep"
	commandServe = "serve"
	commandFail  = "fail"
)

// Worker is one worker of the platform. It is not safe for concurrent use.
type Worker struct {
	name      string
	capacity  resource.Vector
	taskLease time.Duration
	// FailAll makes it fail all that it starts, Leaving say that it leaves.
	FailAll, Leaving bool

	holder  string
	epoch   int64
	until   time.Time
	seq     map[string]int64
	tasks   map[task.ID]*played
	history []*Span
	excess  int64
	// version counts changes of the inventory.
	version int64
}

// played is a task at a worker.
type played struct {
	start worker.Start
	state task.State
	endAt time.Time
	fails bool
	span  *Span
}

// Span is when a task ran, in milliseconds since 1970; End is 0 while it runs.
type Span struct {
	Task  task.ID    `json:"task"`
	Start int64      `json:"start_ms"`
	End   int64      `json:"end_ms"`
	State task.State `json:"state"`
}

// NewWorker returns a worker that runs nothing.
func NewWorker(name string, capacity resource.Vector, taskLease time.Duration) *Worker {
	return &Worker{
		name: name, capacity: capacity, taskLease: taskLease,
		seq: map[string]int64{}, tasks: map[task.ID]*played{}, version: 1,
	}
}

// Apply takes a Sync at now and returns the answer.
func (w *Worker) Apply(now time.Time, s worker.Sync) worker.Report {
	w.Advance(now)
	report := worker.Report{Worker: w.name, Capacity: w.capacity, Leaving: w.Leaving}
	if reason := w.refusal(now, s); reason != "" {
		report.Reason = reason
	} else {
		report.Granted = true
		report.Refused = w.take(now, s)
	}
	w.seq[s.Holder] = max(w.seq[s.Holder], s.Seq)
	report.Epoch, report.Holder = w.epoch, w.holder
	if now.Before(w.until) {
		report.ExpiresIn = worker.MillisecondsOf(w.until.Sub(now))
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

// refusal says why a Sync is not applied, or "".
func (w *Worker) refusal(now time.Time, s worker.Sync) string {
	live := w.holder != "" && now.Before(w.until)
	switch {
	case s.Seq <= w.seq[s.Holder]:
		return "an older sync of the same holder"
	case s.TTL <= 0:
		return "only a report was asked for"
	case s.Epoch == 0 && live && w.holder != s.Holder:
		return "another holder has the lease"
	case s.Epoch != 0 && (s.Epoch != w.epoch || s.Holder != w.holder):
		return "the epoch is not in force"
	case s.Epoch != 0 && !live:
		return "the lease has lapsed"
	default:
		return ""
	}
}

func (w *Worker) take(now time.Time, s worker.Sync) []worker.Refusal {
	if s.Epoch == 0 {
		w.epoch++
		w.holder = s.Holder
	}
	w.until = now.Add(s.TTL.Duration())
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
		w.holder, w.until = "", now
	}
	return refused
}

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
		w.excess++
		return "the worker has not that much free"
	}
	t := &played{start: s, state: task.Running, span: &Span{Task: s.Task, Start: now.UnixMilli(), State: task.Running}}
	t.endAt, t.fails = plan(now, s.Command)
	t.fails = t.fails || w.FailAll
	w.tasks[s.Task] = t
	w.version++
	w.history = append(w.history, t.span)
	return ""
}

// plan says when a command ends, and whether it fails.
func plan(now time.Time, command []string) (time.Time, bool) {
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

// Advance ends what has ended by now, and stops everything once the lease has
// been gone too long.
func (w *Worker) Advance(now time.Time) {
	lapsed := !w.until.IsZero() && now.Sub(w.until) > w.taskLease
	for _, t := range w.tasks {
		switch {
		case t.state != task.Running:
		case !now.Before(t.endAt) && t.fails:
			w.end(t.endAt, t, task.Failed)
		case !now.Before(t.endAt):
			w.end(t.endAt, t, task.Done)
		case lapsed:
			w.end(w.until.Add(w.taskLease), t, task.Stopped)
		}
	}
}

func (w *Worker) end(at time.Time, t *played, state task.State) {
	t.state = state
	w.version++
	t.span.End, t.span.State = max(at.UnixMilli(), t.span.Start), state
}

// Excess returns how many starts would have given the worker more than it has.
func (w *Worker) Excess() int64 { return w.excess }

// History returns when each task ran, in order of start.
func (w *Worker) History() []Span {
	all := make([]Span, 0, len(w.history))
	for _, s := range w.history {
		all = append(all, *s)
	}
	slices.SortStableFunc(all, func(a, b Span) int { return int(a.Start - b.Start) })
	return all
}

// Running returns the tasks that run.
func (w *Worker) Running() []task.ID {
	var ids []task.ID
	for id, t := range w.tasks {
		if t.state == task.Running {
			ids = append(ids, id)
		}
	}
	return ids
}
