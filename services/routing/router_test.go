// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing_test

import (
	"flag"
	"math/rand/v2"
	"net/http"
	"os"
	"testing"
	"time"

	"saddlevane/models/effect"
	"saddlevane/models/event"
	"saddlevane/models/request"
	"saddlevane/models/spec"
	"saddlevane/models/verdict"
	"saddlevane/services/routing"

	"github.com/oklog/ulid/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

const (
	pool    = "runners"
	preview = "preview"
	extract = "extract"
	render  = "render"
)

func settings() routing.Settings {
	return routing.Settings{
		KeyTTL: time.Minute, MaxKeys: 100, RetryRatio: 0.1, RetryBurst: 5,
		EjectAfter: 3, EjectFor: time.Second, MaxEjectFor: 10 * time.Second, MinAttemptTimeout: 100 * time.Millisecond,
	}
}

func pools() map[string]spec.Pool {
	return map[string]spec.Pool{pool: {
		Name: pool, Slots: 4, Connections: 8,
		Classes: []spec.Class{
			{Name: preview, Priority: spec.Urgent, Repeatable: true, Deadline: 2 * time.Second, Queue: 20},
			{Name: render, Priority: spec.Normal, Repeatable: true, Deadline: 5 * time.Second, Queue: 20},
			{Name: extract, Priority: spec.Bulk, Deadline: 5 * time.Second, Queue: 20},
		},
	}}
}

// driver simulates the environment of a router and checks its invariants after
// each effect.
type driver struct {
	t        rapid.TB
	r        *routing.Router
	now      time.Time
	next     request.ID
	sends    []effect.SendRequest
	limit    map[string]int
	inflight map[string]int
	classes  map[request.ID]string
	ended    map[request.ID]bool
	// mayHaveRun counts, for each request, the attempts that may have run.
	mayHaveRun map[request.ID]int
	refused    []effect.Refuse
	sendOrder  []request.ID
}

func newDriver(t rapid.TB, live ...string) *driver {
	entropy := rand.New(rand.NewPCG(1, 2))
	newKey := func(now time.Time) ulid.ULID {
		var id ulid.ULID
		_ = id.SetTime(ulid.Timestamp(now))
		_ = id.SetEntropy([]byte{byte(entropy.Uint32()), byte(entropy.Uint32()), 1, 2, 3, 4, 5, 6, 7, byte(entropy.Uint32())})
		return id
	}
	d := &driver{
		t: t, now: start, limit: map[string]int{}, inflight: map[string]int{}, classes: map[request.ID]string{},
		ended: map[request.ID]bool{}, mayHaveRun: map[request.ID]int{},
	}
	d.r = routing.New(settings(), routing.DefaultPolicy(), "e1", "i1", newKey)
	d.apply(d.r.SetPeers(d.now, live, nil))
	d.apply(d.r.SetPools(d.now, pools()))
	return d
}

// setTargets replaces the platform's list of targets.
func (d *driver) setTargets(names ...string) {
	var all []routing.Target
	for _, n := range names {
		all = append(all, routing.Target{Name: n, Address: n, Pool: pool})
	}
	d.apply(d.r.SetTargets(d.now, all))
}

// arrive lets a request of a class arrive and returns its ID.
func (d *driver) arrive(class string, key request.Key) request.ID {
	d.next++
	id := d.next
	d.classes[id] = class
	d.apply(d.r.Arrived(d.now, request.Arrival{ID: id, Pool: pool, Class: class, Key: key}))
	return id
}

// answer ends the i-th open attempt with a verdict.
func (d *driver) answer(i int, v verdict.Verdict) { d.answerOn(i, v, false) }

// answerOn ends the i-th open attempt with a verdict. silent marks an attempt
// that had no answer on a reused connection.
func (d *driver) answerOn(i int, v verdict.Verdict, silent bool) {
	s := d.sends[i]
	d.sends = append(d.sends[:i:i], d.sends[i+1:]...)
	d.inflight[s.Target]--
	if v != verdict.NotRun {
		d.mayHaveRun[s.ID]++
	}
	d.apply(d.r.Answered(d.now, event.TargetAnswered{ID: s.ID, Attempt: s.Attempt, Target: s.Target, Verdict: v, Reason: "test", Silent: silent}))
}

// apply records effects and checks the invariants: no target exceeds its slots, and no
// request that may not be repeated is sent after it may have run.
func (d *driver) apply(effects []effect.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case effect.SendRequest:
			d.sends = append(d.sends, e)
			d.sendOrder = append(d.sendOrder, e.ID)
			d.inflight[e.Target]++
			if d.inflight[e.Target] > 4 {
				d.t.Fatalf("%d requests at target %s of 4 slots", d.inflight[e.Target], e.Target)
			}
			if d.classes[e.ID] == extract && d.mayHaveRun[e.ID] > 0 {
				d.t.Fatalf("request %d may not be repeated, may have run, and was sent again", e.ID)
			}
			if e.Timeout <= 0 {
				d.t.Fatalf("request %d was sent with no time left", e.ID)
			}
		case effect.Refuse:
			d.recordAnswer(e.To)
			d.refused = append(d.refused, e)
			if e.Refusal.Verdict == verdict.NotRun && d.mayHaveRun[e.To] > 0 {
				d.t.Fatalf("request %d may have run and was called not run: %s", e.To, e.Refusal.Reason)
			}
		case effect.Deliver:
			d.recordAnswer(e.To)
		}
	}
}

