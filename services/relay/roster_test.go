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

var startTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

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

// newSelector returns the roster of box a-00 in a cell of two domains, ten boxes each.
func newSelector(l relay.Limits, workersEach int) *relay.Selector {
	r := relay.NewSelector(l, "a-00")
	var members []claim.Member
	for _, d := range []string{"a", "b"} {
		for i := range 10 {
			members = append(members, member(d, i))
		}
	}
	r.AddBoxes(members)
	r.UpdateWorkers(listing(workersEach, "a", "b"))
	return r
}

// pickAll returns the box of each worker, or "" for none.
func pickAll(r *relay.Selector, now time.Time, l order.Listing) map[string]string {
	all := map[string]string{}
	for _, w := range l.Present {
		m, _ := r.Pick(now, w.Name)
		all[w.Name] = m.Box
	}
	return all
}

func TestRelaysAreChosenInWorkersDomainByWorkerCount(t *testing.T) {
	limits := relay.Limits{MinWorkers: 100, WorkersPerRelay: 48}
	for _, c := range []struct {
		each  int
		boxes int
	}{
		{49, 0}, {50, 4}, {96, 4}, {97, 6}, {480, 19},
	} {
		t.Run(fmt.Sprint(2*c.each, " workers"), func(t *testing.T) {
			r := newSelector(limits, c.each)
			boxes := map[string]bool{}
			for worker, box := range pickAll(r, startTime, listing(c.each, "a", "b")) {
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

func TestDomainWithoutOtherBoxHasNoRelay(t *testing.T) {
	r := relay.NewSelector(relay.Limits{MinWorkers: 1, WorkersPerRelay: 48}, "a-00")
	r.AddBoxes([]claim.Member{member("a", 0), member("b", 0)})
	r.UpdateWorkers(listing(1, "a", "b"))
	_, ok := r.Pick(startTime, "w-a-000")
	assert.Check(t, !ok)
	m, ok := r.Pick(startTime, "w-b-000")
	assert.Check(t, ok && m.Box == "b-00")
	_, ok = r.Pick(startTime, "unlisted")
	assert.Check(t, !ok)
}

func TestFailedBoxMovesOnlyItsOwnWorkers(t *testing.T) {
	r := newSelector(relay.Limits{MinWorkers: 100, WorkersPerRelay: 48}, 200)
	l := listing(200, "a", "b")
	before := pickAll(r, startTime, l)
	lost := before["w-a-000"]
	r.RecordBoxFailure(startTime, lost)
	after := pickAll(r, startTime, l)
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

func TestRepeatedFailuresDoubleBackoff(t *testing.T) {
	r := newSelector(relay.Limits{MinWorkers: 100, WorkersPerRelay: 100}, 100)
	now := startTime
	box := pickAll(r, now, listing(1, "a"))["w-a-000"]
	for _, span := range []time.Duration{1, 2, 4, 8, 16, 16} {
		r.RecordBoxFailure(now, box)
		// What had been sent before tells nothing new.
		r.RecordBoxFailure(now.Add(time.Millisecond), box)
		now = now.Add(span*time.Second - 200*time.Millisecond)
		assert.Check(t, pickAll(r, now, listing(1, "a"))["w-a-000"] != box, "%v", span)
		now = now.Add(time.Second)
		assert.Equal(t, pickAll(r, now, listing(1, "a"))["w-a-000"], box, "%v", span)
	}
	r.RecordBoxAnswer(box)
	r.RecordBoxFailure(now, box)
	assert.Equal(t, pickAll(r, now.Add(1200*time.Millisecond), listing(1, "a"))["w-a-000"], box, "it has answered meanwhile")
}

func TestWorkerWithUnansweredOrderIsContactedDirectly(t *testing.T) {
	r := newSelector(relay.Limits{MinWorkers: 100, WorkersPerRelay: 48}, 100)
	r.RecordUnanswered(startTime, "w-a-000")
	_, ok := r.Pick(startTime.Add(time.Second), "w-a-000")
	assert.Check(t, !ok)
	_, ok = r.Pick(startTime.Add(time.Second), "w-a-001")
	assert.Check(t, ok)
	_, ok = r.Pick(startTime.Add(3*time.Second), "w-a-000")
	assert.Check(t, ok)
}

func TestRemovedWorkersDoNotCount(t *testing.T) {
	r := newSelector(relay.Limits{MinWorkers: 100, WorkersPerRelay: 48}, 50)
	gone := order.Listing{Removed: []string{"w-a-000", "w-a-000", "never listed"}}
	r.UpdateWorkers(gone)
	_, ok := r.Pick(startTime, "w-b-000")
	assert.Check(t, !ok, "99 workers are left")
	r.UpdateWorkers(order.Listing{Present: listing(1, "a").Present})
	assert.Equal(t, len(r.WorkersByRelay(startTime)) > 0, true)
}
