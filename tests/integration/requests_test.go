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
	f.waitFor("callers have had 1500 answers", func() bool { return c.count(callResult.isComplete) >= 1500 })
	f.checkVerdicts(c.stopAndCollect())
}

func TestTruncatedResponseIsNeverDelivered(t *testing.T) {
	f := newFixture(t, nil, domain("a"))
	assert.NilError(t, cell.SetFaults(f.ctx, f.Targets()[0].DirectAddress, cell.Faults{Truncate: true}))
	c := newCallers(f)
	c.run(8, "preview", "extract")
	f.waitFor("callers have had 300 answers", func() bool { return c.count(callResult.isComplete) >= 300 })
	f.waitFor("an extract met the fault", func() bool {
		return c.count(func(a callResult) bool { return a.verdict == verdict.MayHaveRun }) > 0
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
	flowing := func(what string) {
		t.Helper()
		had := c.count(callResult.isComplete)
		f.waitFor("answers come after "+what, func() bool { return c.count(callResult.isComplete) >= had+100 })
	}
	flowing("the start")
	target, proxy := f.Targets()[0], f.Targets()[0].Name
	for _, faults := range []cell.Faults{{LoseAnswers: true}, {Drop: true}, {Slow: 300}, {Truncate: true}, {}} {
		assert.NilError(t, cell.SetFaults(f.ctx, target.DirectAddress, faults))
		flowing(fmt.Sprintf("%+v", faults))
	}
	assert.NilError(t, f.proxies.Refuse(proxy))
	flowing("refused connections")
	assert.NilError(t, f.proxies.Accept(proxy))
	assert.NilError(t, f.proxies.Cut(proxy, cell.Answers))
	flowing("a cut of answers")
	assert.NilError(t, f.proxies.Heal(proxy))
	assert.NilError(t, f.proxies.Cut(proxy, cell.Requests))
	flowing("a cut of requests")
	assert.NilError(t, f.proxies.Heal(proxy))
	assert.NilError(t, target.Process().Pause())
	flowing("a frozen target")
	assert.NilError(t, target.Process().Continue())
	e := f.Entries()[0]
	assert.NilError(t, e.Process().Pause())
	flowing("a frozen entry box")
	assert.NilError(t, e.Process().Continue())
	e.Process().Kill()
	flowing("a killed entry box")
	assert.NilError(t, f.StartEntry(e))
	f.waitFor("the entry box is back", func() bool { return e.Ready(f.ctx) })
	flowing("its return")
	f.checkVerdicts(c.stopAndCollect())
}

func TestNonRepeatableRequestRunsOnceAcrossBoxes(t *testing.T) {
	f := newFixture(t, nil, domain("a"))
	first, second := f.Entries()[0], f.Entries()[1]
	c := newCallers(f)
	f.waitFor("the boxes know each other", func() bool {
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
			a := <-results
			assert.Check(t, a.isComplete(), "%+v", a)
		}
	}
	// The box that issued a key dies with the request: nobody knows any more.
	key := c.issueKey(first)
	a := c.send(second, callResult{nonce: "before", class: "extract", body: "before"}, key)
	assert.Check(t, a.isComplete(), "%+v", a)
	first.Process().Kill()
	a = c.send(second, callResult{nonce: "before", class: "extract", body: "before"}, key)
	assert.Equal(t, a.verdict, verdict.MayHaveRun, "%+v", a)
	// A new life of the box does not know either.
	assert.NilError(t, f.StartEntry(first))
	f.waitFor("the box is back", func() bool { return first.Ready(f.ctx) })
	a = c.send(first, callResult{nonce: "before", class: "extract", body: "before"}, key)
	assert.Equal(t, a.verdict, verdict.MayHaveRun, "%+v", a)
	for nonce, n := range f.runCounts() {
		assert.Equal(t, n, 1, nonce)
	}
}

func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	three := domain("a")
	three.Targets = 3
	f := newFixture(t, nil, three)
	served := func(i int) int64 {
		all, err := f.TargetStats(f.ctx)
		assert.NilError(t, err)
		return all[i].Served
	}
	c := newCallers(f)
	c.run(8, "preview", "render", "extract")
	defer func() { f.checkVerdicts(c.stopAndCollect()) }()

	// Its own word counts while the list is cut off.
	assert.NilError(t, f.proxies.Refuse("boxes-a"))
	assert.NilError(t, cell.SetFaults(f.ctx, f.Targets()[0].DirectAddress, cell.Faults{Leaving: true}))
	had := c.count(callResult.isComplete)
	f.waitFor("others serve on", func() bool { return c.count(callResult.isComplete) > had+50 })
	before := served(0)
	f.waitFor("others serve on", func() bool { return c.count(callResult.isComplete) > had+200 })
	assert.Equal(t, served(0), before)

	// So does the list's.
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
	f.waitFor("the list's word is known", leaving)
	had = c.count(callResult.isComplete)
	f.waitFor("what was in flight ends", func() bool { return c.count(callResult.isComplete) > had+50 })
	before = served(1)
	f.waitFor("others serve on", func() bool { return c.count(callResult.isComplete) > had+200 })
	assert.Equal(t, served(1), before)
}

func TestRollingRestartInterruptsNoRequest(t *testing.T) {
	f := newFixture(t, nil, domain("a"))
	c := newCallers(f)
	// A balancer sends callers only to boxes that say they are ready.
	var ready [2]atomic.Bool
	watch := make(chan struct{})
	c.tasks.Go(func() {
		ticker := time.NewTicker(20 * time.Millisecond)
		defer ticker.Stop()
		for {
			for i, e := range f.Entries() {
				ready[i].Store(e.Ready(f.ctx))
			}
			select {
			case <-ticker.C:
			case <-watch:
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
			had := c.count(callResult.isComplete)
			f.waitFor("callers are served", func() bool { return c.count(callResult.isComplete) > had+100 })
			assert.NilError(t, e.Process().Stop(30*time.Second))
			assert.NilError(t, f.StartEntry(e))
			f.waitFor("the box is ready again", func() bool { return ready[i].Load() })
		}
	}
	close(watch)
	results := c.stopAndCollect()
	for _, a := range results {
		assert.Check(t, a.isComplete(), "status %d, verdict %q, error %v", a.status, a.verdict, a.err)
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
	for _, a := range results {
		assert.Check(t, a.isComplete(), "%+v", a)
	}
	// A box that starts during the cut takes what is in force from its peer.
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
		return c.count(func(a callResult) bool { return a.status == http.StatusServiceUnavailable }) > 20
	})
	f.checkVerdicts(c.stopAndCollect())
}

func TestDomainWithoutTargetsIsServedByAnother(t *testing.T) {
	none := domain("a")
	none.Targets = 0
	f := newFixture(t, nil, none, domain("b"))
	c := newCallers(f)
	c.client.Timeout = 2 * time.Second
	inA, inB := f.EntriesIn("a"), f.EntriesIn("b")
	c.pickEntry = func() *cell.Entry { return inA[rand.IntN(len(inA))] }
	c.run(8, "preview", "extract")
	flowing := func(what string, ok func(callResult) bool) {
		t.Helper()
		had := c.count(ok)
		f.waitFor(what, func() bool { return c.count(ok) >= had+10 })
	}
	notRun := func(a callResult) bool { return a.verdict == verdict.NotRun }
	flowing("another domain serves", callResult.isComplete)
	for _, e := range inB {
		assert.NilError(t, f.proxies.Refuse(e.Name))
	}
	flowing("nobody serves, and callers are told so", notRun)
	for _, e := range inB {
		assert.NilError(t, f.proxies.Accept(e.Name))
	}
	flowing("the other domain serves again", callResult.isComplete)
	for _, e := range inB {
		assert.NilError(t, f.proxies.Cut(e.Name, cell.Answers))
	}
	flowing("callers are answered although no answers come", func(a callResult) bool { return !a.isComplete() })
	for _, e := range inB {
		assert.NilError(t, f.proxies.Heal(e.Name))
	}
	flowing("the other domain serves once more", callResult.isComplete)
	f.checkVerdicts(c.stopAndCollect())
}
