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
	// priorRate is the crash rate of a worker, per second, that is assumed before anything was
	// observed, and priorSeconds the weight of that assumption, in worker-seconds. It must be
	// small enough that a cell learns a high rate within half a minute.
	priorRate    = 1.0 / 3600
	priorSeconds = 100.0
	// rackPriorSeconds is the weight, in worker-seconds, of the overall rate in the estimate of the
	// rate of a rack.
	rackPriorSeconds = 600.0
	// decayTime is the time in which the weight of an observation falls to 1/e. recentDecayTime is
	// the same for the recent rate, with which a rise of the rate after a long calm is detected
	// within seconds.
	decayTime       = 10 * time.Minute
	recentDecayTime = 20 * time.Second
	// commonCauseWindow is the longest time between the moments at which two workers stop answering
	// for a common cause. simultaneousWindow is the same if both crashes are detected at once: a
	// pending lease renewal fails at once, while a later call fails after its timeout.
	// simultaneousShare is the share of common-cause crashes that is assumed to be detected at
	// once.
	commonCauseWindow  = 1500 * time.Millisecond
	simultaneousWindow = 150 * time.Millisecond
	simultaneousShare  = 0.5
)

// Background estimates how often workers crash for reasons other than their tasks: overall, by
// rack, and together with other workers. The zero value has observed nothing.
type Background struct {
	all, recent exposure
	racks       map[string]*exposure
	// workers holds the number of workers by rack at observedAt, and total their sum.
	workers    map[string]int
	total      int
	observedAt time.Time
	// unresponsiveWorkers holds the workers that stopped answering recently, the earliest first.
	unresponsiveWorkers []unresponsiveWorker
}

// exposure is a number of crashes within a number of worker-seconds. Both decay over time.
type exposure struct {
	Crashes float64 `json:"crashes"`
	Seconds float64 `json:"seconds"`
}

// LearnedRate holds the overall crash rate as it is logged for the next holder. Without it, three
// crashes within 10 s of two takeovers, of workers that crashed every 60 s, gave up a job that
// crashes nothing.
type LearnedRate struct {
	All    exposure `json:"all"`
	Recent exposure `json:"lately"`
}

// UnmarshalJSON reads a stored exposure and rejects negative values.
func (e *exposure) UnmarshalJSON(data []byte) error {
	type plain exposure
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.Crashes < 0 || p.Seconds < 0 {
		return fmt.Errorf("blame: invalid exposure: %v crashes in %v worker-seconds", p.Crashes, p.Seconds)
	}
	*e = exposure(p)
	return nil
}

// LearnedRate returns the overall crash rate to be logged.
func (b *Background) LearnedRate() LearnedRate { return LearnedRate{All: b.all, Recent: b.recent} }

// RestoreRate sets the overall crash rate to what an earlier holder has logged. It does nothing if
// logged is empty.
func (b *Background) RestoreRate(logged []byte) error {
	if len(logged) == 0 {
		return nil
	}
	var l LearnedRate
	if err := json.Unmarshal(logged, &l); err != nil {
		return fmt.Errorf("logged crash rate: %w", err)
	}
	b.all, b.recent = l.All, l.Recent
	return nil
}

// unresponsiveWorker is a worker that stopped answering.
type unresponsiveWorker struct {
	at          time.Time
	incarnation order.Incarnation
	rack        string
	// weight is the probability that none of its tasks is the reason.
	weight float64
}

// ObserveWorkers records the number of workers of each rack at now. It is called about once a
// second.
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
	for len(b.unresponsiveWorkers) > 0 && now.Sub(b.unresponsiveWorkers[0].at) > explanationTime+2*commonCauseWindow {
		b.unresponsiveWorkers = b.unresponsiveWorkers[1:]
	}
}

// advance adds the time passed since the last observation to the exposures and decays them.
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

// advance decays the exposure by the factor keep and adds the time passed for the given number of
// workers.
func (e *exposure) advance(keep float64, passed time.Duration, workers int) {
	e.Crashes *= keep
	e.Seconds = e.Seconds*keep + passed.Seconds()*float64(workers)
}

// rackExposure returns the exposure of a rack, which it adds if there is none.
func (b *Background) rackExposure(name string) *exposure {
	if b.racks == nil {
		b.racks = map[string]*exposure{}
	}
	if b.racks[name] == nil {
		b.racks[name] = &exposure{}
	}
	return b.racks[name]
}

// AddCrash adds a crash of a worker in a rack. unexplained is the probability that no task caused
// it.
func (b *Background) AddCrash(rack string, unexplained float64) {
	for _, e := range []*exposure{&b.all, &b.recent, b.rackExposure(rack)} {
		e.Crashes += unexplained
	}
}

// RemoveCrashes removes crashes that a task turned out to have caused. Part of them may have
// decayed already. They stay in the rate of their rack, where they hardly matter.
func (b *Background) RemoveCrashes(crashes float64) {
	for _, e := range []*exposure{&b.all, &b.recent} {
		e.Crashes = max(0, e.Crashes-crashes)
	}
}