// recordAnswer records that a request was answered, which must happen only once.
func (d *driver) recordAnswer(id request.ID) {
	if d.ended[id] {
		d.t.Fatalf("request %d was answered twice", id)
	}
	d.ended[id] = true
}

// The random event sequences are the same in each run, unless
// SADDLEVANE_FREE_SEEDS is set. Together they hold over 100,000 events.
func init() {
	_ = flag.Set("rapid.checks", "1500")
	if os.Getenv("SADDLEVANE_FREE_SEEDS") == "" {
		_ = flag.Set("rapid.seed", "1")
	}
}

func TestRandomEventsAnswerEachRequestExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver(t, "e1")
		names := []string{"t1", "t2", "t3"}
		d.setTargets(names...)
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2:
				d.arrive(rapid.SampledFrom([]string{preview, render}).Draw(t, "class"), request.Key{})
			case 3:
				d.arrive(extract, d.r.IssueKey(d.now))
			case 4, 5, 6:
				if len(d.sends) > 0 {
					v := rapid.SampledFrom([]verdict.Verdict{verdict.Ran, verdict.Ran, verdict.NotRun, verdict.MayHaveRun}).Draw(t, "verdict")
					d.answer(rapid.IntRange(0, len(d.sends)-1).Draw(t, "which"), v)
				}
			case 7:
				d.now = d.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				d.apply(d.r.Tick(d.now))
			case 8:
				d.setTargets(names[:rapid.IntRange(0, len(names)).Draw(t, "targets")]...)
				d.inflight = map[string]int{}
				for _, s := range d.sends {
					d.inflight[s.Target]++
				}
			case 9:
				d.apply(d.r.Abandoned(d.now, request.ID(rapid.Uint64Range(1, uint64(d.next)+1).Draw(t, "who"))))
			}
		}
		d.finishAll()
	})
}

// finishAll ends all attempts and checks that every request was answered.
func (d *driver) finishAll() {
	d.setTargets("t1", "t2", "t3")
	for range 1000 {
		for len(d.sends) > 0 {
			d.answer(0, verdict.Ran)
		}
		d.now = d.now.Add(time.Second)
		d.apply(d.r.Tick(d.now))
		if d.r.IsIdle() {
			break
		}
	}
	for id := request.ID(1); id <= d.next; id++ {
		if !d.ended[id] {
			d.t.Fatalf("request %d was never answered", id)
		}
	}
}

func TestUrgentRequestPrecedesEarlierOnes(t *testing.T) {
	d := newDriver(t, "e1")
	d.setTargets("t1")
	for range 6 {
		d.arrive(render, request.Key{})
	}
	urgent := d.arrive(preview, request.Key{})
	d.answer(0, verdict.Ran)
	assert.Equal(t, d.sendOrder[len(d.sendOrder)-1], urgent)
}

func TestSharesAddUpToTargetSlots(t *testing.T) {
	for _, live := range [][]string{{"a"}, {"a", "b"}, {"a", "b", "c"}, {"a", "b", "c", "d", "e", "f", "g"}} {
		for _, target := range []string{"t1", "t2", "t3", "t4"} {
			sum := 0
			for _, box := range live {
				sum += routing.ShareEvenly(target, 8, box, live)
			}
			assert.Equal(t, sum, 8, "%v", live)
		}
	}
	assert.Equal(t, routing.ShareEvenly("t1", 8, "stranger", []string{"a"}), 0)
}

func TestRetriesStayWithinBudget(t *testing.T) {
	d := newDriver(t, "e1")
	d.setTargets("t1", "t2", "t3")
	sent := 0
	for range 400 {
		d.arrive(preview, request.Key{})
		for len(d.sends) > 0 {
			sent++
			d.answer(0, verdict.MayHaveRun)
		}
		d.now = d.now.Add(40 * time.Millisecond)
		d.apply(d.r.Tick(d.now))
	}
	assert.Check(t, sent <= 400+5+40+1, "%d sends for 400 requests", sent)
}

