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
	until time.Time
}

// looks is how many rounds of questions the workers get before their silence
// counts.
const looks = 2

func (h *Holder) suspecting() bool { return h.suspect.holder != "" }

// suspectHolder says whether a holder that is not heard may be replaced.
func (h *Holder) suspectHolder(now time.Time, claim ledger.Claim) bool {
	name := claim.Box() + "/" + claim.Incarnation()
	if h.suspect.holder != name {
		h.suspect = suspicion{holder: name, since: now}
		for _, w := range h.workers {
			w.nextAt = now
		}
	}
	return h.asked(now) && now.After(h.suspect.until)
}

// asked says whether every worker has answered since the suspicion began, or has
// had time enough.
func (h *Holder) asked(now time.Time) bool {
	if now.Sub(h.suspect.since) >= looks*h.settings.Renew {
		return true
	}
	for _, w := range h.order {
		if w.answeredAt.Before(h.suspect.since) && w.listed != box.Dead {
			return false
		}
	}
	return true
}

// caretaking says whether this box keeps the tasks of a shard alive whose holder
// is gone while the log cannot take the claim in. It starts nothing. It must see
// every worker, and none may be another's: then a holder that lives on without
// being heard can start nothing either, and learns of the caretaker when it gets
// a lease again.
func (h *Holder) caretaking(now time.Time) bool {
	if h.phase != Claiming || h.journal.FailureReason() == "" {
		return false
	}
	for _, w := range h.order {
		if w.listed == box.Dead {
			continue
		}
		if now.Sub(w.answeredAt) > seenWithin*h.settings.Renew || now.Before(w.foreign) {
			return false
		}
	}
	return true
}

// seenWithin is how many rounds ago a caretaker must have seen each worker.
const seenWithin = 4

// seeHolder takes a worker's word on who has its lease.
func (h *Holder) seeHolder(now time.Time, w *workerState, r worker.Report) {
	w.foreign = time.Time{}
	if r.Holder == "" || r.Holder == h.holderName() || r.ExpiresIn <= 0 {
		return
	}
	w.foreign = now.Add(r.ExpiresIn.Duration())
	if h.suspecting() && r.Holder == h.suspect.holder && w.foreign.After(h.suspect.until) {
		h.suspect.until = w.foreign
	}
}
