// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package authority decides which box may give orders to the cell's workers. It
// folds the stream of claims: the log lets one claim follow another only if
// nothing came in between, so there is one holder in the order of the log. A
// holder stops on its own before another box may claim.
package authority

import (
	"encoding/json"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/stream"

	"github.com/cespare/xxhash/v2"
)

// Settings are the times of the authority.
type Settings struct {
	// Renew is the time between two renewals of the claim.
	RenewInterval time.Duration
	// HoldFor is how long a holder may act after it sent the last renewal that
	// the log has.
	HoldFor time.Duration
	// ClaimAfter is how long a box must not have read a renewal before it claims.
	// It exceeds HoldFor by what two steady clocks may differ in that time.
	ClaimAfter time.Duration
}

// claimKey is the only key of the stream of claims.
const claimKey = "holder"

// ClaimAppend is a claim or renewal to append. Its end comes back by Appended.
type ClaimAppend struct {
	Claim  claim.Claim
	Append stream.Append
}

// Authority is one box's view of who holds. It is not safe for concurrent use.
type Authority struct {
	settings Settings
	self     claim.Member

	current claim.Claim
	// next is the end of the stream as far as it was read.
	nextOffset int64
	// read says that the stream was read to its end once.
	loaded bool
	// logReachableSince is since when all reads succeed, or zero after a failed one.
	logReachableSince time.Time
	// logReadAt is when the log last answered a read.
	logReadAt time.Time
	// heardAt is when the last renewal was read.
	claimReadAt time.Time

	// held is the epoch under which this process acts, or 0.
	heldEpoch int64
	// sentAt is when the last renewal that is known to be in the log was sent.
	confirmedSentAt time.Time
	// invited is the epoch whose holder has asked this box to follow it.
	invitedEpoch int64
	// pledgedUntil bounds a pledge to the holder not to claim.
	pledgedUntil time.Time
	// pending is the append under way, or nil.
	pending *pendingAppend
	// nextRenewalAt is when the claim is to be renewed, and renewal counts all appends of
	// this process, so that each has its own number.
	nextRenewalAt time.Time
	lastRenewal   int64
	// unsure has each claim and renewal that may be in the log, or may come there yet.
	unconfirmed map[int64]sentClaim
	// spread is this box's part of maxClaimJitter.
	claimJitter time.Duration
	// stopping says that this process must not claim again.
	stopping bool
	// largest is the size of the largest box that is known.
	largestSize int64
}

// sentClaim is when a claim or renewal was sent, and the place in the log that it may take.
type sentClaim struct {
	sentAt time.Time
	offset int64
}

// pendingAppend is an append under way.
type pendingAppend struct {
	claim  claim.Claim
	sentAt time.Time
}

// New returns the view of a process that has read nothing.
func New(s Settings, self claim.Member) *Authority {
	return &Authority{
		settings: s, self: self, unconfirmed: map[int64]sentClaim{},
		claimJitter: time.Duration(xxhash.Sum64String(self.Box) % uint64(maxClaimJitter)),
	}
}

// Current returns the claim in force as far as it was read.
func (a *Authority) Current() claim.Claim { return a.current }

// Epoch returns the epoch under which this process acts, or 0.
func (a *Authority) Epoch() int64 { return a.heldEpoch }

// IsHolder says whether this process may give orders at now.
func (a *Authority) IsHolder(now time.Time) bool {
	return a.heldEpoch != 0 && a.current.Epoch <= a.heldEpoch && now.Before(a.confirmedSentAt.Add(a.settings.HoldFor))
}

// HoldsUntil returns when the authority ends unless it is renewed.
func (a *Authority) HoldsUntil() time.Time { return a.confirmedSentAt.Add(a.settings.HoldFor) }

// IsAppending says whether an append is under way.
func (a *Authority) IsAppending() bool { return a.pending != nil }

// IsLogReachable says whether the log answers this process.
func (a *Authority) IsLogReachable() bool { return !a.logReachableSince.IsZero() }

// LogReadAt returns when the log last answered a read of this process.
func (a *Authority) LogReadAt() time.Time { return a.logReadAt }

// ApplyFirst takes what the stream held when the process began to read.
func (a *Authority) ApplyFirst(now time.Time, records []stream.Record, next int64) {
	a.loaded = true
	a.Apply(now, records, next)
}

