// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shard

import (
	"time"

	"saddlevane/models/box"
	"saddlevane/models/worker"
	"saddlevane/services/ledger"
)

// suspicion is what this box has found out about a holder whose heartbeats it no longer
// receives. Two boxes that cannot reach each other would repeatedly claim the shard from
// each other, so the workers are asked first: a holder with current leases is alive. This
// costs no time, because a takeover has to wait for those leases to expire anyway.
type suspicion struct {
	holder string
	since  time.Time
	// leasesUntil is when the last of the holder's leases that workers have reported
	// expires.
	leasesUntil time.Time
}

// maxUnansweredRounds is how many renewal intervals the workers have to answer, before a
// missing answer no longer prevents a claim.
const maxUnansweredRounds = 2

// isSuspecting reports whether this box suspects that the holder has failed.
func (h *Holder) isSuspecting() bool { return h.suspicion.holder != "" }

// mayReplaceHolder reports whether a holder whose heartbeats are missing may be replaced.
// It begins the suspicion if there is none of this holder yet. The holder may be replaced
// once the workers have been consulted and the leases that they reported have expired.
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

// workersConsulted reports whether every worker has answered since the suspicion began or
// has had enough time to do so.
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

// isCaretaker reports whether this box renews workers' leases without being the holder, to
// keep the tasks of a shard running whose holder is gone while the claim cannot be written
// to the log. A caretaker starts no task. It must have a recent answer from every worker,
// and no worker may have a lease from another holder. Then a holder that is still alive,
// but unreachable, cannot start tasks either, and it detects the caretaker when it acquires
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

// maxAnswerAgeRounds is how many renewal intervals ago, at most, each worker must have
// answered a caretaker.
const maxAnswerAgeRounds = 4

// recordReportedHolder records which holder a worker reports as having its lease.
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
