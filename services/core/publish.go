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

// pendingPublication holds the operators' calls that wait until the log has decided on a
// publication.
type pendingPublication struct {
	waiters  []uint64
	deadline time.Time
}

// publishAsked handles a call to publish a file. It answers at once if the publication has
// already been accepted or is certain to be refused. Otherwise the call waits for the log;
// repeated calls with the same ID share one entry.
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

// refusalReasons returns why a publication is certain to be refused without writing it to
// the log, or nothing.
func (c *Core) refusalReasons(p *record.Publish) []string {
	switch {
	case !c.reader.inForce:
		return []string{"this entry box has no configuration in force yet"}
	case c.members.Leaving():
		return []string{"this entry box is stopping"}
	case c.journal.FailureReason() != "":
		return []string{"the log cannot be written: " + c.journal.FailureReason()}
	case c.journal.Full():
		return []string{"too many entries wait to be appended to the log"}
	default:
		return c.ledger.Check(p)
	}
}

// answerPublication answers the calls that wait for a publication that the log has decided
// on.
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

// answerPublicationsInForce answers the calls that wait for a publication that is in force. A
// snapshot does not contain the decisions on other publications.
func (c *Core) answerPublicationsInForce() []effect.Effect {
	var effects []effect.Effect
	for _, name := range c.ledger.Files() {
		if e, ok := c.ledger.Entry(name); ok {
			effects = append(effects, c.answerPublication(&ledger.PublishDecision{ID: e.PublicationID(), Accepted: true, Revision: e.Revision()})...)
		}
	}
	return effects
}

// expirePublications answers the calls whose timeout has passed before the log has decided.
// The file may still come into force.
func (c *Core) expirePublications(now time.Time) []effect.Effect {
	var effects []effect.Effect
	for id, p := range ordered.Map(c.publications) {
		if now.Before(p.deadline) {
			continue
		}
		delete(c.publications, id)
		for _, w := range p.waiters {
			effects = append(effects, publishAnswer(w, effect.PublishResult{
				Outcome: effect.Unknown, Reasons: []string{"the log has not decided in time; publish again with the same id, or read the file in force"},
			})...)
		}
	}
	return effects
}

// publishAnswer returns the effect that answers one call.
func publishAnswer(waiter uint64, r effect.PublishResult) []effect.Effect {
	return []effect.Effect{effect.AnswerPublish{Waiter: waiter, Result: r}}
}
