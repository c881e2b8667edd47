// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package logfeed

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"saddlevane/models/claim"
	"saddlevane/modules/exclusion"
	"saddlevane/modules/rendezvous"

	"github.com/cespare/xxhash/v2"
)

const (
	// minReaders is the minimum number of boxes of a failure domain that read the log, so that the
	// others do not depend on one. Of each boxesPerReader boxes one reads the log for the others.
	minReaders     = 2
	boxesPerReader = 64
	// initialExclusion and longestExclusion bound how long a box that did not answer is not asked.
	initialExclusion = time.Second
	longestExclusion = 16 * time.Second
	// demandDuration is how long a box reads the log by itself after another box has asked it. It
	// exceeds the time between two requests of a follower.
	demandDuration = 5 * time.Second
)

// Selector chooses the box through which this box reads the log. The readers of a failure domain are
// its largest boxes, those of equal size in the order of their hashes, so that all boxes choose the
// same. A box that is asked although it is not among them becomes a reader. Selector is safe for
// concurrent use.
type Selector struct {
	self claim.Member

	mu sync.Mutex
	// domain has the boxes of the failure domain of this box, with itself, by name.
	domain map[string]claim.Member
	// ranked caches the boxes of domain, the first readers first; it is nil after a change.
	ranked   []claim.Member
	excluded *exclusion.List
	// askedAt is when another box has last asked this one.
	askedAt time.Time
}

// NewSelector returns a selector that knows no other box than self.
func NewSelector(self claim.Member) *Selector {
	return &Selector{
		self: self, domain: map[string]claim.Member{self.Box: self},
		excluded: exclusion.New(initialExclusion, longestExclusion),
	}
}

// AddBoxes adds or updates entry boxes that have announced themselves. They are no longer excluded.
func (s *Selector) AddBoxes(members []claim.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range members {
		if m.Domain != s.self.Domain || m.Box == s.self.Box {
			continue
		}
		s.domain[m.Box] = m
		s.excluded.Clear(m.Box)
		s.ranked = nil
	}
}

// Pick returns the box to read through, or false if this box has to read the log by itself.
func (s *Selector) Pick(now time.Time) (reader claim.Member, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.askedAt) < demandDuration && !s.askedAt.IsZero() {
		return claim.Member{}, false
	}
	var readers []string
	for _, m := range s.rankedBoxes() {
		if len(readers) >= readerCount(len(s.domain)) {
			break
		}
		if m.Box == s.self.Box {
			return claim.Member{}, false
		}
		if !s.excluded.Includes(now, m.Box) {
			readers = append(readers, m.Box)
		}
	}
	name := rendezvous.Pick(s.self.Box, readers)
	return s.domain[name], name != ""
}

// readerCount returns how many of a number of boxes read the log.
func readerCount(boxes int) int {
	return max(minReaders, (boxes+boxesPerReader-1)/boxesPerReader)
}

// rankedBoxes returns the boxes of the domain in the order in which they become readers. s.mu must be
// held.
func (s *Selector) rankedBoxes() []claim.Member {
	if s.ranked != nil {
		return s.ranked
	}
	for _, m := range s.domain {
		s.ranked = append(s.ranked, m)
	}
	slices.SortFunc(s.ranked, func(a, b claim.Member) int {
		return cmp.Or(cmp.Compare(b.Size, a.Size), cmp.Compare(xxhash.Sum64String(a.Box), xxhash.Sum64String(b.Box)), cmp.Compare(a.Box, b.Box))
	})
	return s.ranked
}

// RecordAsked records that another box asks this one for what it has read.
func (s *Selector) RecordAsked(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.askedAt = now
}

// RecordFailure records that a box did not answer, or does not read the log.
func (s *Selector) RecordFailure(now time.Time, box string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.excluded.RecordFailure(now, box)
}

// RecordAnswer records that a box has answered.
func (s *Selector) RecordAnswer(box string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.excluded.Clear(box)
}
