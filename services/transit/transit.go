// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package transit keeps account of start orders that got no answer and may still be carried out, and
// decides how long the ends of tasks stay unacknowledged because of that. It also decides what the log says
// about these orders, so that the next holder knows them.
//
// An incarnation of a worker that no order has reached yet accepts any start, also that of a task that is
// done. An end that was not acknowledged before its worker restarted counts as not taken note of, so the
// end of a task stays unacknowledged while a start of the task may be in transit.
package transit

import (
	"time"

	"saddlevane/modules/ordered"
)

// MaxDelay is the longest time after sending at which a worker may still carry out an order; the
// users' protocol says "seconds".
const MaxDelay = 15 * time.Second

// maxUnacknowledgedShare is the share of the ends that a report can list up to which ends stay
// unacknowledged. A worker whose list of ends is full gets no more starts.
const maxUnacknowledgedShare = 0.5

// Starts are the starts of one task that got no answer. The zero value has none.
type Starts struct{ until time.Time }

// RecordUnanswered records that a start of the task got no answer by now.
func (s *Starts) RecordUnanswered(now time.Time) { s.Extend(now.Add(MaxDelay)) }

// Extend records that starts of the task may be carried out until a time.
func (s *Starts) Extend(until time.Time) { s.until = ordered.Later(s.until, until) }

// Until returns the last moment at which one of the starts may be carried out, or the zero time.
func (s *Starts) Until() time.Time { return s.until }

// Hold is how long the ends of one worker stay unacknowledged. The zero value allows acknowledgements.
type Hold struct{ until time.Time }

// Extend keeps the worker's ends unacknowledged until a time, if they are not for longer already.
func (h *Hold) Extend(until time.Time) { h.until = ordered.Later(h.until, until) }

// Applies reports whether the worker's ends stay unacknowledged at now. unacknowledged is how many ends
// the worker may list, and limit how many it can list in one report, or 0 for any number.
func (h *Hold) Applies(now time.Time, unacknowledged, limit int) bool {
	if limit > 0 && float64(unacknowledged) >= maxUnacknowledgedShare*float64(limit) {
		return false
	}
	return now.Before(h.until)
}
