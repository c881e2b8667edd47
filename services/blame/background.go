// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package blame

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"saddlevane/models/order"
)

const (
	// priorRate is how often a worker is believed to crash that no task crashes, a
	// second, before anything was seen, and priorSeconds how many seconds of one worker
	// that belief counts for: with 600 s the 24 workers of a cell that each crashed every
	// 29 s were still taken to crash every 60 s after half a minute.
	priorRate    = 1.0 / 3600
	priorSeconds = 100.0
	// rackPriorSeconds is how many seconds of one worker the rate of all counts for in that of
	// a rack.
	rackPriorSeconds = 600.0
	// decayTime is the time after which what was seen counts for a third, recentDecayTime
	// the same where only the last crashes count: a cell that was calm for long and in which
	// workers begin to crash is seen within some seconds.
	decayTime       = 10 * time.Minute
	recentDecayTime = 20 * time.Second
	// commonCauseWindow is how far apart two workers may stop to answer that have one cause, atOnce
	// how far where both are seen at once: a look that waits at a worker breaks off at once,
	// others run out of their time. As many are taken to be seen at once as are not.
	commonCauseWindow  = 1500 * time.Millisecond
	simultaneousWindow = 150 * time.Millisecond
	simultaneousShare  = 0.5
)

// Background is how often workers crash that no task crashes: over all, by rack, and
// together with others. The zero value knows nothing yet.
type Background struct {
	all, recent exposure
	racks       map[string]*exposure
	// workers counts the workers by rack, total them all, at observedAt.
	workers    map[string]int
	total      int
	observedAt time.Time
	// silent has the workers that stopped answering lately, the first first.
	silentWorkers []silentWorker
}

// exposure is how many crashes there were in how many seconds of one worker.
type exposure struct {
	Crashes float64 `json:"crashes"`
	Seconds float64 `json:"seconds"`
}

// LearnedRate is how often workers crash by themselves, as the log keeps it for the next holder:
// without it three crashes within 10 s of two takeovers, of workers that crashed every 60 s,
// gave up a job that crashes nothing.
type LearnedRate struct {
	All    exposure `json:"all"`
	Recent exposure `json:"lately"`
}

// UnmarshalJSON reads what was kept, and refuses what makes no sense.
func (e *exposure) UnmarshalJSON(data []byte) error {
	type plain exposure
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.Crashes < 0 || p.Seconds < 0 {
		return fmt.Errorf("blame: %v crashes in %v s make no sense", p.Crashes, p.Seconds)
	}
	*e = exposure(p)
	return nil
}

// LearnedRate returns how often workers crash by themselves.
func (b *Background) LearnedRate() LearnedRate { return LearnedRate{All: b.all, Recent: b.recent} }

// RestoreRate takes over what an earlier holder had learned, from the log.
func (b *Background) RestoreRate(kept []byte) error {
	if len(kept) == 0 {
		return nil
	}
	var l LearnedRate
	if err := json.Unmarshal(kept, &l); err != nil {
		return fmt.Errorf("kept rate of crashes: %w", err)
	}
	b.all, b.recent = l.All, l.Recent
	return nil
}

// silentWorker is a worker that stopped answering.
type silentWorker struct {
	at   time.Time
	life order.Incarnation
	rack string
	// weight is the probability that none of its tasks made it crash.
	weight float64
}

// ObserveWorkers tells how many workers of each rack there are at now. It is called every second
// or so.
func (b *Background) ObserveWorkers(now time.Time, workers map[string]int) {
	if b.racks == nil {
		b.racks = map[string]*exposure{}
	}
	if !b.observedAt.IsZero() {
		b.advance(now.Sub(b.observedAt))
	}
	b.observedAt, b.workers, b.total = now, workers, 0
	for _, n := range workers {
		b.total += n
	}
	for len(b.silentWorkers) > 0 && now.Sub(b.silentWorkers[0].at) > 2*commonCauseWindow {
		b.silentWorkers = b.silentWorkers[1:]
	}
}

// advance lets time pass for the workers seen last.
func (b *Background) advance(passed time.Duration) {
	keep := math.Exp(-passed.Seconds() / decayTime.Seconds())
	b.all.advance(keep, passed, b.total)
	b.recent.advance(math.Exp(-passed.Seconds()/recentDecayTime.Seconds()), passed, b.total)
	for rack, n := range b.workers {
		b.rackExposure(rack).advance(keep, passed, n)
	}
	for rack, e := range b.racks {
		if b.workers[rack] == 0 && e.Crashes == 0 {
			delete(b.racks, rack)
		}
	}
}

