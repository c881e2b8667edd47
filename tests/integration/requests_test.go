// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"saddlevane/models/box"
	"saddlevane/models/verdict"
	"saddlevane/tests/cell"

	"gotest.tools/v3/assert"
)

func TestEveryCallerGetsItsOwnCompleteResponse(t *testing.T) {
	f := newFixture(t, nil, domain("a"), domain("b"))
	c := newCallers(f)
	c.cancelSome, c.maxDelayMs, c.maxPaddingBytes = true, 20, 200_000
	c.run(40, "preview", "render", "extract")
	f.waitFor("callers have 1500 complete responses", func() bool { return c.count(callResult.isComplete) >= 1500 })
	f.checkVerdicts(c.stopAndCollect())
}

func TestTruncatedResponseIsNeverDelivered(t *testing.T) {
	f := newFixture(t, nil, domain("a"))
	assert.NilError(t, cell.SetFaults(f.ctx, f.Targets()[0].DirectAddress, cell.Faults{Truncate: true}))
	c := newCallers(f)
	c.run(8, "preview", "extract")
	f.waitFor("callers have 300 complete responses", func() bool { return c.count(callResult.isComplete) >= 300 })
	f.waitFor("an extract request is affected by the fault", func() bool {
		return c.count(func(r callResult) bool { return r.verdict == verdict.MayHaveRun }) > 0
	})
	f.checkVerdicts(c.stopAndCollect())
}

func TestNotRunVerdictIsNeverGivenIfRequestMayHaveRun(t *testing.T) {
	f := newFixture(t, func(o *cell.Options) {
		for i := range o.Domains {
			o.Domains[i].SeparateProcesses = true
		}
	}, domain("a"))
	c := newCallers(f)
	c.client.Timeout = 2 * time.Second
	c.run(24, "preview", "render", "extract")
	waitForResponses := func(what string) {
		t.Helper()
		previous := c.count(callResult.isComplete)
		f.waitFor("responses arrive after "+what, func() bool { return c.count(callResult.isComplete) >= previous+100 })
	}
	waitForResponses("the start")
	target, proxy := f.Targets()[0], f.Targets()[0].Name
	for _, faults := range []cell.Faults{{LoseAnswers: true}, {Drop: true}, {Slow: 300}, {Truncate: true}, {}} {
		assert.NilError(t, cell.SetFaults(f.ctx, target.DirectAddress, faults))
		waitForResponses(fmt.Sprintf("%+v", faults))
	}
	assert.NilError(t, f.proxies.Refuse(proxy))
	waitForResponses("refused connections")
	assert.NilError(t, f.proxies.Accept(proxy))
	assert.NilError(t, f.proxies.Cut(proxy, cell.Answers))
	waitForResponses("a cut of responses")
	assert.NilError(t, f.proxies.Heal(proxy))
	assert.NilError(t, f.proxies.Cut(proxy, cell.Requests))
	waitForResponses("a cut of requests")
	assert.NilError(t, f.proxies.Heal(proxy))
	assert.NilError(t, target.Process().Pause())
	waitForResponses("a paused target")
	assert.NilError(t, target.Process().Continue())
	e := f.Entries()[0]
	assert.NilError(t, e.Process().Pause())
	waitForResponses("a paused entry box")
	assert.NilError(t, e.Process().Continue())
	e.Process().Kill()
	waitForResponses("a killed entry box")
	assert.NilError(t, f.StartEntry(e))
	f.waitFor("the entry box is ready again", func() bool { return e.Ready(f.ctx) })
	waitForResponses("its restart")
	f.checkVerdicts(c.stopAndCollect())
}

