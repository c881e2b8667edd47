// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"strings"
	"time"

	"saddlevane/models/evacuation"
	"saddlevane/models/exchange"
	"saddlevane/services/reservations"
)

// While a failure domain is evacuated, nothing is started on its workers: neither new tasks nor
// repeats of unanswered start orders. Tasks that run there already go on, because a stop would throw
// away their work and a domain is emptied soonest by letting short tasks end.

// handleEvacuationsRead applies what a read of the configurations contains about evacuations.
func (c *Core) handleEvacuationsRead(now time.Time, u evacuation.Update) {
	problems := c.evacuations.NewProblems(u)
	for _, domain := range problems {
		c.logEvent("evacuation cannot be read", logField("domain", domain), logField("reason", u.Unreadable[domain]))
	}
	refused := len(problems)
	changes := c.evacuations.Apply(now, u)
	for _, t := range changes {
		if !t.Started {
			c.logEvent("evacuation of the failure domain is withdrawn", logField("domain", t.Domain))
			continue
		}
		workers, tasks := c.countIn(t.Domain)
		c.logEvent("failure domain is evacuated", logField("domain", t.Domain), logField("workers", workers), logField("tasks", tasks))
		if c.holding != nil && c.holding.phase == phaseActive && workers == 0 {
			refused++
			c.logEvent("evacuation names a failure domain without workers", logField("domain", t.Domain))
		}
	}
	if refused == 0 && len(changes) == 0 {
		return
	}
	c.emit(exchange.Evacuations{InForce: len(c.evacuations.Domains()), Refused: refused})
	if c.holding != nil {
		c.holding.planDue = true
		c.holding.refreshAllHealth(now)
		c.holding.releaseUnusableReservations(now)
	}
}

// countIn returns the number of workers in a failure domain and of the tasks on them. A box that does
// not hold the cell knows none.
func (c *Core) countIn(domain string) (workers, tasks int) {
	if c.holding == nil {
		return 0, 0
	}
	for _, w := range c.holding.workers {
		if w.Domain == domain {
			workers++
			tasks += len(w.attempts)
		}
	}
	return workers, tasks
}

// evacuationStatus returns the evacuations in force.
func (c *Core) evacuationStatus() []evacuation.Status {
	var all []evacuation.Status
	for _, domain := range c.evacuations.Domains() {
		_, tasks := c.countIn(domain)
		all = append(all, evacuation.Status{Domain: domain, Since: c.evacuations.Since(domain), Tasks: tasks})
	}
	return all
}

// areEvacuationsKnown reports whether all evacuations are known that have to be in force at now. If
// the log does not answer, nobody can request an evacuation either, so the latest read stays valid.
func (c *Core) areEvacuationsKnown(now time.Time) bool {
	return now.Before(c.configReadAt.Add(c.settings.EvacuationPropagation-configMargin)) || !c.authority.IsLogReachable()
}

// withholdStarts reports whether no task may be started because the evacuations are not known.
func (h *holderState) withholdStarts(now time.Time) bool {
	withheld := !h.core.areEvacuationsKnown(now)
	if withheld != h.startsWithheld {
		h.startsWithheld = withheld
		h.core.logEvent("starts are withheld while evacuations are unknown", logField("withheld", withheld), logField("age", now.Sub(h.core.configReadAt).String()))
	}
	return withheld
}

// releaseUnusableReservations releases the reservations that need a worker on which nothing may be
// started any more, so that their gangs look for capacity elsewhere at once.
func (h *holderState) releaseUnusableReservations(now time.Time) {
	for _, s := range h.openSteps {
		if s.reservation != nil && !h.isReservationUsable(now, s.reservation, s.spec.Reserved()) {
			h.failReservation(now, s, reservations.WorkerUnusable)
		}
	}
}

// isEvacuated reports whether a worker's failure domain is evacuated.
func (h *holderState) isEvacuated(w *worker) bool { return h.core.evacuations.Includes(w.Domain) }

// evacuatedNote returns a supplement to the reason why a step waits that names the evacuated domains,
// or "" if there are none.
func (h *holderState) evacuatedNote() string {
	domains := h.core.evacuations.Domains()
	if len(domains) == 0 {
		return ""
	}
	return "; evacuated failure domains: " + strings.Join(domains, ", ")
}
