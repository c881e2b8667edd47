// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package authority decides which box may send orders to the cell's workers. It
// derives the current holder from the log's stream of claims. A claim is appended
// only if the stream still ends where its sender has read to, so the order of the
// log always determines a single holder. A holder that cannot renew its claim stops
// sending orders before another box is allowed to claim.
package authority

import (
	"encoding/json"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/stream"
	"saddlevane/modules/ordered"

	"github.com/cespare/xxhash/v2"
)

// Settings holds the timing of claims and renewals.
type Settings struct {
	// RenewInterval is the time between two renewals of the claim.
	RenewInterval time.Duration
	// HoldFor is how long a holder may act, counted from when it sent the last
	// renewal that is known to be in the log.
	HoldFor time.Duration
	// ClaimAfter is how long a box must not have read any renewal before it claims. It
	// exceeds HoldFor by the most that two monotonic clocks may drift apart in that time.
	ClaimAfter time.Duration
	// OutsiderClaimAfter is how long a box that the holder has not named as a candidate must not have
	// read any renewal before it claims.
	OutsiderClaimAfter time.Duration
}

// claimKey is the key of all records in the stream of claims.
const claimKey = "holder"

// ClaimAppend is a claim or renewal to append to the log. The caller reports its
// result with AppendEnded.
type ClaimAppend struct {
	Claim  claim.Claim
	Append stream.Append
}

// Authority is one process's view of which box holds the cell. It is not safe for
// concurrent use.
type Authority struct {
	settings Settings
	self     claim.Member

	// current is the newest claim or renewal in the part of the stream that was read.
	current claim.Claim
	// candidates are the boxes that the newest claim names as candidates, sorted. If there are none,
	// all boxes are candidates.
	candidates []string
	// nextOffset is the offset after the last record that was read.
	nextOffset int64
	// loaded is set once the stream was read to its end.
	loaded bool
	// logReachableSince is when reads began to succeed without a failure since, or
	// zero if the last read failed.
	logReachableSince time.Time
	// logReadAt is when the log last answered a read.
	logReadAt time.Time
	// relayed is set if the last part of the stream that was applied was read by another box.
	relayed bool
	// claimReadAt is when the last new claim or renewal was read.
	claimReadAt time.Time

	// heldEpoch is the epoch under which this process acts, or 0.
	heldEpoch int64
	// confirmedSentAt is when the last renewal that is known to be in the log was
	// sent, or the last request that all other boxes answered with a pledge.
	confirmedSentAt time.Time
	// loggedSentAt is when the last renewal that is known to be in the log was sent.
	loggedSentAt time.Time
	// proposed are the candidates that the next claim or renewal of this process names.
	proposed []string
	// invitedEpoch is the epoch whose holder has invited this box to take over, or 0.
	invitedEpoch int64
	// pledgedUntil is when this box's pledge to the holder not to claim expires.
	pledgedUntil time.Time
	// pending is the append in flight, or nil.
	pending *pendingAppend
	// nextRenewalAt is when the claim is due for renewal.
	nextRenewalAt time.Time
	// lastRenewal is the number of the last append; each append of this process has
	// its own number.
	lastRenewal int64
	// unconfirmed holds the claims and renewals that may be in the log or may still
	// be appended to it, by number.
	unconfirmed map[int64]sentClaim
	// claimJitter is this box's delay before a claim, derived from its name; it is
	// less than maxClaimJitter.
	claimJitter time.Duration
	// stopping is set once this process must not claim again.
	stopping bool
	// largestSize is the size of the largest known box, boxCount the number of known boxes.
	largestSize int64
	boxCount    int
}

// sentClaim records when a claim or renewal was sent, the offset that it takes in the log if it is
// appended, and the candidates that it names.
type sentClaim struct {
	sentAt     time.Time
	offset     int64
	candidates []string
}

// pendingAppend is an append that has not been answered yet.
type pendingAppend struct {
	claim  record
	sentAt time.Time
}

// New returns the state of a process that has read nothing from the log.
func New(s Settings, self claim.Member) *Authority {
	return &Authority{
		settings: s, self: self, unconfirmed: map[int64]sentClaim{},
		claimJitter: time.Duration(xxhash.Sum64String(self.Box) % uint64(maxClaimJitter)),
	}
}

// Current returns the newest claim or renewal that was read.
func (a *Authority) Current() claim.Claim { return a.current }

