// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"saddlevane/models/resource"
	"saddlevane/models/task"
	"saddlevane/models/worker"
	"saddlevane/modules/httpjson"
)

// maxSync bounds one Sync, in bytes.
const maxSync = 16 << 20

// Commands that a worker plays.
const (
	commandSleep = "sleep"
	commandServe = "serve"
	commandFail  = "fail"
)

// workerStandin is one worker of the platform.
type workerStandin struct {
	*http.ServeMux
	faults    faultBox
	name      string
	capacity  resource.Vector
	taskLease time.Duration

	mu      sync.Mutex
	holder  string
	epoch   int64
	until   time.Time
	seq     map[string]int64
	tasks   map[task.ID]*played
	history []*span
	excess  int64
}

// played is a task at a worker.
type played struct {
	start worker.Start
	state task.State
	endAt time.Time
	fails bool
	span  *span
}

// span is when a task ran, in milliseconds since 1970; End is 0 while it runs.
type span struct {
	Task  task.ID    `json:"task"`
	Start int64      `json:"start_ms"`
	End   int64      `json:"end_ms"`
	State task.State `json:"state"`
}

func newWorker(m member, taskLease time.Duration) *workerStandin {
	w := &workerStandin{
		ServeMux: http.NewServeMux(), name: m.Name, capacity: m.Capacity, taskLease: taskLease,
		seq: map[string]int64{}, tasks: map[task.ID]*played{},
	}
	w.HandleFunc("POST /v1/sync", w.sync)
	w.HandleFunc("POST /admin/faults", w.faults.serve)
	w.HandleFunc("GET /admin/history", w.showHistory)
	return w
}

func (w *workerStandin) sync(rw http.ResponseWriter, r *http.Request) {
	if !w.faults.before(rw) {
		return
	}
	var s worker.Sync
	if !httpjson.Decode(rw, r, maxSync, &s) {
		return
	}
	w.faults.answer(rw, w.apply(time.Now(), s))
}

func (w *workerStandin) apply(now time.Time, s worker.Sync) worker.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	report := worker.Report{Worker: w.name, Capacity: w.capacity, Leaving: w.faults.get().Leaving}
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
	for _, t := range w.tasks {
		report.Tasks = append(report.Tasks, worker.Item{
			Task: t.start.Task, State: t.state, Resources: t.start.Resources, Usage: t.start.Resources, Version: t.start.Version,
		})
	}
	if report.Tasks == nil {
		report.Tasks = []worker.Item{}
	}
	return report
}

// refusal says why a Sync is not applied, or "".
func (w *workerStandin) refusal(now time.Time, s worker.Sync) string {
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

func (w *workerStandin) take(now time.Time, s worker.Sync) []worker.Refusal {
	if s.Epoch == 0 {
		w.epoch++
		w.holder = s.Holder
	}
	w.until = now.Add(s.TTL.Duration())
	for _, id := range s.Acks {
		if t, ok := w.tasks[id]; ok && t.state != task.Running {
			delete(w.tasks, id)
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

func (w *workerStandin) start(now time.Time, s worker.Start) string {
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
	t := &played{start: s, state: task.Running, span: &span{Task: s.Task, Start: now.UnixMilli(), State: task.Running}}
	t.endAt, t.fails = plan(now, s.Command)
	t.fails = t.fails || w.faults.get().FailAll
	w.tasks[s.Task] = t
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

// advance ends what has ended by now, and stops everything once the lease has
// been gone too long.
func (w *workerStandin) advance(now time.Time) {
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

func (w *workerStandin) end(at time.Time, t *played, state task.State) {
	t.state = state
	t.span.End, t.span.State = max(at.UnixMilli(), t.span.Start), state
}

// history is the answer to GET /admin/history.
type history struct {
	Worker string `json:"worker"`
	Spans  []span `json:"spans"`
	// Excess counts starts that would have given the worker more than it has.
	Excess int64 `json:"excess"`
}

func (w *workerStandin) showHistory(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	w.advance(time.Now())
	h := history{Worker: w.name, Excess: w.excess, Spans: []span{}}
	for _, s := range w.history {
		h.Spans = append(h.Spans, *s)
	}
	w.mu.Unlock()
	slices.SortFunc(h.Spans, func(a, b span) int { return int(a.Start - b.Start) })
	httpjson.Write(rw, http.StatusOK, h)
}
