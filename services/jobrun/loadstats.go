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
	"saddlevane/modules/procusage"
)

// loadLogInterval is the time between two log lines about the load of the holder.
const loadLogInterval = 2 * time.Second

// loadStats collects what the process has done since its last log line about load.
type loadStats struct {
	mu sync.Mutex
	// byteCounts holds the bytes sent and received since the last line, by destination.
	byteCounts map[string]*byteCount
	// The fields below are used only by the goroutine of Loop.run. eventCount is the number
	// of events handled since the last line, maxWait the longest time that one of them waited
	// in the queue, maxQueued the largest number of waiting events.
	eventCount int
	maxWait    time.Duration
	maxQueued  int
	// submits is the number of submissions among these events, submitWait the total and
	// maxSubmitWait the longest time that they waited.
	submits                   int
	submitWait, maxSubmitWait time.Duration
	// passTime is the total time of the placement passes since the last line, longestPass the
	// time of the longest one.
	passTime, longestPass time.Duration
	nextLogAt             time.Time
	// countedFrom is when the statistics were last reset, processorTime the processor time that
	// the process had used by then.
	countedFrom   time.Time
	processorTime time.Duration
}

// byteCount counts received (in) and sent (out) bytes.
type byteCount struct{ in, out atomic.Int64 }

// bytesTo returns the counter for a destination and creates it if needed.
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

// recordEvent counts an event that has waited in the queue.
func (l *loadStats) recordEvent(waited time.Duration) {
	l.eventCount++
	l.maxWait = max(l.maxWait, waited)
}

// recordSubmit counts a submission that has waited in the queue. recordEvent counts it as well.
func (l *loadStats) recordSubmit(waited time.Duration) {
	l.submits++
	l.submitWait += waited
	l.maxSubmitWait = max(l.maxSubmitWait, waited)
}

// recordQueued records the number of waiting events.
func (l *loadStats) recordQueued(n int) { l.maxQueued = max(l.maxQueued, n) }

// recordPass adds the time of a placement pass.
func (l *loadStats) recordPass(took time.Duration) {
	l.passTime += took
	l.longestPass = max(l.longestPass, took)
}

// takeLogEvent returns the log line about the load and resets the statistics. queued is the
// number of waiting events, admittedShare the share of new jobs that is admitted, processorTime
// the processor time that the process has used since its start.
func (l *loadStats) takeLogEvent(now time.Time, queued int, admittedShare float64, processorTime time.Duration) exchange.LogEvent {
	l.mu.Lock()
	counts := maps.Clone(l.byteCounts)
	l.mu.Unlock()
	in, out := map[string]int64{}, map[string]int64{}
	for name, count := range counts {
		in[name], out[name] = count.in.Swap(0), count.out.Swap(0)
	}
	line := exchange.LogEvent{Message: "load of the process", Fields: []exchange.LogField{
		{Name: "events", Value: l.eventCount},
		{Name: "waited_most", Value: l.maxWait.String()},
		{Name: "queued", Value: queued},
		{Name: "queued_most", Value: l.maxQueued},
		{Name: "submits", Value: l.submits},
		{Name: "submits_waited", Value: (l.submitWait / time.Duration(max(1, l.submits))).String()},
		{Name: "submits_waited_most", Value: l.maxSubmitWait.String()},
		{Name: "jobs_taken", Value: admittedShare},
		{Name: "plans_took", Value: l.passTime.String()},
		{Name: "longest_plan", Value: l.longestPass.String()},
		{Name: "bytes_in", Value: fmt.Sprint(in)},
		{Name: "bytes_out", Value: fmt.Sprint(out)},
		{Name: "period", Value: now.Sub(l.countedFrom).String()},
		{Name: "processor", Value: (processorTime - l.processorTime).String()},
	}}
	l.eventCount, l.maxWait, l.maxQueued, l.passTime, l.longestPass = 0, 0, 0, 0, 0
	l.submits, l.submitWait, l.maxSubmitWait = 0, 0, 0
	l.countedFrom, l.processorTime = now, processorTime
	return line
}

// ByteCounter returns a function that counts the bytes received and sent on connections to the
// named destination.
func (l *Loop) ByteCounter(name string) func(in, out int) {
	count := l.load.bytesTo(name)
	return func(in, out int) {
		count.in.Add(int64(in))
		count.out.Add(int64(out))
		l.metrics.recordBytes(name, in, out)
	}
}

// logLoad writes the log line about load if this box holds the cell and the line is due.
func (l *Loop) logLoad(now time.Time) {
	if now.Before(l.load.nextLogAt) || !l.core.IsServing(now) {
		return
	}
	l.load.nextLogAt = now.Add(loadLogInterval)
	line := l.load.takeLogEvent(now, len(l.events), l.gate.AdmittedShare(), procusage.OwnProcessorTime())
	line.Fields = append(line.Fields, l.work.takeLogFields()...)
	l.logWriter.write(line)
}

// applyOverload sets RetryAfter on a submission that must not be accepted as a new job: either
// the gate rejects it because this box is overloaded, or it has waited so long that the
// forwarding box has already answered that there was no answer in time. It doesn't drop the
// submission, since only the reducer can determine whether the job is new. Other events are
// returned unchanged.
func (l *Loop) applyOverload(now time.Time, waited time.Duration, e exchange.Event) exchange.Event {
	s, ok := e.(exchange.Submitted)
	if !ok {
		return e
	}
	if admitted, after := l.gate.Admit(now, string(s.Submission.ID)); !admitted {
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

// updateGate adapts the share of new jobs that is admitted and logs when refusing begins or
// ends.
func (l *Loop) updateGate(now time.Time) {
	l.gate.RecordResponseTime(l.core.WorkerAnswerTime(now))
	if !l.gate.Update(now) {
		return
	}
	message := "holder is no longer overloaded"
	if l.gate.IsRefusing() {
		message = "holder is overloaded and refuses a share of new jobs"
	}
	l.logWriter.write(exchange.LogEvent{Message: message, Fields: []exchange.LogField{{Name: "jobs_taken", Value: l.gate.AdmittedShare()}}})
}