// Epoch returns the epoch under which this process acts, or 0 if it is not the holder.
func (a *Authority) Epoch() int64 { return a.heldEpoch }

// IsHolder reports whether this process may send orders at now.
func (a *Authority) IsHolder(now time.Time) bool {
	return a.heldEpoch != 0 && a.current.Epoch <= a.heldEpoch && now.Before(a.confirmedSentAt.Add(a.settings.HoldFor))
}

// HoldsUntil returns when the authority of this process expires unless it is renewed.
func (a *Authority) HoldsUntil() time.Time { return a.confirmedSentAt.Add(a.settings.HoldFor) }

// IsAppending reports whether an append is in flight.
func (a *Authority) IsAppending() bool { return a.pending != nil }

// IsLogReachable reports whether the log answered the last read of this process.
func (a *Authority) IsLogReachable() bool { return !a.logReachableSince.IsZero() }

// LogReadAt returns when the log last answered a read of this process.
func (a *Authority) LogReadAt() time.Time { return a.logReadAt }

// ApplyFirst applies the result of the first read, which covers the stream to its end.
func (a *Authority) ApplyFirst(now time.Time, records []stream.Record, next int64) {
	a.loaded = true
	a.Apply(now, records, next)
}

// Apply applies records that follow those read before. next is the offset after them.
func (a *Authority) Apply(now time.Time, records []stream.Record, next int64) {
	if a.logReachableSince.IsZero() {
		a.logReachableSince = now
	}
	a.logReadAt = now
	for _, r := range records {
		var c record
		if r.Key != claimKey || json.Unmarshal(r.Value, &c) != nil || c.Check() != nil || c.Epoch < a.current.Epoch {
			continue
		}
		a.applyClaim(now, c)
	}
	a.nextOffset = max(a.nextOffset, next)
	for n, s := range a.unconfirmed {
		if s.offset < a.nextOffset {
			// It was not among the records, so another record has its offset and it
			// can no longer be appended.
			delete(a.unconfirmed, n)
		}
	}
}

// applyClaim makes a claim that is in the log the current one.
func (a *Authority) applyClaim(now time.Time, c record) {
	if c.Claim != a.current {
		// A renewal that is read again, after a log outage, does not show that the
		// holder is still running.
		a.claimReadAt = now
	}
	a.current, a.candidates = c.Claim, c.Candidates
	own := c.Box == a.self.Box && c.Incarnation == a.self.Incarnation
	if own && !c.Released {
		a.confirm(c.Claim)
	}
}

// confirm records that a claim or renewal of this process is in the log, and extends
// the authority of the process from when the claim was sent.
func (a *Authority) confirm(c claim.Claim) {
	sent, ok := a.unconfirmed[c.Renewal]
	if !ok || a.stopping {
		return
	}
	if p := a.pending; p != nil && p.claim.Renewal <= c.Renewal {
		// The append has succeeded, but its answer is lost or late.
		a.pending = nil
	}
	a.heldEpoch = c.Epoch
	a.confirmedSentAt = ordered.Later(a.confirmedSentAt, sent.sentAt)
	a.loggedSentAt = ordered.Later(a.loggedSentAt, sent.sentAt)
	for n := range a.unconfirmed {
		if n <= c.Renewal {
			delete(a.unconfirmed, n)
		}
	}
}

// SetRelayed records whether the records that are applied next were read by another box.
func (a *Authority) SetRelayed(relayed bool) { a.relayed = relayed }

// IsRelayed reports whether the last records were read by another box, so that it is not known whether
// the log answers this process.
func (a *Authority) IsRelayed() bool { return a.relayed }

// RecordReadFailure records that the log did not answer a read.
func (a *Authority) RecordReadFailure() { a.logReachableSince = time.Time{} }

// RecordPledges records that every other candidate has pledged not to claim, in answer to a request
// sent at sentAt. It extends the authority like a renewal sent at that time, but not beyond the time at
// which a box that is no candidate may claim. areAll means that there are no such boxes.
func (a *Authority) RecordPledges(sentAt time.Time, epoch int64, areAll bool) {
	if a.heldEpoch != epoch {
		return
	}
	if !areAll {
		sentAt = ordered.Earlier(sentAt, a.loggedSentAt.Add(a.outsidersWait()-a.settings.HoldFor))
	}
	a.confirmedSentAt = ordered.Later(a.confirmedSentAt, sentAt)
}

