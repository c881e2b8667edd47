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
	Renew time.Duration
	// HoldFor is how long a holder may act after it sent the last renewal that
	// the log has.
	HoldFor time.Duration
	// ClaimAfter is how long a box must not have read a renewal before it claims.
	// It exceeds HoldFor by what two steady clocks may differ in that time.
	ClaimAfter time.Duration
}

// claimKey is the only key of the stream of claims.
const claimKey = "holder"

// Append is a claim or renewal to append. Its end comes back by Appended.
type Append struct {
	Claim  claim.Claim
	Stream stream.Append
}

// Authority is one box's view of who holds. It is not safe for concurrent use.
type Authority struct {
	settings Settings
	self     claim.Member

	current claim.Claim
	// next is the end of the stream as far as it was read.
	next int64
	// read says that the stream was read to its end once.
	read bool
	// steadySince is since when all reads succeed, or zero after a failed one.
	steadySince time.Time
	// readAt is when the log last answered a read.
	readAt time.Time
	// heardAt is when the last renewal was read.
	heardAt time.Time

	// held is the epoch under which this process acts, or 0.
	held int64
	// sentAt is when the last renewal that is known to be in the log was sent.
	sentAt time.Time
	// invited is the epoch whose holder has asked this box to follow it.
	invited int64
	// pledgedUntil bounds a pledge to the holder not to claim.
	pledgedUntil time.Time
	// pending is the append under way, or nil.
	pending *pending
	// renewAt is when the claim is to be renewed, and renewal counts all appends of
	// this process, so that each has its own number.
	renewAt time.Time
	renewal int64
	// unsure has each claim and renewal that may be in the log, or may come there yet.
	unsure map[int64]sent
	// spread is this box's part of claimSpread.
	spread time.Duration
	// stopping says that this process must not claim again.
	stopping bool
	// largest is the size of the largest box that is known.
	largest int64
}

// sent is when a claim or renewal was sent, and the place in the log that it may take.
type sent struct {
	at    time.Time
	place int64
}

// pending is an append under way.
type pending struct {
	claim  claim.Claim
	sentAt time.Time
}

// New returns the view of a process that has read nothing.
func New(s Settings, self claim.Member) *Authority {
	return &Authority{
		settings: s, self: self, unsure: map[int64]sent{},
		spread: time.Duration(xxhash.Sum64String(self.Box) % uint64(claimSpread)),
	}
}

// Current returns the claim in force as far as it was read.
func (a *Authority) Current() claim.Claim { return a.current }

// Epoch returns the epoch under which this process acts, or 0.
func (a *Authority) Epoch() int64 { return a.held }

// Holds says whether this process may give orders at now.
func (a *Authority) Holds(now time.Time) bool {
	return a.held != 0 && a.current.Epoch <= a.held && now.Before(a.sentAt.Add(a.settings.HoldFor))
}

// HoldsUntil returns when the authority ends unless it is renewed.
func (a *Authority) HoldsUntil() time.Time { return a.sentAt.Add(a.settings.HoldFor) }

// Busy says whether an append is under way.
func (a *Authority) Busy() bool { return a.pending != nil }

// Steady says whether the log answers this process.
func (a *Authority) Steady() bool { return !a.steadySince.IsZero() }

// ReadAt returns when the log last answered a read of this process.
func (a *Authority) ReadAt() time.Time { return a.readAt }

// Start takes what the stream held when the process began to read.
func (a *Authority) Start(now time.Time, records []stream.Record, next int64) {
	a.read = true
	a.Read(now, records, next)
}

// Read takes records that follow those read before.
func (a *Authority) Read(now time.Time, records []stream.Record, next int64) {
	if a.steadySince.IsZero() {
		a.steadySince = now
	}
	a.readAt = now
	for _, r := range records {
		var c claim.Claim
		if r.Key != claimKey || json.Unmarshal(r.Value, &c) != nil || c.Check() != nil || c.Epoch < a.current.Epoch {
			continue
		}
		a.take(now, c)
	}
	a.next = max(a.next, next)
	for n, s := range a.unsure {
		if s.place < a.next {
			// It was not among the records, so another one has its place.
			delete(a.unsure, n)
		}
	}
}

