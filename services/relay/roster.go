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
	"saddlevane/modules/rendezvous"

	"github.com/cespare/xxhash/v2"
)

// Limits say from when on a cell has relays, and how many.
type Limits struct {
	// From is how many workers a cell has at least that has relays: with fewer the
	// holder's own connections cost less than the messages.
	MinWorkers int
	// WorkersPerRelay is how many workers' orders one box should carry, or 0 for no relays. One
	// carries about 5 orders a second for each.
	WorkersPerRelay int
}

const (
	// initialBackoff is how long a box that did not answer carries nothing, maxBackoff the
	// longest that time grows to while it goes on not answering.
	initialBackoff = time.Second
	maxBackoff     = 16 * time.Second
	// directDuration is how long a worker that left an order through a relay unanswered gets
	// its orders from the holder itself: the relay may not reach it.
	directDuration = 2 * time.Second
)

// Selector says which box carries a worker's orders. The boxes of a worker's own domain do,
// as many as its workers need, so that a domain that is cut off takes no other's relays
// with it; each worker has one of them by rendezvous hashing, so that a box that is lost
// moves its own workers only.
type Selector struct {
	limits Limits
	self   string

	mu            sync.Mutex
	boxes         map[string]claim.Member
	workerDomains map[string]string
	// counts has the number of workers by domain.
	workerCounts map[string]int
	backoffs     map[string]backoff
	// direct is until when a worker's orders go to it directly.
	directUntil map[string]time.Time
	// teams has the relays of each domain as they were at relaysChosenAt.
	relaysByDomain map[string][]string
	relaysChosenAt time.Time
}

// backoff is a box that did not answer.
type backoff struct {
	until    time.Time
	duration time.Duration
}

// NewSelector returns the roster of a box that knows no other box and no worker yet.
func NewSelector(l Limits, self string) *Selector {
	return &Selector{
		limits: l, self: self, boxes: map[string]claim.Member{}, workerDomains: map[string]string{}, workerCounts: map[string]int{},
		backoffs: map[string]backoff{}, directUntil: map[string]time.Time{},
	}
}

// AddBoxes takes entry boxes that have announced themselves.
func (r *Selector) AddBoxes(members []claim.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range members {
		r.boxes[m.Box] = m
		delete(r.backoffs, m.Box)
	}
	r.relaysByDomain = nil
}

// UpdateWorkers takes a change of the platform's list of workers.
func (r *Selector) UpdateWorkers(l order.Listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.Complete {
		clear(r.workerDomains)
		clear(r.workerCounts)
	}
	for _, w := range l.Present {
		r.removeWorker(w.Name)
		r.workerDomains[w.Name] = w.Domain
		r.workerCounts[w.Domain]++
	}
	for _, id := range l.Removed {
		r.removeWorker(id)
		delete(r.directUntil, id)
	}
	r.relaysByDomain = nil
}

// removeWorker takes a worker out.
func (r *Selector) removeWorker(id string) {
	if domain, ok := r.workerDomains[id]; ok {
		delete(r.workerDomains, id)
		r.workerCounts[domain]--
	}
}

// Pick returns the box that carries a worker's orders, if one does.
func (r *Selector) Pick(now time.Time, worker string) (box claim.Member, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	domain, known := r.workerDomains[worker]
	if !known || r.limits.WorkersPerRelay == 0 || len(r.workerDomains) < r.limits.MinWorkers || now.Before(r.directUntil[worker]) {
		return claim.Member{}, false
	}
	delete(r.directUntil, worker)
	name := rendezvous.Pick(worker, r.relaysOf(now, domain))
	return r.boxes[name], name != ""
}

// relayChoiceTTL is how long the relays of a domain are kept before boxes that were put aside
// are looked at again.
const relayChoiceTTL = 100 * time.Millisecond

// relaysOf returns the relays of a domain.
func (r *Selector) relaysOf(now time.Time, domain string) []string {
	if r.relaysByDomain == nil || now.Sub(r.relaysChosenAt) > relayChoiceTTL {
		r.relaysByDomain, r.relaysChosenAt = map[string][]string{}, now
	}
	team, ok := r.relaysByDomain[domain]
	if !ok {
		team = r.chooseRelays(now, domain)
		r.relaysByDomain[domain] = team
	}
	return team
}

// chooseRelays returns the first boxes of a domain in an order that is the same for all
// holders, as many as its workers need, without those that were put aside.
func (r *Selector) chooseRelays(now time.Time, domain string) []string {
	var names []string
	for name, m := range r.boxes {
		if m.Domain == domain && name != r.self && !now.Before(r.backoffs[name].until) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	need := (r.workerCounts[domain] + r.limits.WorkersPerRelay - 1) / r.limits.WorkersPerRelay
	return names[:min(need, len(names))]
}

// RecordBoxFailure notes that a box did not answer: it carries nothing for a while.
func (r *Selector) RecordBoxFailure(now time.Time, box string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.backoffs[box]
	if now.Before(a.until) {
		return
	}
	a.duration = min(maxBackoff, max(initialBackoff, 2*a.duration))
	a.until = now.Add(a.duration)
	r.backoffs[box] = a
	r.relaysByDomain = nil
}

// RecordBoxAnswer notes that a box has answered.
func (r *Selector) RecordBoxAnswer(box string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.backoffs, box)
}

// RecordUnanswered notes that an order through a relay had no answer of its worker.
func (r *Selector) RecordUnanswered(now time.Time, worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directUntil[worker] = now.Add(directDuration)
}

// WorkersByRelay returns how many workers' orders each box carries.
func (r *Selector) WorkersByRelay(now time.Time) map[string]int {
	r.mu.Lock()
	workers := make([]string, 0, len(r.workerDomains))
	for id := range r.workerDomains {
		workers = append(workers, id)
	}
	r.mu.Unlock()
	carried := map[string]int{}
	for _, id := range workers {
		if m, ok := r.Pick(now, id); ok {
			carried[m.Box]++
		}
	}
	return carried
}