func (e *exposure) advance(keep float64, passed time.Duration, workers int) {
	e.Crashes *= keep
	e.Seconds = e.Seconds*keep + passed.Seconds()*float64(workers)
}

func (b *Background) rackExposure(name string) *exposure {
	if b.racks == nil {
		b.racks = map[string]*exposure{}
	}
	if b.racks[name] == nil {
		b.racks[name] = &exposure{}
	}
	return b.racks[name]
}

// AddCrash takes a crash of a worker of some rack that no task caused with some probability.
func (b *Background) AddCrash(rack string, unexplained float64) {
	for _, e := range []*exposure{&b.all, &b.recent, b.rackExposure(rack)} {
		e.Crashes += unexplained
	}
}

// RemoveCrashes takes back that some crashes were by no fault of a task. Some of them may be
// forgotten. Those of its rack are left: they hardly weigh there.
func (b *Background) RemoveCrashes(crashes float64) {
	for _, e := range []*exposure{&b.all, &b.recent} {
		e.Crashes = max(0, e.Crashes-crashes)
	}
}

// RecordSilence takes that a life of a worker has stopped answering, to which its suspects have brought
// it with some probability.
func (b *Background) RecordSilence(now time.Time, life order.Incarnation, rack string, risk float64) {
	b.silentWorkers = append(b.silentWorkers, silentWorker{at: now, life: life, rack: rack, weight: 1 - risk})
}

// RecordAnswer takes that a worker has answered again: it had not crashed.
func (b *Background) RecordAnswer(life order.Incarnation) {
	b.silentWorkers = slices.DeleteFunc(b.silentWorkers, func(s silentWorker) bool { return s.life == life })
}

// rate returns how often a worker crashes by no fault of its tasks, a second, over all: as
// often as lately, if that is more.
func (b *Background) rate() float64 { return max(b.all.rate(), b.recent.rate()) }

// rate returns how often a worker crashes, a second.
func (e exposure) rate() float64 {
	return (e.Crashes + priorRate*priorSeconds) / (e.Seconds + priorSeconds)
}

// Hazard returns how likely a worker was to crash at a time by no fault of its tasks, a
// second: as often as workers of its rack crash, and more if others stopped answering at
// the same time.
func (b *Background) Hazard(at time.Time, life order.Incarnation, rack string) float64 {
	alone, atOnce, about := b.hazards(at, life, rack)
	return alone + atOnce + about
}

// IndependentProbability returns the probability that a crash which no task caused has no cause in common
// with others that were seen at once. Only such a one tells how often workers crash: a rack
// that loses power is one event, and not as many as it has workers.
func (b *Background) IndependentProbability(at time.Time, life order.Incarnation, rack string) float64 {
	alone, atOnce, _ := b.hazards(at, life, rack)
	return alone / (alone + atOnce)
}

// hazards returns the hazards, a second, of a crash of a worker by itself, and of one whose
// cause is that of others which were seen at once, or about then.
func (b *Background) hazards(at time.Time, life order.Incarnation, rack string) (alone, once, about float64) {
	all := b.rate()
	r := b.rackExposure(rack)
	alone = (r.Crashes + all*rackPriorSeconds) / (r.Seconds + rackPriorSeconds)
	ofAll, ofRack := peerGroup{life: life, workers: b.total, rate: all}, peerGroup{life: life, rack: rack, workers: b.workers[rack], rate: alone}
	once = simultaneousShare * max(b.commonCauseHazard(at, simultaneousWindow, ofAll), b.commonCauseHazard(at, simultaneousWindow, ofRack))
	about = (1 - simultaneousShare) * max(b.commonCauseHazard(at, commonCauseWindow, ofAll), b.commonCauseHazard(at, commonCauseWindow, ofRack))
	return alone, once, about
}

// peerGroup are the workers of a rack, or all, beside one, and how often each crashes, a second.
type peerGroup struct {
	life    order.Incarnation
	rack    string
	workers int
	rate    float64
}

// commonCauseHazard returns how much likelier a worker was to crash at a time, a second, because others
// stopped answering within some time of it. One that did is no sign of a common cause, and
// neither are as many as the rate explains.
func (b *Background) commonCauseHazard(at time.Time, within time.Duration, of peerGroup) float64 {
	n := 0.0
	for _, s := range b.silentWorkers {
		if s.life != of.life && s.at.Sub(at).Abs() <= within && (of.rack == "" || s.rack == of.rack) {
			n += s.weight
		}
	}
	others := float64(max(1, of.workers-1))
	window := (2 * within).Seconds()
	more := n - 1 - of.rate*others*window
	return min(1, max(0, more)/others) / window
}
