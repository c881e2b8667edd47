// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package presence_test

import (
	"testing"

	"saddlevane/models/order"
	"saddlevane/services/presence"

	"gotest.tools/v3/assert"
)

// incarnation returns an incarnation of one worker. Clocks may step back, so a larger number need
// not be later.
func incarnation(born int64) order.Incarnation {
	return order.Incarnation{Name: "w", BornUnixMilli: born}
}

func entry(born int64) order.Worker {
	return order.Worker{Incarnation: incarnation(born), Address: "a"}
}

func TestOnlyAnswersDetermineCurrentIncarnation(t *testing.T) {
	var l presence.Incarnations
	known := incarnation(500)
	assert.Check(t, l.RecordEntry(known, entry(500), 1))
	assert.Check(t, !l.RecordEntry(known, entry(900), 7), "the entry may be of an earlier incarnation")
	assert.Check(t, l.HasCandidate())
	assert.Check(t, !l.RecordAnswer(known, known, 7), "this call was made before the entry was read")
	assert.Check(t, l.HasCandidate())
	assert.Check(t, !l.RecordAnswer(known, known, 8))
	assert.Check(t, !l.HasCandidate(), "the entry was old")
	assert.Check(t, !l.RecordEntry(known, entry(900), 9))
	assert.Check(t, !l.HasCandidate(), "the entry is known to be old")
	assert.Check(t, l.RecordAnswer(known, incarnation(100), 10), "a smaller number may be the later incarnation")
	assert.Equal(t, l.Fence(3), int64(3_000_001))
	assert.Equal(t, presence.ClaimOfFence(l.Fence(3)), int64(3))
	assert.Check(t, !l.RecordEntry(incarnation(100), entry(500), 11) && !l.HasCandidate(), "the list is outdated")
}

func TestSuccessorUsesEntryIfRead(t *testing.T) {
	var l presence.Incarnations
	o, listed := l.Successor(entry(1), incarnation(2))
	assert.Check(t, !listed && o.Incarnation == incarnation(2) && o.Address == "a")
	next := entry(3)
	next.Address = "b"
	l.RecordEntry(incarnation(2), next, 0)
	o, listed = l.Successor(entry(2), incarnation(3))
	assert.Check(t, listed && o.Address == "b")
	assert.Check(t, !l.HasCandidate())
	l.RecordEntry(incarnation(3), entry(4), 0)
	l.RecordEntryRemoved()
	assert.Check(t, !l.HasCandidate())
}

func TestNameIsOneIncarnationWithoutBirthTimes(t *testing.T) {
	var l presence.Incarnations
	assert.Check(t, l.RecordEntry(incarnation(0), entry(5), 0) && l.RecordEntry(incarnation(5), entry(0), 0))
	assert.Check(t, !l.RecordAnswer(incarnation(0), incarnation(5), 1) && !l.RecordAnswer(incarnation(5), incarnation(0), 2))
	assert.Equal(t, l.Fence(3), int64(3_000_000))
}

func TestPastIncarnationsAreBounded(t *testing.T) {
	var l presence.Incarnations
	for i := int64(1); i < 1000; i++ {
		assert.Check(t, l.RecordAnswer(incarnation(i), incarnation(i+1), i))
	}
	assert.Equal(t, l.Fence(1), int64(1_000_999))
	l.RecordEntry(incarnation(1000), entry(999), 0)
	assert.Check(t, !l.HasCandidate(), "the latest incarnations are kept")
	l.RecordEntry(incarnation(1000), entry(1), 0)
	assert.Check(t, l.HasCandidate(), "the oldest incarnation is forgotten, so the worker is called again")
}

// fenced is the answer to an order that was refused because of its fence number.
var fenced = order.Answer{Outcome: order.Refused, Reason: order.Fenced}

func TestFenceIsRaisedOnceForOrdersWithOneNumber(t *testing.T) {
	var l presence.Incarnations
	first := l.Fence(3)
	l.RaiseFence(first)
	second := l.Fence(3)
	assert.Check(t, second > first)
	l.RaiseFence(first)
	assert.Equal(t, l.Fence(3), second, "the number was raised after the first order was sent")
	l.RaiseFence(second)
	assert.Check(t, l.Fence(3) > second)
}

func TestRefusalOfOrderBeforeRaiseIsNotTakenForLaterHolder(t *testing.T) {
	var l presence.Incarnations
	before := l.Fence(3)
	assert.Check(t, l.IsFencedByLaterHolder(fenced, before))
	l.RaiseFence(before)
	assert.Check(t, !l.IsFencedByLaterHolder(fenced, before), "an order with the higher number may have arrived earlier")
	assert.Check(t, l.IsFencedByLaterHolder(fenced, l.Fence(3)))
	assert.Check(t, !l.IsFencedByLaterHolder(order.Answer{Outcome: order.Refused, Reason: order.NoCapacity}, l.Fence(3)))
}

// A higher claim must always have higher numbers, however often the number of a worker was raised.
func TestRaisedFenceStaysBelowThatOfTheNextClaim(t *testing.T) {
	var l presence.Incarnations
	for range 3 {
		l.RaiseFence(999_998)
		assert.Check(t, l.AreFencesUsed())
		assert.Check(t, l.Fence(3) < (&presence.Incarnations{}).Fence(4))
	}
}
