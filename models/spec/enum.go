// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spec

import (
	"fmt"
	"slices"
	"time"
)

// Priority orders work: urgent before normal before batch.
type Priority string

// The priorities, highest first.
const (
	Urgent Priority = "urgent"
	Normal Priority = "normal"
	Bulk   Priority = "batch"
)

// Priorities lists the priorities, highest first.
var Priorities = []Priority{Urgent, Normal, Bulk}

// Rank returns the position of p in Priorities; 0 is the highest priority.
func (p Priority) Rank() int { return slices.Index(Priorities, p) }

// UnmarshalText returns an error for an unknown priority.
func (p *Priority) UnmarshalText(text []byte) error {
	return parseOneOf(p, text, Priorities)
}

// Spread is the kind of worker group that two tasks of a service should not share.
type Spread string

// The spreads. The default is SpreadRack.
const (
	SpreadRack   Spread = "rack"
	SpreadWorker Spread = "worker"
	SpreadNone   Spread = "none"
)

// UnmarshalText returns an error for an unknown spread.
func (s *Spread) UnmarshalText(text []byte) error {
	return parseOneOf(s, text, []Spread{SpreadRack, SpreadWorker, SpreadNone})
}

// Outcome is the result that an operator assigns to a task whose real result is unknown.
type Outcome string

// The outcomes that an operator can assign.
const (
	OutcomeDone   Outcome = "done"
	OutcomeFailed Outcome = "failed"
	OutcomeRerun  Outcome = "rerun"
)

// UnmarshalText returns an error for an unknown outcome.
func (f *Outcome) UnmarshalText(text []byte) error {
	return parseOneOf(f, text, []Outcome{OutcomeDone, OutcomeFailed, OutcomeRerun})
}

// parseOneOf stores text in dst, or returns an error if known does not contain it.
func parseOneOf[T ~string](dst *T, text []byte, known []T) error {
	got := T(text)
	if !slices.Contains(known, got) {
		return fmt.Errorf("want one of %q, got %q", known, text)
	}
	*dst = got
	return nil
}

// Timestamp is a point in time in RFC 3339 format.
type Timestamp struct{ time.Time }

// UnmarshalText parses a time such as 2026-12-02T06:00:00Z.
func (m *Timestamp) UnmarshalText(text []byte) error {
	t, err := time.Parse(time.RFC3339, string(text))
	if err != nil {
		return fmt.Errorf("want a time such as 2026-12-02T06:00:00Z, got %q", text)
	}
	m.Time = t
	return nil
}
