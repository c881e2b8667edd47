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

// incarnation is a life of a worker with a name.
type incarnation struct {
	name string
	born int
}

func byName(a, b *incarnation) int { return cmp.Compare(a.name, b.name) }

func TestTicketIsValidOnlyForQueriedIncarnation(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var b tickets.Eligibility[*incarnation]
	first, later, other := &incarnation{"w", 1}, &incarnation{"w", 2}, &incarnation{"v", 1}
	_, told := b.KnownWorkers()
	assert.Check(t, !told)
	b.BeginCall([]*incarnation{first, other})
	assert.Check(t, b.IsPending(first) && b.IsKnownOrPending(first) && !b.IsKnownOrPending(later))
	b.EndCall([]*incarnation{first, other})
	assert.Check(t, !b.IsPending(first))
	b.RecordAnswer()
	b.SetEligible(first, true, byName)
	b.SetEligible(other, true, byName)
	b.SetTicket(first, "ticket", now.Add(time.Second))
	text, valid := b.TicketFor(now, first)
	assert.Check(t, text == "ticket" && valid)
	_, valid = b.TicketFor(now.Add(time.Second-tickets.StartMargin), first)
	assert.Check(t, !valid, "a start now would come too late")
	_, valid = b.TicketFor(now, later)
	assert.Check(t, !valid, "it is another life")
	b.SetEligible(later, true, byName)
	assert.DeepEqual(t, []int{b.EligibleWorkers()[0].born, b.EligibleWorkers()[1].born}, []int{1, 2})
	b.SetEligible(later, false, byName)
	assert.Equal(t, len(b.EligibleWorkers()), 1)
	may, known := b.IsEligible(later)
	assert.Check(t, known && !may)
	b.DropTicket(first)
	_, valid = b.TicketFor(now, first)
	assert.Check(t, !valid)
}
