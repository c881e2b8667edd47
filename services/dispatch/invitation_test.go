// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"testing"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/exchange"

	"gotest.tools/v3/assert"
)

// newInvitingHolder returns a holder that the log has ceased to answer and that has just invited the
// other box to take the cell over.
func newInvitingHolder(t *testing.T) *harness {
	t.Helper()
	d := oneWorker(t)
	d.handle(exchange.MembersRead{Members: []claim.Member{{Box: "b", Incarnation: "b1", Address: "b"}}})
	asked := effectsOf[exchange.AskPledges](append(d.handle(exchange.ClaimsRead{Failure: "down"}), d.advance(20*time.Millisecond)...))
	assert.Equal(t, len(asked), 1)
	assert.Check(t, d.mayOrder(), "the invitation is not sent yet")
	invited := effectsOf[exchange.Invite](d.handle(exchange.Pledged{Epoch: 1, SentAt: d.now, All: true, LogReachable: []string{"b"}}))
	assert.Equal(t, len(invited), 1)
	return d
}

// mayOrder reports whether orders that were decided before may still be sent.
func (d *harness) mayOrder() bool {
	_, until := d.core.HoldsUntil()
	return d.now.Before(until)
}

// TestNoOrderIsSentOnceAnotherBoxIsInvited guards against two boxes that give orders at the same time.
// The invited box may claim the cell before its answer arrives. The holder decided nothing more, but
// orders that it had decided before, and that waited to be sent, still went out.
func TestNoOrderIsSentOnceAnotherBoxIsInvited(t *testing.T) {
	d := newInvitingHolder(t)
	assert.Check(t, !d.mayOrder(), "the invited box may have claimed the cell")
	// Pledges that arrive meanwhile were given before the invitation.
	d.handle(exchange.Pledged{Epoch: 1, SentAt: d.now, All: true})
	assert.Check(t, !d.mayOrder(), "a pledge does not withdraw the invitation")

	d.handle(exchange.Invited{Epoch: 1})
	assert.Check(t, !d.mayOrder(), "the answer to the invitation was lost")
	assert.Check(t, !d.core.IsServing(d.now))
}

func TestHolderContinuesAfterItsInvitationIsRefused(t *testing.T) {
	d := newInvitingHolder(t)
	d.handle(exchange.Invited{Epoch: 1, Refused: true})
	assert.Check(t, d.mayOrder(), "the other box has not claimed the cell")
	assert.Check(t, d.core.IsServing(d.now))
}
