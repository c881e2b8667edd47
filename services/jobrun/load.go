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

// loadLogInterval is the time between two lines about the load of a process that holds the
// cell.
const loadLogInterval = 2 * time.Second

// loadStats sums up what the process has to do, and how late it is.
type loadStats struct {
	mu sync.Mutex
	// bytes are those that passed since the last line, by what was called.
	byteCounts map[string]*byteCount
	// The rest is the loop's own: how many events were taken since the last line, how
	// long they waited at most, and when the next line is due.
	eventCount int
	maxWait    time.Duration
	// plans is the time of all plans, longest that of the longest.
	passTime, longestPass time.Duration
	nextLogAt             time.Time
}

// byteCount counts bytes.
type byteCount struct{ in, out atomic.Int64 }

// bytesTo returns the count of what is called.
func (l *loadStats) bytesTo(name string) *byteCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byteCounts == nil {
		l.byteCounts = map[string]*byteCount{}
	}
	if l.byteCounts[name] == nil {
		l.byteCounts[name] = &byteCount{}
	}
	return l.byteCounts[name]
}

// recordEvent notes an event that has waited for the loop.
func (l *loadStats) recordEvent(waited time.Duration) {
	l.eventCount++
	l.maxWait = max(l.maxWait, waited)
}

// recordPass notes a plan.
func (l *loadStats) recordPass(took time.Duration) {
	l.passTime += took
	l.longestPass = max(l.longestPass, took)
}

// takeLogEvent returns the line about the load, and begins to count anew.
func (l *loadStats) takeLogEvent(queued int, taken float64) exchange.LogEvent {
	l.mu.Lock()
	all := maps.Clone(l.byteCounts)
	l.mu.Unlock()
	in, out := map[string]int64{}, map[string]int64{}
	for name, p := range all {
		in[name], out[name] = p.in.Swap(0), p.out.Swap(0)
	}
	n := exchange.LogEvent{Message: "load of the process", Fields: []exchange.LogField{
		{Name: "events", Value: l.eventCount},
		{Name: "waited_most", Value: l.maxWait.String()},
		{Name: "queued", Value: queued},
		{Name: "jobs_taken", Value: taken},
		{Name: "plans_took", Value: l.passTime.String()},
		{Name: "longest_plan", Value: l.longestPass.String()},
		{Name: "bytes_in", Value: fmt.Sprint(in)},
		{Name: "bytes_out", Value: fmt.Sprint(out)},
	}}
	l.eventCount, l.maxWait, l.passTime, l.longestPass = 0, 0, 0, 0
	return n
}

// ByteCounter returns what counts the bytes that pass on connections to what is called.
func (l *Loop) ByteCounter(name string) func(in, out int) {
	p := l.load.bytesTo(name)
	return func(in, out int) {
		p.in.Add(int64(in))
		p.out.Add(int64(out))
		l.metrics.recordBytes(name, in, out)
	}
}

// logLoad writes the line about the load of a process that holds the cell, if it is due.
func (l *Loop) logLoad(now time.Time) {
	if now.Before(l.load.nextLogAt) || !l.core.IsServing(now) {
		return
	}
	l.load.nextLogAt = now.Add(loadLogInterval)
	l.logWriter.write(l.load.takeLogEvent(len(l.events), l.gate.AdmittedShare()))
}

// applyOverload returns a caller's new job as one that is not to be taken, if this box is behind
// with its work or the caller has been told by now that there was no answer in time. The
// reducer knows whether the job is new.
func (l *Loop) applyOverload(now time.Time, waited time.Duration, e exchange.Event) exchange.Event {
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
		l.metrics.overloadRefusals.Inc()
	}
	return s
}

// updateGate adapts the share of new jobs that is taken.
func (l *Loop) updateGate(now time.Time) {
	l.gate.RecordResponseTime(l.core.WorkerAnswerTime(now))
	if !l.gate.Update(now) {
		return
	}
	message := "the holder keeps up again"
	if l.gate.IsRefusing() {
		message = "the holder is behind and refuses new jobs in part"
	}
	l.logWriter.write(exchange.LogEvent{Message: message, Fields: []exchange.LogField{{Name: "jobs_taken", Value: l.gate.AdmittedShare()}}})
}