func TestNonRepeatableRequestRunsOnceAcrossBoxes(t *testing.T) {
	f := newFixture(t, nil, domain("a"))
	first, second := f.Entries()[0], f.Entries()[1]
	c := newCallers(f)
	f.waitFor("the boxes are connected to each other", func() bool {
		s, err := first.Status(f.ctx)
		return err == nil && len(s.Live) == 2
	})
	for i := range 50 {
		key := c.issueKey(first)
		nonce := fmt.Sprint("twice-", i)
		results := make(chan callResult, 4)
		for _, e := range []*cell.Entry{first, second, second, first} {
			c.tasks.Go(func() {
				results <- c.send(e, callResult{nonce: nonce, class: "extract", body: nonce}, key)
			})
		}
		for range 4 {
			r := <-results
			assert.Check(t, r.isComplete(), "%+v", r)
		}
	}
	// The outcome of a request is known only to the box that issued its key. Once that box is
	// killed, the outcome is unknown.
	key := c.issueKey(first)
	r := c.send(second, callResult{nonce: "before", class: "extract", body: "before"}, key)
	assert.Check(t, r.isComplete(), "%+v", r)
	first.Process().Kill()
	r = c.send(second, callResult{nonce: "before", class: "extract", body: "before"}, key)
	assert.Equal(t, r.verdict, verdict.MayHaveRun, "%+v", r)
	// A new process of the same box does not know the outcome either.
	assert.NilError(t, f.StartEntry(first))
	f.waitFor("the box is ready again", func() bool { return first.Ready(f.ctx) })
	r = c.send(first, callResult{nonce: "before", class: "extract", body: "before"}, key)
	assert.Equal(t, r.verdict, verdict.MayHaveRun, "%+v", r)
	for nonce, n := range f.runCounts() {
		assert.Equal(t, n, 1, nonce)
	}
}

func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	d := domain("a")
	d.Targets = 3
	f := newFixture(t, nil, d)
	served := func(i int) int64 {
		all, err := f.TargetStats(f.ctx)
		assert.NilError(t, err)
		return all[i].Served
	}
	c := newCallers(f)
	c.run(8, "preview", "render", "extract")
	defer func() { f.checkVerdicts(c.stopAndCollect()) }()

	// While the list of boxes can't be read, the target's own report counts.
	assert.NilError(t, f.proxies.Refuse("boxes-a"))
	assert.NilError(t, cell.SetFaults(f.ctx, f.Targets()[0].DirectAddress, cell.Faults{Leaving: true}))
	previous := c.count(callResult.isComplete)
	f.waitFor("the other targets continue to serve", func() bool { return c.count(callResult.isComplete) > previous+50 })
	before := served(0)
	f.waitFor("the other targets continue to serve", func() bool { return c.count(callResult.isComplete) > previous+200 })
	assert.Equal(t, served(0), before)

	// The state in the list of boxes counts as well.
	assert.NilError(t, f.proxies.Accept("boxes-a"))
	assert.NilError(t, f.SetState(f.ctx, f.Targets()[1].Name, box.Leaving))
	leaving := func() bool {
		for _, e := range f.Entries() {
			s, err := e.Status(f.ctx)
			if err != nil || !s.Pools[0].Targets[1].Leaving {
				return false
			}
		}
		return true
	}
	f.waitFor("all boxes have read the state from the list", leaving)
	previous = c.count(callResult.isComplete)
	f.waitFor("requests in progress have ended", func() bool { return c.count(callResult.isComplete) > previous+50 })
	before = served(1)
	f.waitFor("the other targets continue to serve", func() bool { return c.count(callResult.isComplete) > previous+200 })
	assert.Equal(t, served(1), before)
}

func TestRollingRestartInterruptsNoRequest(t *testing.T) {
	f := newFixture(t, nil, domain("a"))
	c := newCallers(f)
	// A load balancer sends requests only to boxes that report ready.
	var ready [2]atomic.Bool
	stopWatching := make(chan struct{})
	c.tasks.Go(func() {
		ticker := time.NewTicker(20 * time.Millisecond)
		defer ticker.Stop()
		for {
			for i, e := range f.Entries() {
				ready[i].Store(e.Ready(f.ctx))
			}
			select {
			case <-ticker.C:
			case <-stopWatching:
				return
			}
		}
	})
	f.waitFor("both boxes are ready", func() bool { return ready[0].Load() && ready[1].Load() })
	c.pickEntry = func() *cell.Entry {
		for i := range ready {
			if ready[i].Load() {
				return f.Entries()[i]
			}
		}
		return f.Entries()[0]
	}
	c.run(16, "preview", "render", "extract")
	for range 2 {
		for i, e := range f.Entries() {
			previous := c.count(callResult.isComplete)
			f.waitFor("callers are served", func() bool { return c.count(callResult.isComplete) > previous+100 })
			assert.NilError(t, e.Process().Stop(30*time.Second))
			assert.NilError(t, f.StartEntry(e))
			f.waitFor("the box is ready again", func() bool { return ready[i].Load() })
		}
	}
	close(stopWatching)
	results := c.stopAndCollect()
	for _, r := range results {
		assert.Check(t, r.isComplete(), "status %d, verdict %q, error %v", r.status, r.verdict, r.err)
	}
	f.checkVerdicts(results)
}

