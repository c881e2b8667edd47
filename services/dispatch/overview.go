// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"time"

	"saddlevane/models/resource"
)

// overviewEvery is the time between two lines that sum the cell up.
const overviewEvery = 2 * time.Second

// byRack counts the workers of each rack.
func (h *holding) byRack() map[string]int {
	n := map[string]int{}
	for _, w := range h.byName() {
		n[w.Rack]++
	}
	return n
}

// overview says how full the workers are and what waits, so that a late job can
// be seen in its surroundings.
func (h *holding) overview(now time.Time) {
	if now.Before(h.overviewAt) {
		return
	}
	h.overviewAt = now.Add(overviewEvery)
	h.docket.Saw(now, h.byRack())
	var capacity, free, promised, stopping resource.Vector
	taking, kept := 0, 0
	for _, w := range h.byName() {
		if !h.takes(now, w) {
			continue
		}
		taking++
		capacity = capacity.Plus(w.Capacity)
		free = free.Plus(w.free)
		promised = promised.Plus(w.promised)
		stopping = stopping.Plus(w.soon().Minus(w.room()))
		if w.keptFor != nil {
			kept++
		}
	}
	tiers := map[tier]int{}
	for _, s := range h.open {
		if s.open && s.waiting > 0 {
			tiers[h.rank(now, s).tier]++
		}
	}
	h.core.note("state of the cell", Field{"claim", h.epoch}, Field{"workers", len(h.workers)}, Field{"taking", taking},
		Field{"processors", capacity.Processors.String()}, Field{"free", free.Processors.String()},
		Field{"accelerators", capacity.Accelerators}, Field{"free_accelerators", free.Accelerators}, Field{"promised_accelerators", promised.Accelerators},
		Field{"promised", promised.Processors.String()}, Field{"stopping", stopping.Processors.String()},
		Field{"workers_kept", kept}, Field{"steps_on_time", tiers[onTime]}, Field{"steps_late", tiers[late]},
		Field{"steps_hopeless", tiers[hopeless]}, Field{"unsettled", len(h.unsettled)}, Field{"plans", h.passes},
		Field{"advice_time", fmt.Sprint(h.advisers.spent)}, Field{"stop_time", h.learned.stopTime.String()},
		Field{"answers_take", h.answers.Usual(now).String()}, Field{"gangs_reserving", h.reserved.Len()}, Field{"reserved", h.reserved.Room().String()}, Field{"reservations_ended", fmt.Sprint(h.reserved.Take())})
	clear(h.advisers.spent)
}
