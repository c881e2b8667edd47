// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay_test

import (
	"fmt"
	"testing"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/order"
	"saddlevane/services/relay"

	"gotest.tools/v3/assert"
)

var begin = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// member is a box of a domain.
func member(domain string, i int) claim.Member {
	name := fmt.Sprintf("%s-%02d", domain, i)
	return claim.Member{Box: name, Incarnation: name, Domain: domain, Address: name + ":1"}
}

// listing has some workers in each of some domains.
func listing(each int, domains ...string) order.Listing {
	l := order.Listing{Complete: true}
	for _, d := range domains {
		for i := range each {
			l.Present = append(l.Present, order.Worker{Incarnation: order.Incarnation{Name: fmt.Sprintf("w-%s-%03d", d, i)}, Domain: d})
		}
	}
	return l
}

// cell returns the roster of box a-00 in a cell of two domains, ten boxes each.
func cell(l relay.Limits, workersEach int) *relay.Roster {
	r := relay.NewRoster(l, "a-00")
	var members []claim.Member
	for _, d := range []string{"a", "b"} {
		for i := range 10 {
			members = append(members, member(d, i))
		}
	}
	r.Boxes(members)
	r.Workers(listing(workersEach, "a", "b"))
	return r
}

// picks returns the box of each worker, or "" for none.
func picks(r *relay.Roster, now time.Time, l order.Listing) map[string]string {
	all := map[string]string{}
	for _, w := range l.Present {
		m, _ := r.Pick(now, w.Name)
		all[w.Name] = m.Box
	}
	return all
}

func TestRelaysAreBoxesOfTheWorkersDomainAsManyAsItNeeds(t *testing.T) {
	limits := relay.Limits{From: 100, PerRelay: 48}
	for _, c := range []struct {
		each  int
		boxes int
	}{
		{49, 0}, {50, 4}, {96, 4}, {97, 6}, {480, 19},
	} {
		t.Run(fmt.Sprint(2*c.each, " workers"), func(t *testing.T) {
			r := cell(limits, c.each)
			boxes := map[string]bool{}
			for worker, box := range picks(r, begin, listing(c.each, "a", "b")) {
				if box == "" {
					continue
				}
				boxes[box] = true
				assert.Equal(t, box[:1], worker[2:3], "%s carries orders of %s", box, worker)
				assert.Check(t, box != "a-00", "the holder needs no relay to itself")
			}
			assert.Equal(t, len(boxes), c.boxes)
		})
	}
}

func TestADomainWithoutAnotherBoxHasNoRelay(t *testing.T) {
	r := relay.NewRoster(relay.Limits{From: 1, PerRelay: 48}, "a-00")
	r.Boxes([]claim.Member{member("a", 0), member("b", 0)})
	r.Workers(listing(1, "a", "b"))
	_, ok := r.Pick(begin, "w-a-000")
	assert.Check(t, !ok)
	m, ok := r.Pick(begin, "w-b-000")
	assert.Check(t, ok && m.Box == "b-00")
	_, ok = r.Pick(begin, "unlisted")
	assert.Check(t, !ok)
}

func TestABoxThatIsLostMovesItsOwnWorkersOnly(t *testing.T) {
	r := cell(relay.Limits{From: 100, PerRelay: 48}, 200)
	l := listing(200, "a", "b")
	before := picks(r, begin, l)
	lost := before["w-a-000"]
	r.Failed(begin, lost)
	after := picks(r, begin, l)
	taken := map[string]bool{}
	for worker, box := range before {
		switch {
		case box == lost:
			assert.Check(t, after[worker] != lost && after[worker] != "")
		case after[worker] != box:
			// The box that takes the lost one's part gets its share of the others.
			taken[after[worker]] = true
		}
	}
	assert.Check(t, len(taken) <= 1, "%v", taken)
}

func TestABoxIsPutAsideForLongerEachTime(t *testing.T) {
	r := cell(relay.Limits{From: 100, PerRelay: 100}, 100)
	now := begin
	box := picks(r, now, listing(1, "a"))["w-a-000"]
	for _, span := range []time.Duration{1, 2, 4, 8, 16, 16} {
		r.Failed(now, box)
		// What had been sent before tells nothing new.
		r.Failed(now.Add(time.Millisecond), box)
		now = now.Add(span*time.Second - 200*time.Millisecond)
		assert.Check(t, picks(r, now, listing(1, "a"))["w-a-000"] != box, "%v", span)
		now = now.Add(time.Second)
		assert.Equal(t, picks(r, now, listing(1, "a"))["w-a-000"], box, "%v", span)
	}
	r.Answered(box)
	r.Failed(now, box)
	assert.Equal(t, picks(r, now.Add(1200*time.Millisecond), listing(1, "a"))["w-a-000"], box, "it has answered meanwhile")
}

func TestAWorkerThatLeftAnOrderUnansweredIsAskedDirectly(t *testing.T) {
	r := cell(relay.Limits{From: 100, PerRelay: 48}, 100)
	r.Unanswered(begin, "w-a-000")
	_, ok := r.Pick(begin.Add(time.Second), "w-a-000")
	assert.Check(t, !ok)
	_, ok = r.Pick(begin.Add(time.Second), "w-a-001")
	assert.Check(t, ok)
	_, ok = r.Pick(begin.Add(3*time.Second), "w-a-000")
	assert.Check(t, ok)
}

func TestWorkersThatAreGoneNeedNoRelay(t *testing.T) {
	r := cell(relay.Limits{From: 100, PerRelay: 48}, 50)
	gone := order.Listing{Removed: []string{"w-a-000", "w-a-000", "never listed"}}
	r.Workers(gone)
	_, ok := r.Pick(begin, "w-b-000")
	assert.Check(t, !ok, "99 workers are left")
	r.Workers(order.Listing{Present: listing(1, "a").Present})
	assert.Equal(t, len(r.Relays(begin)) > 0, true)
}
