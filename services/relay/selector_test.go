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

// member returns the i-th box of a domain.
func member(domain string, i int) claim.Member {
	name := fmt.Sprintf("%s-%02d", domain, i)
	return claim.Member{Box: name, Incarnation: name, Domain: domain, Address: name + ":1"}
}

// listing returns a complete listing with the same number of workers in each domain.
func listing(each int, domains ...string) order.Listing {
	l := order.Listing{Complete: true}
	for _, d := range domains {
		for i := range each {
			l.Present = append(l.Present, order.Worker{Incarnation: order.Incarnation{Name: fmt.Sprintf("w-%s-%03d", d, i)}, Domain: d})
		}
	}
	return l
}

// newSelector returns the Selector of box a-00 in a cell of two domains with ten boxes each.
func newSelector(l relay.Limits, workersEach int) *relay.Selector {
	s := relay.NewSelector(l, "a-00")
	var members []claim.Member
	for _, d := range []string{"a", "b"} {
		for i := range 10 {
			members = append(members, member(d, i))
		}
	}
	s.AddBoxes(members)
	s.UpdateWorkers(listing(workersEach, "a", "b"))
	return s
}

// pickAll returns the relay of each worker, or "" for none.
func pickAll(s *relay.Selector, now time.Time, l order.Listing) map[string]string {
	all := map[string]string{}
	for _, w := range l.Present {
		m, _ := s.Pick(now, w.Name)
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
			s := newSelector(limits, c.each)
			boxes := map[string]bool{}
			for worker, box := range pickAll(s, startTime, listing(c.each, "a", "b")) {
				if box == "" {
					continue
				}
				boxes[box] = true
				assert.Equal(t, box[:1], worker[2:3], "%s relays orders of %s", box, worker)
				assert.Check(t, box != "a-00", "the holder must not be its own relay")
			}
			assert.Equal(t, len(boxes), c.boxes)
		})
	}
}

func TestDomainWithoutOtherBoxHasNoRelay(t *testing.T) {
	s := relay.NewSelector(relay.Limits{MinWorkers: 1, WorkersPerRelay: 48}, "a-00")
	s.AddBoxes([]claim.Member{member("a", 0), member("b", 0)})
	s.UpdateWorkers(listing(1, "a", "b"))
	_, ok := s.Pick(startTime, "w-a-000")
	assert.Check(t, !ok)
	m, ok := s.Pick(startTime, "w-b-000")
	assert.Check(t, ok && m.Box == "b-00")
	_, ok = s.Pick(startTime, "unlisted")
	assert.Check(t, !ok)
}

func TestFailedBoxMovesOnlyItsOwnWorkers(t *testing.T) {
	s := newSelector(relay.Limits{MinWorkers: 100, WorkersPerRelay: 48}, 200)
	l := listing(200, "a", "b")
	before := pickAll(s, startTime, l)
	failed := before["w-a-000"]
	s.RecordBoxFailure(startTime, failed)
	after := pickAll(s, startTime, l)
	gainers := map[string]bool{}
	for worker, box := range before {
		switch {
		case box == failed:
			assert.Check(t, after[worker] != failed && after[worker] != "")
		case after[worker] != box:
			// The box that replaces the failed one also gets a share of other boxes' workers.
			gainers[after[worker]] = true
		}
	}
	assert.Check(t, len(gainers) <= 1, "%v", gainers)
}

func TestRepeatedFailuresDoubleBackoff(t *testing.T) {
	s := newSelector(relay.Limits{MinWorkers: 100, WorkersPerRelay: 100}, 100)
	now := startTime
	box := pickAll(s, now, listing(1, "a"))["w-a-000"]
	for _, span := range []time.Duration{1, 2, 4, 8, 16, 16} {
		s.RecordBoxFailure(now, box)
		// Failures of batches that were sent before the exclusion are ignored.
		s.RecordBoxFailure(now.Add(time.Millisecond), box)
		now = now.Add(span*time.Second - 200*time.Millisecond)
		assert.Check(t, pickAll(s, now, listing(1, "a"))["w-a-000"] != box, "%v", span)
		now = now.Add(time.Second)
		assert.Equal(t, pickAll(s, now, listing(1, "a"))["w-a-000"], box, "%v", span)
	}
	s.RecordBoxAnswer(box)
	s.RecordBoxFailure(now, box)
	assert.Equal(t, pickAll(s, now.Add(1200*time.Millisecond), listing(1, "a"))["w-a-000"], box, "an answer resets the backoff")
}

func TestWorkerWithUnansweredOrderIsContactedDirectly(t *testing.T) {
	s := newSelector(relay.Limits{MinWorkers: 100, WorkersPerRelay: 48}, 100)
	s.RecordUnanswered(startTime, "w-a-000")
	_, ok := s.Pick(startTime.Add(time.Second), "w-a-000")
	assert.Check(t, !ok)
	_, ok = s.Pick(startTime.Add(time.Second), "w-a-001")
	assert.Check(t, ok)
	_, ok = s.Pick(startTime.Add(3*time.Second), "w-a-000")
	assert.Check(t, ok)
}

func TestRemovedWorkersDoNotCount(t *testing.T) {
	s := newSelector(relay.Limits{MinWorkers: 100, WorkersPerRelay: 48}, 50)
	removed := order.Listing{Removed: []string{"w-a-000", "w-a-000", "never listed"}}
	s.UpdateWorkers(removed)
	_, ok := s.Pick(startTime, "w-b-000")
	assert.Check(t, !ok, "99 workers are fewer than MinWorkers")
	s.UpdateWorkers(order.Listing{Present: listing(1, "a").Present})
	assert.Equal(t, len(s.WorkersByRelay(startTime)) > 0, true)
}
