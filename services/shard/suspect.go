// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shard

import (
	"time"

	"saddlevane/models/box"
	"saddlevane/models/worker"
	"saddlevane/services/ledger"
)

// suspicion is what is known of a holder that this box no longer hears. Two
// boxes that cannot hear each other would claim the shard from each other
// without end, so the workers are asked first: a holder whose leases are live
// is live. That costs no time, because a takeover has to wait for those leases
// anyway.
type suspicion struct {
	holder string
	since  time.Time
	// until is how long the holder's leases last that workers have told of.
	leasesUntil time.Time
}

// maxUnansweredRounds is how many rounds of questions the workers get before their silence
// counts.
const maxUnansweredRounds = 2

func (h *Holder) isSuspecting() bool { return h.suspicion.holder != "" }

// mayReplaceHolder says whether a holder that is not heard may be replaced.
func (h *Holder) mayReplaceHolder(now time.Time, claim ledger.Claim) bool {
	name := claim.Box() + "/" + claim.Incarnation()
	if h.suspicion.holder != name {
		h.suspicion = suspicion{holder: name, since: now}
		for _, w := range h.workers {
			w.nextAt = now
		}
	}
	return h.workersConsulted(now) && now.After(h.suspicion.leasesUntil)
}

// workersConsulted says whether every worker has answered since the suspicion began, or has
// had time enough.
func (h *Holder) workersConsulted(now time.Time) bool {
	if now.Sub(h.suspicion.since) >= maxUnansweredRounds*h.settings.RenewInterval {
		return true
	}
	for _, w := range h.sortedWorkers {
		if w.answeredAt.Before(h.suspicion.since) && w.listedState != box.Dead {
			return false
		}
	}
	return true
}

// isCaretaker says whether this box keeps the tasks of a shard alive whose holder
// is gone while the log cannot take the claim in. It starts nothing. It must see
// every worker, and none may be another's: then a holder that lives on without
// being heard can start nothing either, and learns of the caretaker when it gets
// a lease again.
func (h *Holder) isCaretaker(now time.Time) bool {
	if h.phase != Claiming || h.journal.FailureReason() == "" {
		return false
	}
	for _, w := range h.sortedWorkers {
		if w.listedState == box.Dead {
			continue
		}
		if now.Sub(w.answeredAt) > maxAnswerAgeRounds*h.settings.RenewInterval || now.Before(w.otherLeaseUntil) {
			return false
		}
	}
	return true
}

// maxAnswerAgeRounds is how many rounds ago a caretaker must have seen each worker.
const maxAnswerAgeRounds = 4

// recordReportedHolder takes a worker's word on who has its lease.
func (h *Holder) recordReportedHolder(now time.Time, w *workerState, r worker.Report) {
	w.otherLeaseUntil = time.Time{}
	if r.Holder == "" || r.Holder == h.holderName() || r.ExpiresIn <= 0 {
		return
	}
	w.otherLeaseUntil = now.Add(r.ExpiresIn.Duration())
	if h.isSuspecting() && r.Holder == h.suspicion.holder && w.otherLeaseUntil.After(h.suspicion.leasesUntil) {
		h.suspicion.leasesUntil = w.otherLeaseUntil
	}
}
