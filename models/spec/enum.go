// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spec

import (
	"fmt"
	"slices"
	"time"
)

// Priority orders work; urgent goes before normal, normal before batch.
type Priority string

// The priorities, first to last.
const (
	Urgent Priority = "urgent"
	Normal Priority = "normal"
	Bulk   Priority = "batch"
)

// Priorities lists the priorities, first to last.
var Priorities = []Priority{Urgent, Normal, Bulk}

// Rank returns 0 for the priority that goes first.
func (p Priority) Rank() int { return slices.Index(Priorities, p) }

// UnmarshalText refuses unknown priorities.
func (p *Priority) UnmarshalText(text []byte) error {
	return parseOneOf(p, text, Priorities)
}

// Spread is a group of workers that tasks of a service avoid sharing.
type Spread string

// The spreads. The default is SpreadRack.
const (
	SpreadRack   Spread = "rack"
	SpreadWorker Spread = "worker"
	SpreadNone   Spread = "none"
)

// UnmarshalText refuses unknown spreads.
func (s *Spread) UnmarshalText(text []byte) error {
	return parseOneOf(s, text, []Spread{SpreadRack, SpreadWorker, SpreadNone})
}

// Outcome is what became of a task, in an operator's word.
type Outcome string

// The fates that an operator can settle on.
const (
	OutcomeDone   Outcome = "done"
	OutcomeFailed Outcome = "failed"
	OutcomeRerun  Outcome = "rerun"
)

// UnmarshalText refuses unknown fates.
func (f *Outcome) UnmarshalText(text []byte) error {
	return parseOneOf(f, text, []Outcome{OutcomeDone, OutcomeFailed, OutcomeRerun})
}

func parseOneOf[T ~string](dst *T, text []byte, known []T) error {
	got := T(text)
	if !slices.Contains(known, got) {
		return fmt.Errorf("want one of %q, got %q", known, text)
	}
	*dst = got
	return nil
}

// Timestamp is a point in time, written as RFC 3339 has it.
type Timestamp struct{ time.Time }

// UnmarshalText reads a moment such as 2026-12-02T06:00:00Z.
func (m *Timestamp) UnmarshalText(text []byte) error {
	t, err := time.Parse(time.RFC3339, string(text))
	if err != nil {
		return fmt.Errorf("want a moment such as 2026-12-02T06:00:00Z, got %q", text)
	}
	m.Time = t
	return nil
}