// take puts a claim in force that is in the log.
func (a *Authority) take(now time.Time, c claim.Claim) {
	if c != a.current {
		// A renewal that is read again, after the log was away, is no sign of life.
		a.heardAt = now
	}
	a.current = c
	mine := c.Box == a.self.Box && c.Incarnation == a.self.Incarnation
	if mine && !c.Released {
		a.confirm(c)
	}
}

// confirm notes that a claim or renewal of this process is in the log.
func (a *Authority) confirm(c claim.Claim) {
	sent, ok := a.unsure[c.Renewal]
	if !ok || a.stopping {
		return
	}
	if p := a.pending; p != nil && p.claim.Renewal <= c.Renewal {
		// The answer to this append is lost or late.
		a.pending = nil
	}
	a.held = c.Epoch
	if sent.at.After(a.sentAt) {
		a.sentAt = sent.at
	}
	for n := range a.unsure {
		if n <= c.Renewal {
			delete(a.unsure, n)
		}
	}
}

// ReadFailed notes that the log did not answer.
func (a *Authority) ReadFailed() { a.steadySince = time.Time{} }

// Pledged notes that every other box has promised not to claim, at a request
// sent at sentAt.
func (a *Authority) Pledged(sentAt time.Time, epoch int64) {
	if a.held == epoch && sentAt.After(a.sentAt) {
		a.sentAt = sentAt
	}
}

// Tick returns what to append now, or nil.
func (a *Authority) Tick(now time.Time) *Append {
	if a.pending != nil || !a.read {
		return nil
	}
	if a.held != 0 {
		return a.renew(now)
	}
	if !a.mayClaim(now) {
		return nil
	}
	return a.append(now, a.newClaim(a.current.Epoch+1))
}

// renew returns the renewal of the claim, or nil if it is not due.
func (a *Authority) renew(now time.Time) *Append {
	if a.stopping || a.current.Epoch > a.held || now.Before(a.renewAt) {
		return nil
	}
	return a.append(now, a.newClaim(a.held))
}

// newClaim returns a claim of this process or the next renewal of one.
func (a *Authority) newClaim(epoch int64) claim.Claim {
	a.renewal++
	return claim.Claim{
		Epoch: epoch, Box: a.self.Box, Incarnation: a.self.Incarnation, Address: a.self.Address, Renewal: a.renewal,
	}
}

// Release returns the record that gives the claim up, or nil if there is none.
// After it this process no longer holds.
func (a *Authority) Release(now time.Time) *Append {
	if a.held == 0 {
		return nil
	}
	c := a.newClaim(a.held)
	c.Released = true
	a.StepDown()
	return a.append(now, c)
}

// Stop keeps this process from claiming again.
func (a *Authority) Stop() { a.stopping = true }

// Stopping says whether Stop was called.
func (a *Authority) Stopping() bool { return a.stopping }

// StepDown ends the authority of this process.
func (a *Authority) StepDown() {
	a.held = 0
	a.sentAt = time.Time{}
	clear(a.unsure)
}

// append returns the append of a claim. It takes effect only if the stream ends
// where this process has read to, so nothing can come in between.
func (a *Authority) append(now time.Time, c claim.Claim) *Append {
	a.pending = &pending{claim: c, sentAt: now}
	a.renewAt = now.Add(a.settings.Renew)
	if !c.Released {
		a.unsure[c.Renewal] = sent{at: now, place: a.next}
	}
	value, err := json.Marshal(c)
	if err != nil {
		// A claim has only plain fields.
		panic(err)
	}
	at := a.next
	return &Append{Claim: c, Stream: stream.Append{
		Stream: stream.Claims, Records: []stream.Record{{Key: claimKey, Value: value}}, ExpectedEnd: &at,
	}}
}

// Appended takes the end of an append. It returns true if the append is in the
// log for sure; anything else is left to what is read.
func (a *Authority) Appended(now time.Time, renewal, offset int64, err error) bool {
	p := a.pending
	if p == nil || p.claim.Renewal != renewal {
		return false
	}
	a.pending = nil
	if err != nil {
		// A renewal that may be in the log is confirmed when it is read.
		a.renewAt = now.Add(a.settings.Renew / 4)
		return false
	}
	a.next = max(a.next, offset+1)
	if p.claim.Epoch >= a.current.Epoch {
		a.take(now, p.claim)
	}
	return true
}
