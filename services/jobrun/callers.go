// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"saddlevane/models/exchange"
	"saddlevane/models/workspace"
	"saddlevane/services/workspaces"
)

// Admit judges a call before its body is read, by the queue that it names and the keys that
// it carries. It returns the answer by which the call is refused, or nil.
func (l *Loop) Admit(queue string, keys []string) (*workspace.Caller, *exchange.Answer) {
	l.mu.Lock()
	v := l.view
	l.mu.Unlock()
	if v.config == nil {
		a := exchange.Answer{Outcome: exchange.Unavailable, Reason: "no configuration has been read yet"}
		l.recordRefusedCall(queue, a, 0, false)
		return nil, &a
	}
	// A box that was suspended must not judge by what it knew before.
	current := l.now().Before(v.configCurrentUntil)
	caller, verdict := workspaces.AuthorizeAtBox(v.config, current, queue, keys)
	if verdict == workspaces.Allowed || verdict == workspaces.Undetermined && caller != nil {
		// The holder may know what this box does not.
		return caller, nil
	}
	a := workspaces.RefusalAnswer(verdict)
	l.recordRefusedCall(queue, a, v.config.Version, current)
	return nil, &a
}

// recordRefusedCall counts and logs a call that is refused before it is passed on, and by which
// configuration.
func (l *Loop) recordRefusedCall(queue string, a exchange.Answer, version int64, current bool) {
	l.metrics.refusedCalls.WithLabelValues(string(a.Outcome)).Inc()
	l.logWriter.write(exchange.LogEvent{Message: "call refused", Fields: []exchange.LogField{
		{Name: "queue", Value: queue},
		{Name: "outcome", Value: string(a.Outcome)},
		{Name: "reason", Value: a.Reason},
		{Name: "config", Value: version},
		{Name: "config_is_current", Value: current},
	}})
}
