// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"syscall"
	"time"

	"saddlevane/platform/standin"
	"saddlevane/tests/cell"

	"github.com/sourcegraph/conc"
)

// The times and sizes of faults.
const (
	// meanFaultInterval is the mean time from one fault to the next; faults overlap.
	meanFaultInterval = 350 * time.Millisecond
	// maxFaultDuration is how long a fault lasts at most.
	maxFaultDuration = 2500 * time.Millisecond
	// stopTimeout bounds a planned stop.
	stopTimeout = 6 * time.Second
	// faultyShare is the share of answers that a log loses, and of orders that a
	// worker carries out late.
	faultyShare = 0.3
	// logDelay is how much later a slow log answers.
	logDelay = 200 * time.Millisecond
	// faultKinds is the number of kinds of faults that are drawn with the same weight.
	// Those without a case of their own are faults of the log.
	faultKinds = 14
)

// Faults injects faults into a rig.
type Faults struct {
	rig *Rig
	rng *rand.Rand
	// silences are drawn apart, so that the other faults of a seed stay the same.
	stallRNG *rand.Rand
	// lives are the starts of workers, drawn apart too.
	restartRNG *rand.Rand
	tasks      conc.WaitGroup
	// busy is until when no other fault may act on a thing.
	busyUntil map[string]time.Time
	startedAt time.Time

	mu sync.Mutex
	// told lists what was done and when.
	events []string
}

// NewFaults returns the faults that follow from a seed.
func NewFaults(r *Rig, seed int64) *Faults {
	return &Faults{
		rig: r, rng: rand.New(rand.NewSource(seed)), stallRNG: rand.New(rand.NewSource(^seed)), restartRNG: newRestartRNG(seed),
		busyUntil: map[string]time.Time{}, startedAt: time.Now(),
	}
}

// Events returns what was done and when.
func (f *Faults) Events() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.events)
}

// recordEvent notes what is done now.
func (f *Faults) recordEvent(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, fmt.Sprintf("%6.2fs ", time.Since(f.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// Run injects faults for a while, and returns once all have ended.
func (f *Faults) Run(ctx context.Context, most time.Duration) {
	f.scheduleStalls(ctx, most)
	f.scheduleRestarts(ctx, most)
	for end := time.Now().Add(most); time.Now().Before(end) && ctx.Err() == nil; {
		f.inject()
		select {
		case <-time.After(time.Duration(f.rng.ExpFloat64() * float64(meanFaultInterval))):
		case <-ctx.Done():
		}
	}
	f.tasks.Wait()
}

// inject begins one fault. All that may be drawn is drawn for each, so that the faults
// after it follow from the seed alone.
func (f *Faults) inject() {
	lasts := time.Duration(f.rng.Int63n(int64(maxFaultDuration)))
	i, j := f.rng.Intn(len(f.rig.boxes)), f.rng.Intn(len(f.rig.workers))
	directions := []cell.Direction{cell.Requests, cell.Answers}
	chosen, both := f.rng.Intn(len(directions)), f.rng.Intn(2) == 0
	if !both {
		directions = directions[chosen : chosen+1]
	}
	b, w, worker := f.rig.boxes[i], f.rig.workers[j], workerName(j)
	heal := func() { w.SetFaults(standin.WorkerFaults{}) }
	switch f.rng.Intn(faultKinds) {
	case 0:
		f.apply(b.name, "killed", lasts/4, func() { b.currentProcess().Kill() }, func() { f.restart(b) })
	case 1:
		f.apply(b.name, "paused", lasts, func() { _ = b.currentProcess().Pause() }, func() { _ = b.currentProcess().Continue() })
	case 2:
		f.apply(b.name, "stopped as planned", lasts/4, func() { _ = b.currentProcess().Stop(stopTimeout) }, func() { f.restart(b) })
	case 3:
		f.apply(b.name+"/hup", "asked to reload", 0, func() { _ = b.currentProcess().Signal(syscall.SIGHUP) }, func() {})
	case 4, 5:
		f.cut(logProxyName(i), lasts, directions)
	case 6:
		f.cut(peerProxyName(i), lasts, directions)
	case 7:
		f.refuse(logProxyName(i), lasts)
	case 8:
		f.cut(worker, lasts, directions)
	case 9:
		f.apply(worker+"/life", "begins another life", 0, w.Restart, func() {})
	case 10:
		f.apply(worker+"/faults", "fails all tasks", lasts, func() { w.SetFaults(standin.WorkerFaults{FailAllTasks: true}) }, heal)
	case 11:
		f.apply(worker+"/faults", "carries orders out late", lasts, func() { w.SetFaults(standin.WorkerFaults{LateOrderShare: faultyShare}) }, heal)
	default:
		f.injectLogFault(lasts)
	}
}

// injectLogFault does something to the log as a whole.
func (f *Faults) injectLogFault(lasts time.Duration) {
	all := []struct {
		what  string
		fault standin.LogFaults
	}{
		{"refuses all calls", standin.LogFaults{Busy: true}},
		{"is silent", standin.LogFaults{Unresponsive: true}},
		{"loses answers", standin.LogFaults{LostAnswerShare: faultyShare}},
		{"is slow", standin.LogFaults{Delay: logDelay}},
	}
	chosen := all[f.rng.Intn(len(all))]
	f.apply("log", chosen.what, lasts, func() { f.rig.platform.SetLog(chosen.fault) }, func() { f.rig.platform.SetLog(standin.LogFaults{}) })
}

// restart starts the daemon of a box again.
func (f *Faults) restart(b *box) {
	if err := f.rig.restart(b); err != nil {
		panic(err)
	}
}

// cut lets nothing through a proxy in some directions.
func (f *Faults) cut(name string, lasts time.Duration, directions []cell.Direction) {
	f.apply(name, fmt.Sprintf("cut %v", directions), lasts, func() { _ = f.rig.proxies.Cut(name, directions...) }, func() { _ = f.rig.proxies.Heal(name) })
}

// refuse has a proxy take no connections.
func (f *Faults) refuse(name string, lasts time.Duration) {
	f.apply(name, "refuses connections", lasts, func() { _ = f.rig.proxies.Refuse(name) }, func() { _ = f.rig.proxies.Accept(name) })
}

// apply lets a fault act on something for a while, unless another does.
func (f *Faults) apply(name, what string, lasts time.Duration, begin, end func()) {
	now := time.Now()
	if now.Before(f.busyUntil[name]) {
		return
	}
	f.busyUntil[name] = now.Add(lasts + stopTimeout/2)
	f.recordEvent("%s %s for %v", name, what, lasts.Round(time.Millisecond))
	f.tasks.Go(func() {
		begin()
		time.Sleep(lasts)
		end()
	})
}
