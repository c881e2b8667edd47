// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package logfeed_test

import (
	"fmt"
	"testing"
	"time"

	"saddlevane/models/claim"
	"saddlevane/services/logfeed"

	"gotest.tools/v3/assert"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// boxes returns n boxes of a domain. Every tenth is large.
func boxes(domain string, n int) []claim.Member {
	var all []claim.Member
	for i := range n {
		m := claim.Member{Box: fmt.Sprintf("%s-%d", domain, i), Incarnation: "1", Domain: domain, Address: "x", Size: 192}
		if i%10 == 0 {
			m.Size = 1600
		}
		all = append(all, m)
	}
	return all
}

// selectors returns the selectors of some boxes, which know each other.
func selectors(members []claim.Member) []*logfeed.Selector {
	var all []*logfeed.Selector
	for _, m := range members {
		s := logfeed.NewSelector(m)
		s.AddBoxes(members)
		all = append(all, s)
	}
	return all
}

// The number of boxes that read the log must grow with the number of boxes far more slowly, and no
// reader may have many followers.
func TestFewBoxesOfADomainReadTheLog(t *testing.T) {
	for _, c := range []struct{ boxes, readers int }{{1, 1}, {2, 2}, {7, 2}, {117, 2}, {468, 8}} {
		t.Run(fmt.Sprint(c.boxes), func(t *testing.T) {
			members := append(boxes("a", c.boxes), boxes("b", 40)...)
			direct, followers := 0, map[string]int{}
			for _, s := range selectors(members[:c.boxes]) {
				reader, ok := s.Pick(now)
				if !ok {
					direct++
					continue
				}
				assert.Equal(t, reader.Domain, "a")
				assert.Assert(t, c.boxes < 20 || reader.Size == 1600, "large boxes come first")
				followers[reader.Box]++
			}
			assert.Equal(t, direct, c.readers)
			assert.Assert(t, len(followers) <= c.readers)
			for box, n := range followers {
				assert.Assert(t, n < 128, "%d boxes read through %s", n, box)
			}
		})
	}
}

func TestBoxReadsThroughAnotherOrByItselfWhenReadersFail(t *testing.T) {
	members := boxes("a", 9)
	var s *logfeed.Selector
	var first claim.Member
	for _, s = range selectors(members) {
		if m, ok := s.Pick(now); ok {
			first = m
			break
		}
	}
	s.RecordFailure(now, first.Box)
	second, ok := s.Pick(now)
	assert.Assert(t, ok && second.Box != first.Box)
	for _, m := range members {
		s.RecordFailure(now, m.Box)
	}
	_, ok = s.Pick(now)
	assert.Assert(t, !ok, "no box answers")
	again, ok := s.Pick(now.Add(time.Second))
	assert.Assert(t, ok && again.Box == first.Box, "the exclusion is over")
	s.RecordFailure(now.Add(time.Second), first.Box)
	s.AddBoxes([]claim.Member{first})
	again, _ = s.Pick(now.Add(time.Second))
	assert.Equal(t, again.Box, first.Box, "the box has started again")
}

func TestBoxThatIsAskedReadsTheLog(t *testing.T) {
	for _, s := range selectors(boxes("a", 9)) {
		if _, ok := s.Pick(now); !ok {
			continue
		}
		s.RecordAsked(now)
		_, ok := s.Pick(now.Add(time.Second))
		assert.Assert(t, !ok)
		_, ok = s.Pick(now.Add(time.Minute))
		assert.Assert(t, ok)
	}
}
