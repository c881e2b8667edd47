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
		return nil, l.refuse(queue, exchange.Answer{Outcome: exchange.Unavailable, Reason: "no configuration has been read yet"})
	}
	caller, verdict := workspaces.Take(v.config, v.configIsCurrent, queue, keys)
	if verdict == workspaces.Allowed || verdict == workspaces.NotKnown && caller != nil {
		// The holder may know what this box does not.
		return caller, nil
	}
	a := workspaces.Refused(verdict)
	return nil, l.refuse(queue, a)
}

// refuse counts and logs a call that is refused before it is passed on.
func (l *Loop) refuse(queue string, a exchange.Answer) *exchange.Answer {
	l.metrics.refusedCalls.WithLabelValues(string(a.Outcome)).Inc()
	l.mu.Lock()
	v := l.view
	l.mu.Unlock()
	version := int64(0)
	if v.config != nil {
		version = v.config.Version
	}
	l.notes.write(exchange.Note{Message: "call refused", Fields: []exchange.Field{
		{Name: "queue", Value: queue},
		{Name: "outcome", Value: string(a.Outcome)},
		{Name: "reason", Value: a.Reason},
		{Name: "config", Value: version},
		{Name: "config_is_current", Value: v.configIsCurrent},
	}})
	return &a
}