func TestPartitionedDomainContinuesToServe(t *testing.T) {
	f := newFixture(t, nil, domain("a"), domain("b"))
	f.waitInForce("cell", f.Entries()...)
	for _, name := range []string{"log-a", "boxes-a"} {
		assert.NilError(t, f.proxies.Cut(name, cell.Requests, cell.Answers))
	}
	c := newCallers(f)
	inA := f.EntriesIn("a")
	c.pickEntry = func() *cell.Entry { return inA[0] }
	c.run(8, "preview", "extract")
	f.waitFor("callers are served", func() bool { return c.count(callResult.isComplete) > 300 })
	results := c.stopAndCollect()
	for _, r := range results {
		assert.Check(t, r.isComplete(), "%+v", r)
	}
	// A box that starts during the partition gets the files in force from its peer.
	inA[1].Process().Kill()
	assert.NilError(t, f.StartEntry(inA[1]))
	f.waitFor("the box has the files from its peer", func() bool { return inA[1].Ready(f.ctx) })
	assert.Equal(t, revisionOn(f.ctx, inA[1], "cell"), revisionOn(f.ctx, inA[0], "cell"))
	f.checkVerdicts(results)
}

func TestOverloadedPoolRefusesRequests(t *testing.T) {
	f := newFixture(t, nil, domain("a"))
	c := newCallers(f)
	c.maxDelayMs = 400
	c.run(400, "preview")
	f.waitFor("some are refused", func() bool {
		return c.count(func(r callResult) bool { return r.status == http.StatusServiceUnavailable }) > 20
	})
	f.checkVerdicts(c.stopAndCollect())
}

func TestDomainWithoutTargetsIsServedByAnother(t *testing.T) {
	withoutTargets := domain("a")
	withoutTargets.Targets = 0
	f := newFixture(t, nil, withoutTargets, domain("b"))
	c := newCallers(f)
	c.client.Timeout = 2 * time.Second
	inA, inB := f.EntriesIn("a"), f.EntriesIn("b")
	c.pickEntry = func() *cell.Entry { return inA[rand.IntN(len(inA))] }
	c.run(8, "preview", "extract")
	waitForMore := func(what string, ok func(callResult) bool) {
		t.Helper()
		previous := c.count(ok)
		f.waitFor(what, func() bool { return c.count(ok) >= previous+10 })
	}
	notRun := func(r callResult) bool { return r.verdict == verdict.NotRun }
	waitForMore("another domain serves", callResult.isComplete)
	for _, e := range inB {
		assert.NilError(t, f.proxies.Refuse(e.Name))
	}
	waitForMore("callers receive the verdict not-run", notRun)
	for _, e := range inB {
		assert.NilError(t, f.proxies.Accept(e.Name))
	}
	waitForMore("the other domain serves again", callResult.isComplete)
	for _, e := range inB {
		assert.NilError(t, f.proxies.Cut(e.Name, cell.Answers))
	}
	waitForMore("callers receive a response although the other domain sends none", func(r callResult) bool { return !r.isComplete() })
	for _, e := range inB {
		assert.NilError(t, f.proxies.Heal(e.Name))
	}
	waitForMore("the other domain serves again after the cut", callResult.isComplete)
	f.checkVerdicts(c.stopAndCollect())
}
