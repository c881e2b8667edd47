// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/resource"
	"saddlevane/services/ranking"
)

// overviewEvery is the time between two lines that sum the cell up.
const overviewEvery = 2 * time.Second

// byRack counts the workers of each rack that answer: what is down cannot crash.
func (h *holding) byRack() map[string]int {
	n := map[string]int{}
	for _, w := range h.workersByName() {
		if w.failures == 0 {
			n[w.Rack]++
		}
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
	for _, w := range h.workersByName() {
		if !h.isSchedulable(now, w) {
			continue
		}
		taking++
		capacity = capacity.Plus(w.Capacity)
		free = free.Plus(w.free)
		promised = promised.Plus(w.promised)
		stopping = stopping.Plus(w.soon().Minus(w.room()))
		if w.prevHeldFor != nil {
			kept++
		}
	}
	tiers := map[ranking.Tier]int{}
	for _, s := range h.open {
		if s.open && s.waiting > 0 {
			tiers[h.rank(now, s).Tier]++
		}
	}
	all := h.workspaceStatus()
	h.core.do(exchange.WorkspacesSeen{All: all})
	for _, ws := range all {
		if ws.Capped > 0 {
			h.core.note("a workspace waits for its cap", field("workspace", ws.Name), field("steps", ws.Capped), field("used", ws.Used), field("cap", ws.Most))
		}
	}
	h.core.note("state of the cell", field("claim", h.epoch), field("workers", len(h.workers)), field("taking", taking),
		field("processors", capacity.Processors.String()), field("free", free.Processors.String()),
		field("accelerators", capacity.Accelerators), field("free_accelerators", free.Accelerators), field("promised_accelerators", promised.Accelerators),
		field("promised", promised.Processors.String()), field("stopping", stopping.Processors.String()),
		field("workers_kept", kept), field("steps_on_time", tiers[ranking.OnTime]), field("steps_late", tiers[ranking.Late]),
		field("steps_hopeless", tiers[ranking.Hopeless]), field("unsettled", len(h.unsettled)), field("plans", h.passes),
		field("advice_time", fmt.Sprint(h.advisers.CallTimeByQueue)), field("stop_time", h.learned.StopTime().String()),
		field("answers_take", h.answers.UpperQuartile(now).String()), field("gangs_reserving", h.reserved.Len()), field("reserved", h.reserved.Processors().String()), field("reservations_ended", fmt.Sprint(h.reserved.TakeTotals())))
	clear(h.advisers.CallTimeByQueue)
}