// Apply takes records that follow those read before.
func (a *Authority) Apply(now time.Time, records []stream.Record, next int64) {
	if a.logReachableSince.IsZero() {
		a.logReachableSince = now
	}
	a.logReadAt = now
	for _, r := range records {
		var c claim.Claim
		if r.Key != claimKey || json.Unmarshal(r.Value, &c) != nil || c.Check() != nil || c.Epoch < a.current.Epoch {
			continue
		}
		a.applyClaim(now, c)
	}
	a.nextOffset = max(a.nextOffset, next)
	for n, s := range a.unconfirmed {
		if s.offset < a.nextOffset {
			// It was not among the records, so another one has its place.
			delete(a.unconfirmed, n)
		}
	}
}

// applyClaim puts a claim in force that is in the log.
func (a *Authority) applyClaim(now time.Time, c claim.Claim) {
	if c != a.current {
		// A renewal that is read again, after the log was away, is no sign of life.
		a.claimReadAt = now
	}
	a.current = c
	mine := c.Box == a.self.Box && c.Incarnation == a.self.Incarnation
	if mine && !c.Released {
		a.confirm(c)
	}
}

// confirm notes that a claim or renewal of this process is in the log.
func (a *Authority) confirm(c claim.Claim) {
	sent, ok := a.unconfirmed[c.Renewal]
	if !ok || a.stopping {
		return
	}
	if p := a.pending; p != nil && p.claim.Renewal <= c.Renewal {
		// The answer to this append is lost or late.
		a.pending = nil
	}
	a.heldEpoch = c.Epoch
	if sent.sentAt.After(a.confirmedSentAt) {
		a.confirmedSentAt = sent.sentAt
	}
	for n := range a.unconfirmed {
		if n <= c.Renewal {
			delete(a.unconfirmed, n)
		}
	}
}

// RecordReadFailure notes that the log did not answer.
func (a *Authority) RecordReadFailure() { a.logReachableSince = time.Time{} }

// RecordPledges notes that every other box has promised not to claim, at a request
// sent at sentAt.
func (a *Authority) RecordPledges(sentAt time.Time, epoch int64) {
	if a.heldEpoch == epoch && sentAt.After(a.confirmedSentAt) {
		a.confirmedSentAt = sentAt
	}
}

// Tick returns what to append now, or nil.
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

// newClaim returns a claim of this process or the next renewal of one.
func (a *Authority) newClaim(epoch int64) claim.Claim {
	a.lastRenewal++
	return claim.Claim{
		Epoch: epoch, Box: a.self.Box, Incarnation: a.self.Incarnation, Address: a.self.Address, Renewal: a.lastRenewal,
	}
}

// Release returns the record that gives the claim up, or nil if there is none.
// After it this process no longer holds.
func (a *Authority) Release(now time.Time) *ClaimAppend {
	if a.heldEpoch == 0 {
		return nil
	}
	c := a.newClaim(a.heldEpoch)
	c.Released = true
	a.StepDown()
	return a.startAppend(now, c)
}

// Stop keeps this process from claiming again.
func (a *Authority) Stop() { a.stopping = true }

// IsStopping says whether Stop was called.
func (a *Authority) IsStopping() bool { return a.stopping }

// StepDown ends the authority of this process.
func (a *Authority) StepDown() {
	a.heldEpoch = 0
	a.confirmedSentAt = time.Time{}
	clear(a.unconfirmed)
}

// startAppend returns the append of a claim. It takes effect only if the stream ends
// where this process has read to, so nothing can come in between.
func (a *Authority) startAppend(now time.Time, c claim.Claim) *ClaimAppend {
	a.pending = &pendingAppend{claim: c, sentAt: now}
	a.nextRenewalAt = now.Add(a.settings.RenewInterval)
	if !c.Released {
		a.unconfirmed[c.Renewal] = sentClaim{sentAt: now, offset: a.nextOffset}
	}
	value, err := json.Marshal(c)
	if err != nil {
		// A claim has only plain fields.
		panic(err)
	}
	at := a.nextOffset
	return &ClaimAppend{Claim: c, Append: stream.Append{
		Stream: stream.Claims, Records: []stream.Record{{Key: claimKey, Value: value}}, ExpectedEnd: &at,
	}}
}

// AppendEnded takes the end of an append. It returns true if the append is in the
// log for sure; anything else is left to what is read.
func (a *Authority) AppendEnded(now time.Time, renewal, offset int64, err error) bool {
	p := a.pending
	if p == nil || p.claim.Renewal != renewal {
		return false
	}
	a.pending = nil
	if err != nil {
		// A renewal that may be in the log is confirmed when it is read.
		a.nextRenewalAt = now.Add(a.settings.RenewInterval / 4)
		return false
	}
	a.nextOffset = max(a.nextOffset, offset+1)
	if p.claim.Epoch >= a.current.Epoch {
		a.applyClaim(now, p.claim)
	}
	return true
}