// RecordUnresponsive records that a worker has stopped answering. risk is the probability that its
// suspects caused that.
func (b *Background) RecordUnresponsive(now time.Time, incarnation order.Incarnation, rack string, risk float64) {
	b.unresponsiveWorkers = append(b.unresponsiveWorkers, unresponsiveWorker{at: now, incarnation: incarnation, rack: rack, weight: 1 - risk})
}

// RecordExplained records the probability that a task caused the crash of a worker. It reports
// whether that lowers the probability that the crash has a common cause with others.
func (b *Background) RecordExplained(incarnation order.Incarnation, probability float64) bool {
	lowered := false
	for i := range b.unresponsiveWorkers {
		if s := &b.unresponsiveWorkers[i]; s.incarnation == incarnation && 1-probability < s.weight {
			s.weight, lowered = 1-probability, true
		}
	}
	return lowered
}

// RecordResponsive records that a worker has answered again, so it had not crashed.
func (b *Background) RecordResponsive(incarnation order.Incarnation) {
	b.unresponsiveWorkers = slices.DeleteFunc(b.unresponsiveWorkers, func(s unresponsiveWorker) bool { return s.incarnation == incarnation })
}

// rate returns the overall rate at which a worker crashes for reasons other than its tasks, per
// second. It is the recent rate if that is higher than the long-term one.
func (b *Background) rate() float64 { return max(b.all.rate(), b.recent.rate()) }

// rate returns the rate at which a worker crashes, per second.
func (e exposure) rate() float64 {
	return (e.Crashes + priorRate*priorSeconds) / (e.Seconds + priorSeconds)
}

// Hazard returns the hazard, per second, of a crash of a worker at a time for reasons other than
// its tasks. It follows from the rate of its rack and rises if other workers stopped answering at
// about the same time.
func (b *Background) Hazard(at time.Time, incarnation order.Incarnation, rack string) float64 {
	alone, simultaneous, nearby := b.hazards(at, incarnation, rack)
	return alone + simultaneous + nearby
}

// IndependentProbability returns the probability that a crash which no task caused has no common
// cause with other crashes that were detected at once. Only independent crashes count towards the
// rate: a rack that loses power is one event, however many workers it has.
func (b *Background) IndependentProbability(at time.Time, incarnation order.Incarnation, rack string) float64 {
	alone, simultaneous, _ := b.hazards(at, incarnation, rack)
	return alone / (alone + simultaneous)
}

// commonHazard returns the part of the hazard of a crash that is due to common causes.
func (b *Background) commonHazard(c Crash) float64 {
	_, simultaneous, nearby := b.hazards(c.At, c.Incarnation, c.Rack)
	return simultaneous + nearby
}

// hazards returns the hazards, per second, of a crash of a worker: by itself (alone), by a common
// cause with crashes that are detected at once (simultaneous), and by a common cause with crashes
// that are detected at about the same time (nearby).
func (b *Background) hazards(at time.Time, incarnation order.Incarnation, rack string) (alone, simultaneous, nearby float64) {
	all := b.rate()
	r := b.rackExposure(rack)
	alone = (r.Crashes + all*rackPriorSeconds) / (r.Seconds + rackPriorSeconds)
	ofAll, ofRack := peerGroup{incarnation: incarnation, workers: b.total, rate: all}, peerGroup{incarnation: incarnation, rack: rack, workers: b.workers[rack], rate: alone}
	simultaneous = simultaneousShare * max(b.commonCauseHazard(at, simultaneousWindow, ofAll),
		b.commonCauseHazard(at, simultaneousWindow, ofRack))
	nearby = (1 - simultaneousShare) * max(b.commonCauseHazard(at, commonCauseWindow, ofAll),
		b.commonCauseHazard(at, commonCauseWindow, ofRack))
	return alone, simultaneous, nearby
}

// peerGroup describes the group of workers to which a worker belongs: those of a rack, or all if
// rack is empty. rate is how often each of them crashes, per second.
type peerGroup struct {
	incarnation order.Incarnation
	rack        string
	workers     int
	rate        float64
}

// commonCauseHazard returns the additional hazard, per second, of a crash of a worker because
// others of its group stopped answering within the given time before or after it. A single other
// worker is no sign of a common cause, and neither is a number of workers that the rate explains.
func (b *Background) commonCauseHazard(at time.Time, within time.Duration, of peerGroup) float64 {
	n := 0.0
	for _, s := range b.unresponsiveWorkers {
		if s.incarnation != of.incarnation && s.at.Sub(at).Abs() <= within && (of.rack == "" || s.rack == of.rack) {
			n += s.weight
		}
	}
	others := float64(max(1, of.workers-1))
	window := (2 * within).Seconds()
	more := n - 1 - of.rate*others*window
	return min(1, max(0, more)/others) / window
}