func TestFailingTargetIsEjectedProbedAndRestored(t *testing.T) {
	d := newDriver(t, "e1")
	d.setTargets("t1", "t2")
	answerAllFailing := func(name string) {
		for len(d.sends) > 0 {
			if d.sends[0].Target == name {
				d.answer(0, verdict.MayHaveRun)
			} else {
				d.answer(0, verdict.Ran)
			}
		}
	}
	for range 20 {
		d.arrive(preview, request.Key{})
		answerAllFailing("t1")
	}
	before := len(d.sendOrder)
	for range 10 {
		d.arrive(preview, request.Key{})
		assert.Equal(t, d.sends[0].Target, "t2")
		answerAllFailing("t1")
	}
	assert.Equal(t, len(d.sendOrder), before+10)
	d.now = d.now.Add(11 * time.Second)
	d.arrive(preview, request.Key{})
	assert.Equal(t, d.sends[0].Target, "t1", "no probe after the ejection")
	d.answer(0, verdict.Ran)
	seen := map[string]bool{}
	for range 4 {
		d.arrive(preview, request.Key{})
		seen[d.sends[len(d.sends)-1].Target] = true
	}
	assert.Check(t, seen["t1"], "not restored after a successful probe")
}

func TestTargetIsEjectedForFailuresOnNewConnectionsOnly(t *testing.T) {
	d := newDriver(t, "e1")
	d.setTargets("t1")
	for range 4 {
		d.arrive(render, request.Key{})
	}
	for range 4 {
		d.answerOn(0, verdict.MayHaveRun, true)
	}
	assert.Check(t, len(d.sends) > 0, "t1 is ejected though its connections may be at fault")
	d.answer(0, verdict.MayHaveRun)
	d.answer(0, verdict.MayHaveRun)
	before := len(d.sends)
	d.arrive(preview, request.Key{})
	assert.Equal(t, len(d.sends), before, "t1 is not ejected though it does not answer on new connections")
}

func TestRequestThatWouldBeLateIsRefusedWithRetryAfter(t *testing.T) {
	d := newDriver(t, "e1")
	d.setTargets("t1")
	for range 8 {
		d.arrive(preview, request.Key{})
		d.now = d.now.Add(500 * time.Millisecond)
		d.answer(0, verdict.Ran)
	}
	for range 20 {
		d.arrive(preview, request.Key{})
	}
	assert.Assert(t, len(d.refused) > 0)
	for _, r := range d.refused {
		assert.Equal(t, r.Refusal.Status, http.StatusServiceUnavailable)
		assert.Equal(t, r.Refusal.Verdict, verdict.NotRun)
		assert.Check(t, r.Refusal.RetryAfter > 0)
	}
}

func TestRepeatedKeyedRequestIsRecognized(t *testing.T) {
	d := newDriver(t, "e1")
	d.setTargets("t1")
	key := d.r.IssueKey(d.now)
	d.arrive(extract, key)
	d.arrive(extract, key)
	assert.Equal(t, len(d.sends), 1)
	d.answer(0, verdict.Ran)
	assert.Check(t, d.ended[1] && d.ended[2])
	d.arrive(extract, key)
	assert.Equal(t, len(d.sends), 0)
	assert.Check(t, d.ended[3])

	d.now = d.now.Add(3 * time.Minute)
	d.apply(d.r.Tick(d.now))
	d.arrive(extract, key)
	assert.Equal(t, d.refused[len(d.refused)-1].Refusal.Verdict, verdict.MayHaveRun, "an old key")
	d.arrive(extract, request.Key{})
	last := d.refused[len(d.refused)-1].Refusal
	assert.Equal(t, last.Verdict, verdict.NotRun)
	assert.Check(t, !last.Key.IsZero())
}

func TestKeyOfOtherIncarnationIsRefusedAsUnknown(t *testing.T) {
	d := newDriver(t, "e1")
	d.setTargets("t1")
	for _, key := range []request.Key{
		request.NewKey("e1", "earlier incarnation", ulid.ULID{}), request.NewKey("e9", "i1", ulid.ULID{}),
	} {
		d.arrive(extract, key)
		assert.Equal(t, d.refused[len(d.refused)-1].Refusal.Verdict, verdict.MayHaveRun)
	}
	assert.Equal(t, len(d.sends), 0)
}

func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	d := newDriver(t, "e1")
	d.setTargets("t1", "t2")
	d.arrive(preview, request.Key{})
	s := d.sends[0]
	d.sends = nil
	d.apply(d.r.Answered(d.now, event.TargetAnswered{ID: s.ID, Attempt: s.Attempt, Target: s.Target, Verdict: verdict.NotRun, Leaving: true}))
	d.inflight = map[string]int{}
	for range 4 {
		d.arrive(preview, request.Key{})
	}
	for _, sent := range d.sends {
		assert.Check(t, sent.Target != s.Target)
	}
}
