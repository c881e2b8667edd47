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

// pendingPublication is an operator who waits for the log's decision.
type pendingPublication struct {
	waiters  []uint64
	deadline time.Time
}

func (c *Core) publishAsked(now time.Time, e event.PublishAsked) []effect.Effect {
	p := e.Publish
	if entry, ok := c.ledger.Entry(p.File); ok && entry.PublicationID() == p.ID {
		return publishAnswer(e.Waiter, effect.PublishResult{Outcome: effect.Accepted, Revision: entry.Revision()})
	}
	if known, ok := c.publications[p.ID]; ok {
		known.waiters = append(known.waiters, e.Waiter)
		c.publications[p.ID] = known
		return nil
	}
	if reasons := c.refusalReasons(&p); len(reasons) > 0 {
		return publishAnswer(e.Waiter, effect.PublishResult{Outcome: effect.Refused, Revision: c.ledger.Revision(p.File), Reasons: reasons})
	}
	c.journal.Add(record.Entry{Publish: &p})
	c.publications[p.ID] = pendingPublication{waiters: []uint64{e.Waiter}, deadline: now.Add(e.Timeout)}
	return c.journal.Tick(now)
}

// refusalReasons says why a publication is surely not applied, without asking the log.
func (c *Core) refusalReasons(p *record.Publish) []string {
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

func (c *Core) answerPublication(p *ledger.PublishDecision) []effect.Effect {
	waiting, ok := c.publications[p.ID]
	if !ok {
		return nil
	}
	delete(c.publications, p.ID)
	result := effect.PublishResult{Outcome: effect.Refused, Revision: p.Revision, Reasons: p.Reasons}
	if p.Accepted {
		result.Outcome = effect.Accepted
	}
	var effects []effect.Effect
	for _, w := range waiting.waiters {
		effects = append(effects, publishAnswer(w, result)...)
	}
	return effects
}

// expirePublications tells operators whose patience is over that the log has
// not decided. The file may still come into force.
func (c *Core) expirePublications(now time.Time) []effect.Effect {
	var effects []effect.Effect
	for id, p := range ordered.Map(c.publications) {
		if now.Before(p.deadline) {
			continue
		}
		delete(c.publications, id)
		for _, w := range p.waiters {
			effects = append(effects, publishAnswer(w, effect.PublishResult{
				Outcome: effect.Unknown, Reasons: []string{"the log has not decided in time; publish again with the same id, or read back"},
			})...)
		}
	}
	return effects
}

func publishAnswer(waiter uint64, r effect.PublishResult) []effect.Effect {
	return []effect.Effect{effect.AnswerPublish{Waiter: waiter, Result: r}}
}
