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

// overviewInterval is the minimum time between two log lines with the state of the cell.
const overviewInterval = 2 * time.Second

// answeringByRack counts the answering workers of each rack. Workers that do not answer are left
// out because no further crash of them can be detected.
func (h *holderState) answeringByRack() map[string]int {
	n := map[string]int{}
	for _, w := range h.workersByName() {
		if w.failedRenewals == 0 {
			n[w.Rack]++
		}
	}
	return n
}

// logOverview logs how full the workers are and what waits, so that a late job can be related to
// the load at that time.
func (h *holderState) logOverview(now time.Time) {
	if now.Before(h.nextOverviewAt) {
		return
	}
	h.nextOverviewAt = now.Add(overviewInterval)
	h.blame.ObserveWorkers(now, h.answeringByRack())
	var capacity, free, committed, stopping resource.Vector
	schedulable, held := 0, 0
	for _, w := range h.workersByName() {
		if !h.isSchedulable(now, w) {
			continue
		}
		schedulable++
		capacity = capacity.Plus(w.Capacity)
		free = free.Plus(w.free)
		committed = committed.Plus(w.committed)
		stopping = stopping.Plus(w.availableAfterStops().Minus(w.available()))
		if w.prevHeldFor != nil {
			held++
		}
	}
	tiers := map[ranking.Tier]int{}
	for _, s := range h.openSteps {
		if s.open && s.unplacedTasks > 0 {
			tiers[h.rank(now, s).Tier]++
		}
	}
	all := h.workspaceStatus()
	h.core.emit(exchange.WorkspaceUsage{All: all})
	for _, ws := range all {
		if ws.Capped > 0 {
			h.core.logEvent("workspace has reached its cap", logField("workspace", ws.Name), logField("steps", ws.Capped),
				logField("used", ws.Used), logField("cap", ws.Cap))
		}
	}
	h.core.logEvent("state of the cell", logField("claim", h.epoch), logField("workers", len(h.workers)), logField("taking", schedulable),
		logField("processors", capacity.Processors.String()), logField("free", free.Processors.String()),
		logField("accelerators", capacity.Accelerators), logField("free_accelerators", free.Accelerators),
		logField("promised_accelerators", committed.Accelerators),
		logField("promised", committed.Processors.String()), logField("stopping", stopping.Processors.String()),
		logField("workers_kept", held), logField("evacuated", h.core.evacuations.Domains()), logField("steps_on_time", tiers[ranking.OnTime]), logField("steps_late", tiers[ranking.Late]),
		logField("steps_hopeless", tiers[ranking.Hopeless]), logField("returns_awaited", h.admission.Places()), logField("unsettled", len(h.unreportedWorkers)), logField("plans", h.planCount),
		logField("advice_time", fmt.Sprint(h.advisers.CallTimeByQueue)), logField("stop_time", h.estimates.StopTime().String()),
		logField("speeds", h.speeds.Summary(now)),
		logField("answers_take", h.answerDelays.UpperQuartile(now).String()), logField("gangs_reserving", h.reservations.Len()),
		logField("reserved", h.reservations.Processors().String()), logField("reservations_ended", fmt.Sprint(h.reservations.TakeTotals())),
		logField("workspaces_over_share", h.shares.CountOver()))
	clear(h.advisers.CallTimeByQueue)
}
