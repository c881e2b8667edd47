// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/workspace"
	"saddlevane/services/workspaces"
)

// Admit checks, before the body of a call is read, whether the caller may use the queue, by
// the keys that the call carries. It returns the caller, or the answer with which the call is
// refused.
func (l *Loop) Admit(queue string, keys []string) (*workspace.Caller, *exchange.Answer) {
	l.mu.Lock()
	v := l.view
	l.mu.Unlock()
	if v.config == nil {
		a := exchange.Answer{Outcome: exchange.Unavailable, Reason: "no configuration has been read yet"}
		l.recordRefusedCall(queue, a, 0, false)
		return nil, &a
	}
	// After the machine was suspended, the configuration may no longer be the newest.
	current := l.now().Before(v.configCurrentUntil)
	caller, verdict := workspaces.AuthorizeAtBox(v.config, current, queue, keys)
	if verdict == workspaces.Allowed || verdict == workspaces.Undetermined && caller != nil {
		// The holder may have a newer configuration than this box, so it decides.
		return caller, nil
	}
	a := workspaces.RefusalAnswer(verdict)
	l.recordRefusedCall(queue, a, v.config.Version, current)
	return nil, &a
}

const (
	// expectedRefusalInterval and expectedRefusalQueues bound the lines about calls for queues that do
	// not exist: one for each queue in an interval, for so many queues. Such calls are answered as expected,
	// callers may go on making them, and a log must have room for what explains a failure.
	expectedRefusalInterval = time.Minute
	expectedRefusalQueues   = 4
)

// recordRefusedCall counts and logs a call that this box refuses before forwarding it, with
// the version of the configuration by which it was refused and whether that one was known to
// be current.
func (l *Loop) recordRefusedCall(queue string, a exchange.Answer, version int64, current bool) {
	l.metrics.refusedCalls.WithLabelValues(string(a.Outcome)).Inc()
	omitted, ok := 0, true
	if a.Outcome == exchange.NoQueue {
		omitted, ok = l.expectedRefusals.Take(l.now(), queue)
	}
	if !ok {
		return
	}
	l.logWriter.write(exchange.LogEvent{Message: "call refused", Fields: []exchange.LogField{
		{Name: "queue", Value: queue},
		{Name: "outcome", Value: string(a.Outcome)},
		{Name: "reason", Value: a.Reason},
		{Name: "config", Value: version},
		{Name: "config_is_current", Value: current},
		{Name: "lines_omitted", Value: omitted},
	}})
}
