// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tickets_test

import (
	"cmp"
	"testing"
	"time"

	"saddlevane/services/tickets"

	"gotest.tools/v3/assert"
)

// incarnation is one incarnation of the worker with the given name.
type incarnation struct {
	name string
	born int
}

func byName(a, b *incarnation) int { return cmp.Compare(a.name, b.name) }

func TestTicketIsValidOnlyForQueriedIncarnation(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var answers tickets.Eligibility[*incarnation]
	first, later, other := &incarnation{"w", 1}, &incarnation{"w", 2}, &incarnation{"v", 1}
	_, answered := answers.KnownWorkers()
	assert.Check(t, !answered)
	answers.BeginCall([]*incarnation{first, other})
	assert.Check(t, answers.IsPending(first) && answers.IsKnownOrPending(first) && !answers.IsKnownOrPending(later))
	answers.EndCall([]*incarnation{first, other})
	assert.Check(t, !answers.IsPending(first))
	answers.RecordAnswer()
	answers.SetEligible(first, true, byName)
	answers.SetEligible(other, true, byName)
	answers.SetTicket(first, "ticket", now.Add(time.Second))
	text, valid := answers.TicketFor(now, first)
	assert.Check(t, text == "ticket" && valid)
	_, valid = answers.TicketFor(now.Add(time.Second-tickets.StartMargin), first)
	assert.Check(t, !valid, "the start would reach the worker too late")
	_, valid = answers.TicketFor(now, later)
	assert.Check(t, !valid, "the ticket is for another incarnation")
	answers.SetEligible(later, true, byName)
	assert.DeepEqual(t, []int{answers.EligibleWorkers()[0].born, answers.EligibleWorkers()[1].born}, []int{1, 2})
	answers.SetEligible(later, false, byName)
	assert.Equal(t, len(answers.EligibleWorkers()), 1)
	eligible, known := answers.IsEligible(later)
	assert.Check(t, known && !eligible)
	answers.DropTicket(first)
	_, valid = answers.TicketFor(now, first)
	assert.Check(t, !valid)
}

func TestListIsReadAgainOnlyAfterAChange(t *testing.T) {
	var answers tickets.Eligibility[*incarnation]
	first, second := &incarnation{"v", 1}, &incarnation{"w", 1}
	read := 0
	hasAskedAll := func(version int, list ...*incarnation) bool {
		return answers.HasAskedAll(tickets.ListID{Key: "pool", Version: version}, func(yield func(*incarnation) bool) {
			for _, w := range list {
				read++
				if !yield(w) {
					return
				}
			}
		})
	}
	both := []*incarnation{first, second}
	assert.Check(t, !hasAskedAll(1, both...))
	answers.BeginCall(both)
	assert.Check(t, hasAskedAll(1, both...), "both are pending")
	answers.EndCall(both)
	assert.Check(t, !hasAskedAll(1, both...))
	answers.RecordAnswer()
	answers.SetEligible(first, false, byName)
	assert.Check(t, !hasAskedAll(1, both...))
	answers.SetEligible(second, true, byName)
	read = 0
	for range 100 {
		assert.Check(t, hasAskedAll(1, both...))
	}
	assert.Equal(t, read, len(both), "the list is read once")
	assert.Check(t, !hasAskedAll(2, first, second, &incarnation{"w", 2}), "the list has changed")
	answers.BeginCall([]*incarnation{{"x", 1}})
	answers.EndAllCalls()
	assert.Check(t, hasAskedAll(1, both...))
	read = 0
	hasAskedAll(0, both...)
	hasAskedAll(0, both...)
	assert.Equal(t, read, 2*len(both), "a list without a version is not remembered")
}