// outsidersWait returns for how long after the last renewal in the log no box claims that is no
// candidate, on the clock of this process. Clocks drift as in HoldFor and ClaimAfter.
func (a *Authority) outsidersWait() time.Duration {
	drift := a.settings.HoldFor.Seconds() / a.settings.ClaimAfter.Seconds()
	return time.Duration(float64(a.settings.OutsiderClaimAfter) * drift)
}

// MayAppend reports whether Tick may return a claim or renewal at now.
func (a *Authority) MayAppend(now time.Time) bool {
	return a.pending == nil && a.loaded && (a.heldEpoch == 0 && a.mayClaim(now) || a.heldEpoch != 0 && !now.Before(a.nextRenewalAt))
}

// Tick returns the claim or renewal to append now, or nil if none is due.
func (a *Authority) Tick(now time.Time) *ClaimAppend {
	if a.pending != nil || !a.loaded {
		return nil
	}
	if a.heldEpoch != 0 {
		return a.renew(now)
	}
	if !a.mayClaim(now) {
		return nil
	}
	return a.startAppend(now, a.newClaim(a.current.Epoch+1))
}

// renew returns the renewal of the claim, or nil if it is not due.
func (a *Authority) renew(now time.Time) *ClaimAppend {
	if a.stopping || a.current.Epoch > a.heldEpoch || now.Before(a.nextRenewalAt) {
		return nil
	}
	return a.startAppend(now, a.newClaim(a.heldEpoch))
}

// newClaim returns a claim or renewal of this process under epoch, with the next number.
func (a *Authority) newClaim(epoch int64) record {
	a.lastRenewal++
	return record{Claim: claim.Claim{
		Epoch: epoch, Box: a.self.Box, Incarnation: a.self.Incarnation, Address: a.self.Address, Renewal: a.lastRenewal,
	}, Candidates: a.proposed}
}

// Release gives up the authority of this process and returns the record to append that
// releases its claim, or nil if it is not the holder.
func (a *Authority) Release(now time.Time) *ClaimAppend {
	if a.heldEpoch == 0 {
		return nil
	}
	c := a.newClaim(a.heldEpoch)
	c.Released = true
	a.StepDown()
	return a.startAppend(now, c)
}

// Stop prevents this process from claiming or renewing again.
func (a *Authority) Stop() { a.stopping = true }

// IsStopping reports whether Stop was called.
func (a *Authority) IsStopping() bool { return a.stopping }

// StepDown ends the authority of this process at once, without a record in the log.
func (a *Authority) StepDown() {
	a.heldEpoch = 0
	a.confirmedSentAt, a.loggedSentAt = time.Time{}, time.Time{}
	clear(a.unconfirmed)
}

// startAppend records an append of a claim as pending and returns it. The log accepts
// it only if the stream ends where this process has read to, so that no claim of
// another box can come in between.
func (a *Authority) startAppend(now time.Time, c record) *ClaimAppend {
	a.pending = &pendingAppend{claim: c, sentAt: now}
	a.nextRenewalAt = now.Add(a.settings.RenewInterval)
	if !c.Released {
		a.unconfirmed[c.Renewal] = sentClaim{sentAt: now, offset: a.nextOffset, candidates: c.Candidates}
	}
	value, err := json.Marshal(c)
	if err != nil {
		// A record has only string, integer and boolean fields, which always marshal.
		panic(err)
	}
	end := a.nextOffset
	return &ClaimAppend{Claim: c.Claim, Append: stream.Append{
		Stream: stream.Claims, Records: []stream.Record{{Key: claimKey, Value: value}}, ExpectedEnd: &end,
	}}
}

// AppendEnded applies the result of an append. It reports whether the record is known
// to be in the log; after an error, later reads decide whether it is.
func (a *Authority) AppendEnded(now time.Time, renewal, offset int64, err error) bool {
	p := a.pending
	if p == nil || p.claim.Renewal != renewal {
		return false
	}
	a.pending = nil
	if err != nil {
		// The renewal may be in the log nevertheless, and is then confirmed when it
		// is read.
		a.nextRenewalAt = now.Add(a.settings.RenewInterval / 4)
		return false
	}
	a.nextOffset = max(a.nextOffset, offset+1)
	if p.claim.Epoch >= a.current.Epoch {
		a.applyClaim(now, p.claim)
	}
	return true
}
