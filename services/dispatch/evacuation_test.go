// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"saddlevane/models/evacuation"
	"saddlevane/models/exchange"
	"saddlevane/models/order"
	"saddlevane/models/stream"

	"gotest.tools/v3/assert"
)

// evacuationBound is how long after its request an evacuation must be in force at a box that has
// reached the log all along.
const evacuationBound = 3 * time.Second

// configPollInterval is the time between two reads of the stream of configurations, and
// configReadTime how long each takes.
const (
	configPollInterval = 100 * time.Millisecond
	configReadTime     = 3 * time.Millisecond
)

// evacuate requests the evacuation of a failure domain, unless the log is down.
func (w *world) evacuate(domain string) {
	if w.logDown {
		return
	}
	w.appendEvacuation(domain, []byte("{}"))
	if w.evacuatedAt[domain].IsZero() {
		w.evacuatedAt[domain] = w.now
	}
}

// withdrawEvacuation withdraws the request to evacuate a failure domain, unless the log is down.
func (w *world) withdrawEvacuation(domain string) {
	if w.logDown {
		return
	}
	w.appendEvacuation(domain, nil)
	delete(w.evacuatedAt, domain)
}

// appendEvacuation appends a record to the stream of configurations.
func (w *world) appendEvacuation(domain string, value []byte) {
	s := w.streams[stream.Config]
	s.records = append(s.records, stream.Record{Key: domain, Value: value, Offset: int64(len(s.records))})
}

// pollConfig reads the evacuations at every configPollInterval. Only a read that finds records lets the
// reducer decide.
func (b *fakeBox) pollConfig(incarnation int) {
	if !b.alive || b.incarnation != incarnation {
		return
	}
	b.w.after(configPollInterval, func() { b.pollConfig(incarnation) })
	if b.w.logDown || b.logUnreachable || b.w.now.Before(b.pausedUntil) {
		b.logTroubleAt = b.w.now
	}
	if b.w.logDown || b.logUnreachable || b.w.configReadsStopped {
		return
	}
	askedAt, u := b.w.now, b.readEvacuations()
	b.w.after(configReadTime, func() {
		if u.Complete || len(u.Changes) > 0 {
			b.deliver(incarnation, exchange.EvacuationsRead{Update: u})
		}
		if b.alive && b.incarnation == incarnation && !b.w.now.Before(b.pausedUntil) {
			b.core.Handle(b.w.now, exchange.ConfigReadEnded{AskedAt: askedAt})
		}
	})
}

// readEvacuations returns the evacuations that the box has not read yet, or all at its first read.
func (b *fakeBox) readEvacuations() evacuation.Update {
	s := b.w.streams[stream.Config]
	records := s.records[b.nextConfigOffset:]
	u := evacuation.Update{Complete: !b.hasReadConfig, Next: int64(len(s.records))}
	if u.Complete {
		records = s.compacted()
	}
	for _, r := range records {
		u.Changes = append(u.Changes, evacuation.Change{Domain: r.Key, Requested: !r.IsTombstone(), Offset: r.Offset})
	}
	b.nextConfigOffset, b.hasReadConfig = u.Next, true
	return u
}

// checkEvacuation records a violation if box b has started a task in a failure domain whose evacuation
// it must have known. A box that could not read the log lately need not know it, and an order that a
// worker carries out late was given earlier.
func (w *world) checkEvacuation(b *fakeBox, f *fakeWorker, s order.Start) {
	requested := w.evacuatedAt[f.domain]
	if requested.IsZero() || w.executingLateOrder || w.now.Sub(requested) <= evacuationBound || w.now.Sub(b.logTroubleAt) <= evacuationBound {
		return
	}
	w.violationf("%v is started by %s on %s in domain %s, which is evacuated since %v", s.Task, b.name, f.incarnation, f.domain, w.now.Sub(requested))
}

// spreadWorkers gives the workers failure domains, one for each rack, and returns the domains.
func (w *world) spreadWorkers() []string {
	domains := map[string]bool{}
	for _, f := range w.workers {
		f.domain = "domain-" + f.rack
		domains[f.domain] = true
	}
	return slices.Sorted(maps.Keys(domains))
}

// TestRandomWorldsWithEvacuations evacuates failure domains, one, several or all at a time, and
// withdraws the requests, while boxes, workers and the log fail. The domains are found to be in use
// again: all jobs end.
func TestRandomWorldsWithEvacuations(t *testing.T) {
	for seed := range seedCount() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 15000+seed, 3, 9)
			domains := w.spreadWorkers()
			w.waitUntilServing()
			w.lateOrderShare = []float64{0, 0, 0.05}[w.rng.Intn(3)]
			for range 8 {
				w.after(time.Duration(w.rng.Intn(15000))*time.Millisecond, func() { w.evacuateSome(domains) })
			}
			w.after(19*time.Second, func() { w.withdrawAll(domains) })
			w.runWithFaults()
		})
	}
}

// evacuateSome requests the evacuation of one or of all domains, for up to 9 s or until the end of the
// faults. Half of the requests are withdrawn and made again at once.
func (w *world) evacuateSome(domains []string) {
	chosen := domains[w.rng.Intn(len(domains)):][:1]
	if w.rng.Intn(5) == 0 {
		chosen = domains
	}
	withdrawIn := time.Duration(500+w.rng.Intn(8500)) * time.Millisecond
	again := w.rng.Intn(2) == 0
	for _, domain := range chosen {
		w.evacuate(domain)
		if again {
			w.after(200*time.Millisecond, func() { w.withdrawEvacuation(domain) })
			w.after(400*time.Millisecond, func() { w.evacuate(domain) })
		}
		w.after(withdrawIn, func() { w.withdrawEvacuation(domain) })
	}
}

