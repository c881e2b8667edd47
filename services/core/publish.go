// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package core

import (
	"time"

	"saddlevane/models/effect"
	"saddlevane/models/event"
	"saddlevane/models/record"
	"saddlevane/modules/ordered"
	"saddlevane/services/ledger"
)

// publication is an operator who waits for the log's decision.
type publication struct {
	waiters []uint64
	until   time.Time
}

func (c *Core) publishAsked(now time.Time, e event.PublishAsked) []effect.Effect {
	p := e.Publish
	if entry, ok := c.ledger.Entry(p.File); ok && entry.Publication() == p.ID {
		return answer(e.Waiter, effect.PublishResult{Outcome: effect.Accepted, Revision: entry.Revision()})
	}
	if known, ok := c.waiting[p.ID]; ok {
		known.waiters = append(known.waiters, e.Waiter)
		c.waiting[p.ID] = known
		return nil
	}
	if reasons := c.refusals(&p); len(reasons) > 0 {
		return answer(e.Waiter, effect.PublishResult{Outcome: effect.Refused, Revision: c.ledger.Revision(p.File), Reasons: reasons})
	}
	c.journal.Add(record.Entry{Publish: &p})
	c.waiting[p.ID] = publication{waiters: []uint64{e.Waiter}, until: now.Add(e.Timeout)}
	return c.journal.Tick(now)
}

// refusals says why a publication is surely not applied, without asking the log.
func (c *Core) refusals(p *record.Publish) []string {
	switch {
	case !c.reader.inForce:
		return []string{"this entry box has no configuration in force yet"}
	case c.members.Leaving():
		return []string{"this entry box is stopping"}
	case c.journal.FailureReason() != "":
		return []string{"the log cannot be written: " + c.journal.FailureReason()}
	case c.journal.Full():
		return []string{"too much waits for the log"}
	default:
		return c.ledger.Check(p)
	}
}

func (c *Core) publicationDecided(p *ledger.Publication) []effect.Effect {
	waiting, ok := c.waiting[p.ID]
	if !ok {
		return nil
	}
	delete(c.waiting, p.ID)
	result := effect.PublishResult{Outcome: effect.Refused, Revision: p.Revision, Reasons: p.Reasons}
	if p.Accepted {
		result.Outcome = effect.Accepted
	}
	var effects []effect.Effect
	for _, w := range waiting.waiters {
		effects = append(effects, answer(w, result)...)
	}
	return effects
}

// expirePublications tells operators whose patience is over that the log has
// not decided. The file may still come into force.
func (c *Core) expirePublications(now time.Time) []effect.Effect {
	var effects []effect.Effect
	for id, p := range ordered.Map(c.waiting) {
		if now.Before(p.until) {
			continue
		}
		delete(c.waiting, id)
		for _, w := range p.waiters {
			effects = append(effects, answer(w, effect.PublishResult{
				Outcome: effect.Unknown, Reasons: []string{"the log has not decided in time; publish again with the same id, or read back"},
			})...)
		}
	}
	return effects
}

func answer(waiter uint64, r effect.PublishResult) []effect.Effect {
	return []effect.Effect{effect.AnswerPublish{Waiter: waiter, Result: r}}
}
