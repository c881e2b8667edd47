// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"saddlevane/models/exchange"
)

// loadEvery is the time between two lines about the load of a process that holds the
// cell.
const loadEvery = 2 * time.Second

// load sums up what the process has to do, and how late it is.
type load struct {
	mu sync.Mutex
	// bytes are those that passed since the last line, by what was called.
	bytes map[string]*passed
	// The rest is the loop's own: how many events were taken since the last line, how
	// long they waited at most, and when the next line is due.
	events int
	waited time.Duration
	// plans is the time of all plans, longest that of the longest.
	plans, longest time.Duration
	noteAt         time.Time
}

// passed counts bytes.
type passed struct{ in, out atomic.Int64 }

// to returns the count of what is called.
func (l *load) to(name string) *passed {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bytes == nil {
		l.bytes = map[string]*passed{}
	}
	if l.bytes[name] == nil {
		l.bytes[name] = &passed{}
	}
	return l.bytes[name]
}

// took notes an event that has waited for the loop.
func (l *load) took(waited time.Duration) {
	l.events++
	l.waited = max(l.waited, waited)
}

// planned notes a plan.
func (l *load) planned(took time.Duration) {
	l.plans += took
	l.longest = max(l.longest, took)
}

// note returns the line about the load, and begins to count anew.
func (l *load) note(queued int, taken float64) exchange.LogEvent {
	l.mu.Lock()
	all := maps.Clone(l.bytes)
	l.mu.Unlock()
	in, out := map[string]int64{}, map[string]int64{}
	for name, p := range all {
		in[name], out[name] = p.in.Swap(0), p.out.Swap(0)
	}
	n := exchange.LogEvent{Message: "load of the process", Fields: []exchange.LogField{
		{Name: "events", Value: l.events},
		{Name: "waited_most", Value: l.waited.String()},
		{Name: "queued", Value: queued},
		{Name: "jobs_taken", Value: taken},
		{Name: "plans_took", Value: l.plans.String()},
		{Name: "longest_plan", Value: l.longest.String()},
		{Name: "bytes_in", Value: fmt.Sprint(in)},
		{Name: "bytes_out", Value: fmt.Sprint(out)},
	}}
	l.events, l.waited, l.plans, l.longest = 0, 0, 0, 0
	return n
}

// BytesTo returns what counts the bytes that pass on connections to what is called.
func (l *Loop) BytesTo(name string) func(in, out int) {
	p := l.load.to(name)
	return func(in, out int) {
		p.in.Add(int64(in))
		p.out.Add(int64(out))
		l.metrics.bytesPassed(name, in, out)
	}
}

// noteLoad writes the line about the load of a process that holds the cell, if it is due.
func (l *Loop) noteLoad(now time.Time) {
	if now.Before(l.load.noteAt) || !l.core.IsServing(now) {
		return
	}
	l.load.noteAt = now.Add(loadEvery)
	l.notes.write(l.load.note(len(l.events), l.gate.AdmittedShare()))
}

// admit returns a caller's new job as one that is not to be taken, if this box is behind
// with its work or the caller has been told by now that there was no answer in time. The
// reducer knows whether the job is new.
func (l *Loop) admit(now time.Time, waited time.Duration, e exchange.Event) exchange.Event {
	s, ok := e.(exchange.Submitted)
	if !ok {
		return e
	}
	if taken, after := l.gate.Admit(now, string(s.Submission.ID)); !taken {
		s.RetryAfter = after
	}
	if waited > l.settings.PeerTimeout {
		s.RetryAfter = max(s.RetryAfter, waited)
	}
	if s.RetryAfter > 0 {
		l.metrics.refused.Inc()
	}
	return s
}

// lookAtGate adapts the share of new jobs that is taken.
func (l *Loop) lookAtGate(now time.Time) {
	l.gate.RecordResponseTime(l.core.WorkerAnswerTime(now))
	if !l.gate.Update(now) {
		return
	}
	message := "the holder keeps up again"
	if l.gate.IsRefusing() {
		message = "the holder is behind and refuses new jobs in part"
	}
	l.notes.write(exchange.LogEvent{Message: message, Fields: []exchange.LogField{{Name: "jobs_taken", Value: l.gate.AdmittedShare()}}})
}