// withdrawAll withdraws all evacuations, again and again while the log is down.
func (w *world) withdrawAll(domains []string) {
	if w.logDown {
		w.after(100*time.Millisecond, func() { w.withdrawAll(domains) })
		return
	}
	for _, domain := range domains {
		w.withdrawEvacuation(domain)
	}
}

// evacuationsRead returns a complete update with requests for some domains.
func evacuationsRead(next int64, domains ...string) exchange.EvacuationsRead {
	u := evacuation.Update{Complete: true, Next: next}
	for i, domain := range domains {
		u.Changes = append(u.Changes, evacuation.Change{Domain: domain, Requested: true, Offset: int64(i)})
	}
	return exchange.EvacuationsRead{Update: u}
}

// twoDomains returns a worker in each of the domains "a" and "b".
func twoDomains() []order.Worker {
	return []order.Worker{
		{Incarnation: order.Incarnation{Name: "wa"}, Address: "wa", Pool: pool, Domain: "a", Capacity: workerCapacity},
		{Incarnation: order.Incarnation{Name: "wb"}, Address: "wb", Pool: pool, Domain: "b", Capacity: workerCapacity},
	}
}

func TestEvacuatedDomainGetsNoStarts(t *testing.T) {
	d, renewals := newHolder(t, twoDomains()...)
	d.handle(evacuationsRead(1, "a"))
	for _, s := range effectsOf[exchange.StartRun](d.submitAndLog(oneStep("j", "quick", 4, false))) {
		assert.Equal(t, s.Worker.Name, "wb")
	}
	d.handle(evacuationsRead(2, "a", "b"))
	assert.Equal(t, d.submitAndCountStarts(oneStep("k", "quick", 4, false), 2, renewals), 0, "all domains are evacuated")
	replies := effectsOf[exchange.Reply](d.handle(exchange.ExplanationAsked{Call: 9, Job: "k"}))
	assert.Assert(t, strings.Contains(replies[0].Answer.Explanation.Steps[0].Reason, "evacuated failure domains: a, b"))
	withdrawn := d.handle(evacuationsRead(3))
	assert.Equal(t, len(effectsOf[exchange.StartRun](withdrawn))+d.answerRenewals(time.Second, renewals), 4, "the requests are withdrawn")
}

func TestUnansweredStartIsNotResentToEvacuatedDomain(t *testing.T) {
	d, _ := newHolder(t, twoDomains()[:1]...)
	start := effectsOf[exchange.StartRun](d.submitAndLog(oneStep("j", "quick", 1, false)))[0]
	d.handle(evacuationsRead(1, "a"))
	effects := d.handle(exchange.StartEnded{Worker: start.Worker, Epoch: 1, Run: start.Order.Run, Answer: order.Answer{Outcome: order.Unknown}})
	assert.Equal(t, len(effectsOf[exchange.StartRun](effects)), 0)
}

func TestRunningTasksOfEvacuatedDomainAreNotStopped(t *testing.T) {
	d, renewals := newHolder(t, twoDomains()[:1]...)
	start := effectsOf[exchange.StartRun](d.submitAndLog(oneStep("j", "quick", 1, false)))[0]
	d.handle(exchange.StartEnded{Worker: start.Worker, Epoch: 1, Run: start.Order.Run, Answer: order.Answer{Outcome: order.CarriedOut}})
	effects := d.handle(evacuationsRead(1, "a"))
	effects = append(effects, d.handle(renewAnswer(renewals["wa"], start.Order.Run))...)
	effects = append(effects, d.advance(200*time.Millisecond)...)
	assert.Equal(t, len(effectsOf[exchange.StopRun](effects)), 0)
	assert.Assert(t, len(effectsOf[exchange.Renew](effects)) > 0, "its lease is renewed")
}

// A holder whose reads of the configurations fail while its claim is renewed must not start tasks: a
// domain may have been evacuated meanwhile.
func TestStartsAreWithheldWhileEvacuationsAreUnknown(t *testing.T) {
	d, renewals := newHolder(t, twoDomains()...)
	d.configReadsStopped = true
	d.answerRenewals(evacuationBound, renewals)
	assert.Equal(t, d.submitAndCountStarts(oneStep("j", "quick", 2, false), 2, renewals), 0)
	d.configReadsStopped = false
	assert.Equal(t, d.answerRenewals(time.Second, renewals), 2)
}

func TestUnreadableEvacuationIsReportedOnceAndChangesNothing(t *testing.T) {
	d, renewals := newHolder(t, twoDomains()...)
	d.handle(evacuationsRead(1, "a"))
	bad := exchange.EvacuationsRead{Update: evacuation.Update{Next: 2, Unreadable: map[string]string{"b": "value is not a JSON object"}}}
	assert.Equal(t, effectsOf[exchange.Evacuations](d.handle(bad))[0], exchange.Evacuations{InForce: 1, Refused: 1})
	assert.Equal(t, len(effectsOf[exchange.Evacuations](d.handle(bad))), 0)
	for _, s := range effectsOf[exchange.StartRun](d.submitAndLog(oneStep("j", "quick", 4, false))) {
		assert.Equal(t, s.Worker.Name, "wb", "domain a remains evacuated, domain b does not become so")
	}
	unknown := d.handle(evacuationsRead(3, "a", "nowhere"))
	assert.Equal(t, effectsOf[exchange.Evacuations](unknown)[0], exchange.Evacuations{InForce: 2, Refused: 1})
	assert.Assert(t, len(renewals) == 2)
}
