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
	From int
	// PerRelay is how many workers' orders one box should carry, or 0 for no relays. One
	// carries about 5 orders a second for each.
	PerRelay int
}

const (
	// asideFirst is how long a box that did not answer carries nothing, asideMost the
	// longest that time grows to while it goes on not answering.
	asideFirst = time.Second
	asideMost  = 16 * time.Second
	// directFor is how long a worker that left an order through a relay unanswered gets
	// its orders from the holder itself: the relay may not reach it.
	directFor = 2 * time.Second
)

// Roster says which box carries a worker's orders. The boxes of a worker's own domain do,
// as many as its workers need, so that a domain that is cut off takes no other's relays
// with it; each worker has one of them by rendezvous hashing, so that a box that is lost
// moves its own workers only.
type Roster struct {
	limits Limits
	self   string

	mu      sync.Mutex
	boxes   map[string]claim.Member
	domains map[string]string
	// counts has the number of workers by domain.
	counts map[string]int
	aside  map[string]aside
	// direct is until when a worker's orders go to it directly.
	direct map[string]time.Time
	// teams has the relays of each domain as they were at teamsAt.
	teams   map[string][]string
	teamsAt time.Time
}

// aside is a box that did not answer.
type aside struct {
	until time.Time
	span  time.Duration
}

// NewRoster returns the roster of a box that knows no other box and no worker yet.
func NewRoster(l Limits, self string) *Roster {
	return &Roster{
		limits: l, self: self, boxes: map[string]claim.Member{}, domains: map[string]string{}, counts: map[string]int{},
		aside: map[string]aside{}, direct: map[string]time.Time{},
	}
}

// Boxes takes entry boxes that have announced themselves.
func (r *Roster) Boxes(members []claim.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range members {
		r.boxes[m.Box] = m
		delete(r.aside, m.Box)
	}
	r.teams = nil
}

// Workers takes a change of the platform's list of workers.
func (r *Roster) Workers(l order.Listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.Complete {
		clear(r.domains)
		clear(r.counts)
	}
	for _, w := range l.Present {
		r.remove(w.Name)
		r.domains[w.Name] = w.Domain
		r.counts[w.Domain]++
	}
	for _, id := range l.Removed {
		r.remove(id)
		delete(r.direct, id)
	}
	r.teams = nil
}

// remove takes a worker out.
func (r *Roster) remove(id string) {
	if domain, ok := r.domains[id]; ok {
		delete(r.domains, id)
		r.counts[domain]--
	}
}

// Pick returns the box that carries a worker's orders, if one does.
func (r *Roster) Pick(now time.Time, worker string) (box claim.Member, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	domain, known := r.domains[worker]
	if !known || r.limits.PerRelay == 0 || len(r.domains) < r.limits.From || now.Before(r.direct[worker]) {
		return claim.Member{}, false
	}
	delete(r.direct, worker)
	name := rendezvous.Pick(worker, r.team(now, domain))
	return r.boxes[name], name != ""
}

// teamsFor is how long the relays of a domain are kept before boxes that were put aside
// are looked at again.
const teamsFor = 100 * time.Millisecond

// team returns the relays of a domain.
func (r *Roster) team(now time.Time, domain string) []string {
	if r.teams == nil || now.Sub(r.teamsAt) > teamsFor {
		r.teams, r.teamsAt = map[string][]string{}, now
	}
	team, ok := r.teams[domain]
	if !ok {
		team = r.choose(now, domain)
		r.teams[domain] = team
	}
	return team
}

// choose returns the first boxes of a domain in an order that is the same for all
// holders, as many as its workers need, without those that were put aside.
func (r *Roster) choose(now time.Time, domain string) []string {
	var names []string
	for name, m := range r.boxes {
		if m.Domain == domain && name != r.self && !now.Before(r.aside[name].until) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	need := (r.counts[domain] + r.limits.PerRelay - 1) / r.limits.PerRelay
	return names[:min(need, len(names))]
}

// Failed notes that a box did not answer: it carries nothing for a while.
func (r *Roster) Failed(now time.Time, box string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.aside[box]
	if now.Before(a.until) {
		return
	}
	a.span = min(asideMost, max(asideFirst, 2*a.span))
	a.until = now.Add(a.span)
	r.aside[box] = a
	r.teams = nil
}

// Answered notes that a box has answered.
func (r *Roster) Answered(box string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.aside, box)
}

// Unanswered notes that an order through a relay had no answer of its worker.
func (r *Roster) Unanswered(now time.Time, worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.direct[worker] = now.Add(directFor)
}

// Relays returns how many workers' orders each box carries.
func (r *Roster) Relays(now time.Time) map[string]int {
	r.mu.Lock()
	workers := make([]string, 0, len(r.domains))
	for id := range r.domains {
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
