// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/order"
	"saddlevane/modules/exclusion"
	"saddlevane/modules/rendezvous"

	"github.com/cespare/xxhash/v2"
)

// Limits determine whether a cell uses relays, and how many.
type Limits struct {
	// MinWorkers is the number of workers from which on a cell uses relays. With fewer, the
	// holder's own connections cost less than the messages to relays.
	MinWorkers int
	// WorkersPerRelay is the maximum number of workers for which one box should relay orders,
	// or 0 to use no relays. A relay passes on about 5 orders per second for each worker.
	WorkersPerRelay int
}

const (
	// initialExclusion and longestExclusion bound how long a box is excluded after it did not answer.
	initialExclusion = time.Second
	longestExclusion = 16 * time.Second
	// directDuration is how long the holder sends orders directly to a worker after an order
	// through its relay was not answered, because the relay may be unable to reach it.
	directDuration = 2 * time.Second
)

// Selector selects the relay of each worker. Relays are boxes of the worker's own failure
// domain, so that a partitioned domain does not affect the relays of others; a domain has
// as many as its workers need. Each worker is assigned to one of them by rendezvous
// hashing, so that the failure of a box moves only the box's own workers.
type Selector struct {
	limits Limits
	self   string

	mu            sync.Mutex
	boxes         map[string]claim.Member
	workerDomains map[string]string
	// workerCounts holds the number of workers by domain.
	workerCounts map[string]int
	excluded     *exclusion.List
	// directUntil holds the time until which a worker's orders are sent directly.
	directUntil map[string]time.Time
	// relaysByDomain caches the relays of each domain since relaysChosenAt.
	relaysByDomain map[string][]string
	relaysChosenAt time.Time
}

// NewSelector returns a Selector without boxes or workers. self is the name of this box,
// which is not used as a relay.
func NewSelector(l Limits, self string) *Selector {
	return &Selector{
		limits: l, self: self, boxes: map[string]claim.Member{}, workerDomains: map[string]string{}, workerCounts: map[string]int{},
		excluded: exclusion.New(initialExclusion, longestExclusion), directUntil: map[string]time.Time{},
	}
}

// AddBoxes adds or updates entry boxes that have announced themselves. They are no longer
// excluded.
func (s *Selector) AddBoxes(members []claim.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range members {
		s.boxes[m.Box] = m
		s.excluded.Clear(m.Box)
	}
	s.relaysByDomain = nil
}

// UpdateWorkers applies a change of the platform's list of workers.
func (s *Selector) UpdateWorkers(l order.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Complete {
		clear(s.workerDomains)
		clear(s.workerCounts)
	}
	for _, w := range l.Present {
		s.removeWorker(w.Name)
		s.workerDomains[w.Name] = w.Domain
		s.workerCounts[w.Domain]++
	}
	for _, id := range l.Removed {
		s.removeWorker(id)
		delete(s.directUntil, id)
	}
	s.relaysByDomain = nil
}

// removeWorker removes a worker from its domain.
func (s *Selector) removeWorker(id string) {
	if domain, ok := s.workerDomains[id]; ok {
		delete(s.workerDomains, id)
		s.workerCounts[domain]--
	}
}

// Pick returns the relay of a worker, or false if its orders are sent directly.
func (s *Selector) Pick(now time.Time, worker string) (box claim.Member, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	domain, known := s.workerDomains[worker]
	if !known || s.limits.WorkersPerRelay == 0 || len(s.workerDomains) < s.limits.MinWorkers || now.Before(s.directUntil[worker]) {
		return claim.Member{}, false
	}
	delete(s.directUntil, worker)
	name := rendezvous.Pick(worker, s.relaysOf(now, domain))
	return s.boxes[name], name != ""
}

// relayChoiceTTL is how long the chosen relays of a domain are cached. Boxes that are no
// longer excluded are used again after that.
const relayChoiceTTL = 100 * time.Millisecond

// relaysOf returns the names of the relays of a domain. The caller holds mu.
func (s *Selector) relaysOf(now time.Time, domain string) []string {
	if s.relaysByDomain == nil || now.Sub(s.relaysChosenAt) > relayChoiceTTL {
		s.relaysByDomain, s.relaysChosenAt = map[string][]string{}, now
	}
	relays, ok := s.relaysByDomain[domain]
	if !ok {
		relays = s.chooseRelays(now, domain)
		s.relaysByDomain[domain] = relays
	}
	return relays
}

// chooseRelays returns as many boxes of a domain as its workers need, without excluded ones.
// Boxes are taken in the order of their hashes, so that all holders choose the same.
func (s *Selector) chooseRelays(now time.Time, domain string) []string {
	var names []string
	for name, m := range s.boxes {
		if m.Domain == domain && name != s.self && !s.excluded.Includes(now, name) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	need := (s.workerCounts[domain] + s.limits.WorkersPerRelay - 1) / s.limits.WorkersPerRelay
	return names[:min(need, len(names))]
}

// RecordBoxFailure records that a box did not answer and excludes it for a while.
func (s *Selector) RecordBoxFailure(now time.Time, box string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.excluded.RecordFailure(now, box) {
		s.relaysByDomain = nil
	}
}

// RecordBoxAnswer records that a box has answered and is no longer excluded.
func (s *Selector) RecordBoxAnswer(box string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.excluded.Clear(box)
}

// RecordUnanswered records that a worker did not answer an order through its relay. Its
// orders are sent directly for directDuration.
func (s *Selector) RecordUnanswered(now time.Time, worker string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directUntil[worker] = now.Add(directDuration)
}

// WorkersByRelay returns the number of workers of each relay, by the name of its box.
func (s *Selector) WorkersByRelay(now time.Time) map[string]int {
	s.mu.Lock()
	workers := make([]string, 0, len(s.workerDomains))
	for id := range s.workerDomains {
		workers = append(workers, id)
	}
	s.mu.Unlock()
	counts := map[string]int{}
	for _, id := range workers {
		if m, ok := s.Pick(now, id); ok {
			counts[m.Box]++
		}
	}
	return counts
}
