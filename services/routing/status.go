// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"time"

	"saddlevane/models/status"
)

// Status returns the state of the pools at this box. Removed pools are left out.
func (r *Router) Status(now time.Time) []status.Pool {
	var all []status.Pool
	for _, name := range sortedNames(r.pools) {
		p := r.pools[name]
		if p.retired {
			continue
		}
		s := status.Pool{Name: name, Slots: p.slots(now), Inflight: p.inflight()}
		for _, c := range p.byPriority {
			s.Classes = append(s.Classes, status.Class{
				Name: c.spec.Name, Waiting: c.waiting,
				UsualMillis: float64(c.serviceTime.mean()) / float64(time.Millisecond),
			})
		}
		for _, t := range p.sortedTargets {
			s.Targets = append(s.Targets, status.Target{
				Name: t.name, Limit: t.limit, Inflight: t.inflight, Leaving: t.isLeaving(now), Ejected: t.isEjected(),
			})
		}
		all = append(all, s)
	}
	return all
}

// UnansweredCount returns the number of unanswered requests.
func (r *Router) UnansweredCount() int { return len(r.requests) }

// KeyCount returns the number of keyed requests that are remembered.
func (r *Router) KeyCount() int { return len(r.keys.entries) }
