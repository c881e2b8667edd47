// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package blame

import (
	"math"
	"slices"
	"time"
)

const (
	// firstRate is how often a worker is believed to crash that no task crashes, a
	// second, before anything was seen, and firstWeight how many seconds of one worker
	// that belief counts for.
	firstRate   = 1.0 / 3600
	firstWeight = 600.0
	// rackWeight is how many seconds of one worker the rate of all counts for in that of
	// a rack.
	rackWeight = 600.0
	// remembers is the time after which what was seen counts for a third.
	remembers = 10 * time.Minute
	// oftenRate is from how many crashes of a worker a second on workers crash often: where
	// each crashed every 7 s or 14 s, 8 of 9,000 jobs that crash nothing were given up after
	// five or six crashes in a row; with the bound none is there, and 1 of 4,500 where each
	// crashes every 29 s.
	oftenRate = 1.0 / 40
	// together is how far apart two workers may stop to answer that have one cause: a
	// look that waits at a worker breaks off at once, others run out of their time.
	together = 1500 * time.Millisecond
)

// Background is how often workers crash that no task crashes: over all, by rack, and
// together with others. The zero value knows nothing yet.
type Background struct {
	all   exposure
	racks map[string]*exposure
	// workers counts the workers by rack, total them all, at seenAt.
	workers map[string]int
	total   int
	seenAt  time.Time
	// silent has the workers that stopped answering lately, the first first.
	silent []silence
}

// exposure is how many crashes there were in how many seconds of one worker.
type exposure struct{ crashes, seconds float64 }

// silence is a worker that stopped answering.
type silence struct {
	at           time.Time
	worker, rack string
}

// Saw tells how many workers of each rack there are at now. It is called every second
// or so.
func (b *Background) Saw(now time.Time, workers map[string]int) {
	if b.racks == nil {
		b.racks = map[string]*exposure{}
	}
	if !b.seenAt.IsZero() {
		b.pass(now.Sub(b.seenAt))
	}
	b.seenAt, b.workers, b.total = now, workers, 0
	for _, n := range workers {
		b.total += n
	}
	for len(b.silent) > 0 && now.Sub(b.silent[0].at) > 2*together {
		b.silent = b.silent[1:]
	}
}

// pass lets time pass for the workers seen last.
func (b *Background) pass(passed time.Duration) {
	keep := math.Exp(-passed.Seconds() / remembers.Seconds())
	b.all.pass(keep, passed, b.total)
	for rack, n := range b.workers {
		b.rack(rack).pass(keep, passed, n)
	}
	for rack, e := range b.racks {
		if b.workers[rack] == 0 && e.crashes == 0 {
			delete(b.racks, rack)
		}
	}
}

func (e *exposure) pass(keep float64, passed time.Duration, workers int) {
	e.crashes *= keep
	e.seconds = e.seconds*keep + passed.Seconds()*float64(workers)
}

func (b *Background) rack(name string) *exposure {
	if b.racks == nil {
		b.racks = map[string]*exposure{}
	}
	if b.racks[name] == nil {
		b.racks[name] = &exposure{}
	}
	return b.racks[name]
}

// Crashed takes a crash that no task caused with some probability.
func (b *Background) Crashed(rack string, unexplained float64) {
	b.all.crashes += unexplained
	b.rack(rack).crashes += unexplained
}

// Silent takes that a worker without a likely suspect has stopped answering.
func (b *Background) Silent(now time.Time, worker, rack string) {
	b.silent = append(b.silent, silence{at: now, worker: worker, rack: rack})
}

// Answers takes that a worker has answered again: it had not crashed.
func (b *Background) Answers(worker string) {
	b.silent = slices.DeleteFunc(b.silent, func(s silence) bool { return s.worker == worker })
}

// Often says whether workers crash often by no fault of their tasks.
func (b *Background) Often() bool { return b.rate() > oftenRate }

// rate returns how often a worker crashes by no fault of its tasks, a second, over all.
func (b *Background) rate() float64 {
	return (b.all.crashes + firstRate*firstWeight) / (b.all.seconds + firstWeight)
}

// Hazard returns how likely a worker was to crash at a time by no fault of its tasks, a
// second: as often as workers of its rack crash, and more if others stopped answering at
// the same time.
func (b *Background) Hazard(at time.Time, worker, rack string) float64 {
	all := b.rate()
	r := b.rack(rack)
	ofRack := (r.crashes + all*rackWeight) / (r.seconds + rackWeight)
	common := max(b.common(at, worker, "", b.total, all), b.common(at, worker, rack, b.workers[rack], ofRack))
	return ofRack + common
}

// common returns how much likelier a worker was to crash at a time, a second, because
// others of a rack, or of all, stopped answering at about the same time. One that did is no
// sign of a common cause, and neither are as many as the rate explains.
func (b *Background) common(at time.Time, worker, rack string, workers int, rate float64) float64 {
	n := 0
	for _, s := range b.silent {
		if s.worker != worker && s.at.Sub(at).Abs() <= together && (rack == "" || s.rack == rack) {
			n++
		}
	}
	others := float64(max(1, workers-1))
	window := (2 * together).Seconds()
	more := float64(n-1) - rate*others*window
	return min(1, max(0, more)/others) / window
}
