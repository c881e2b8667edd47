// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/modules/ordered"
	"saddlevane/services/endreports"
	"saddlevane/services/transit"
)

// canAcknowledgeEnds reports whether a renewal may acknowledge ends of runs. A later incarnation of
// the worker may receive the renewal and would take the acknowledgement for one of its own ends,
// which have the same numbers. That cannot happen if the worker answered the last renewal, no other
// incarnation is listed, all starts are answered, and no task started on the worker that may have
// ended by now can still be started by a later incarnation: that one, if it exists, then has no ends.
// While a start of an ended task is in transit, see package transit, no ends are acknowledged either.
func (h *holderState) canAcknowledgeEnds(now time.Time, w *worker) bool {
	hold := w.hold
	hold.Extend(h.inheritedTransit.UntilOn(w.Name))
	if w.failedRenewals > 0 || w.incarnations.HasCandidate() || hold.Applies(now, w.reportedEnds.Unacknowledged(), h.core.settings.MaxListedEnds) {
		return false
	}
	for _, a := range w.attempts {
		if a.state == attemptStarting || h.mayHaveEndedOnSuccessor(now, a) {
			return false
		}
	}
	return true
}

// mayHaveEndedOnSuccessor reports whether a later incarnation of the attempt's worker, if there is one, may have
// started the run and ended it by now.
func (h *holderState) mayHaveEndedOnSuccessor(now time.Time, a *attempt) bool {
	return a.mayStartOnSuccessor() && endreports.MayHaveEnded(now.Sub(a.firstOrderedAt), h.usualTime(a.step)) && !h.areOrdersOver(a)
}

// areOrdersOver reports whether the worker's current incarnation has answered a renewal after the last
// moment at which a copy of the attempt's start order could be carried out.
func (h *holderState) areOrdersOver(a *attempt) bool {
	lastOrderedBy := ordered.Later(a.lastOrderedAt, h.startedAt)
	return a.worker.answeredAt.Sub(lastOrderedBy) > transit.MaxDelay
}
