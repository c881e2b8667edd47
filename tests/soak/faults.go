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

// Intervals, durations and probabilities of faults.
const (
	// meanFaultInterval is the mean time between the starts of two faults; faults may
	// overlap.
	meanFaultInterval = 350 * time.Millisecond
	// maxFaultDuration bounds the duration of a fault.
	maxFaultDuration = 2500 * time.Millisecond
	// stopTimeout bounds a planned stop.
	stopTimeout = 6 * time.Second
	// faultyShare is the share of responses that a faulty log loses, and of orders that a
	// faulty worker executes late.
	faultyShare = 0.3
	// logDelay is the additional response time of a slow log.
	logDelay = 200 * time.Millisecond
	// faultKinds is the number of kinds of faults, which are equally likely. Numbers without
	// a case of their own in inject are faults of the log.
	faultKinds = 14
)

// Faults injects random faults into a rig.
type Faults struct {
	rig *Rig
	rng *rand.Rand
	// stallRNG draws the stalls. It is separate from rng so that the other faults of a seed
	// don't depend on them.
	stallRNG *rand.Rand
	// restartRNG draws the restarts of workers, separately for the same reason.
	restartRNG *rand.Rand
	tasks      conc.WaitGroup
	// busyUntil is the time, by name, until which no other fault may be applied to a
	// component.
	busyUntil map[string]time.Time
	startedAt time.Time

	mu sync.Mutex
	// events describes each fault and when it was injected.
	events []string
}

// NewFaults returns the faults that are determined by seed.
func NewFaults(r *Rig, seed int64) *Faults {
	return &Faults{
		rig: r, rng: rand.New(rand.NewSource(seed)), stallRNG: rand.New(rand.NewSource(^seed)), restartRNG: newRestartRNG(seed),
		busyUntil: map[string]time.Time{}, startedAt: time.Now(),
	}
}

// Events returns a line for each injected fault, with the time since NewFaults.
func (f *Faults) Events() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.events)
}

// recordEvent appends a line to the events, with the current time.
func (f *Faults) recordEvent(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, fmt.Sprintf("%6.2fs ", time.Since(f.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// Run injects faults for the given duration and returns once all of them have ended.
func (f *Faults) Run(ctx context.Context, duration time.Duration) {
	f.scheduleStalls(ctx, duration)
	f.scheduleRestarts(ctx, duration)
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; {
		f.inject()
		select {
		case <-time.After(time.Duration(f.rng.ExpFloat64() * float64(meanFaultInterval))):
		case <-ctx.Done():
		}
	}
	f.tasks.Wait()
}

// inject starts one random fault. It draws every parameter for every kind of fault, so that
// the sequence of faults depends on the seed alone.
func (f *Faults) inject() {
	duration := time.Duration(f.rng.Int63n(int64(maxFaultDuration)))
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
		f.apply(b.name, "killed", duration/4, func() { b.currentProcess().Kill() }, func() { f.restart(b) })
	case 1:
		f.apply(b.name, "paused", duration, func() { _ = b.currentProcess().Pause() }, func() { _ = b.currentProcess().Continue() })
	case 2:
		f.apply(b.name, "stopped as planned", duration/4, func() { _ = b.currentProcess().Stop(stopTimeout) }, func() { f.restart(b) })
	case 3:
		f.apply(b.name+"/hup", "reloads", 0, func() { _ = b.currentProcess().Signal(syscall.SIGHUP) }, func() {})
	case 4, 5:
		f.cut(logProxyName(i), duration, directions)
	case 6:
		f.cut(peerProxyName(i), duration, directions)
	case 7:
		f.refuse(logProxyName(i), duration)
	case 8:
		f.cut(worker, duration, directions)
	case 9:
		f.apply(worker+"/restart", "restarts", 0, w.Restart, func() {})
	case 10:
		f.apply(worker+"/faults", "fails all tasks", duration, func() { w.SetFaults(standin.WorkerFaults{FailAllTasks: true}) }, heal)
	case 11:
		f.apply(worker+"/faults", "executes orders late", duration, func() { w.SetFaults(standin.WorkerFaults{LateOrderShare: faultyShare}) }, heal)
	default:
		f.injectLogFault(duration)
	}
}

// injectLogFault injects a random fault of the whole log.
func (f *Faults) injectLogFault(duration time.Duration) {
	all := []struct {
		what  string
		fault standin.LogFaults
	}{
		{"refuses all calls", standin.LogFaults{Busy: true}},
		{"does not respond", standin.LogFaults{Unresponsive: true}},
		{"loses responses", standin.LogFaults{LostAnswerShare: faultyShare}},
		{"is slow", standin.LogFaults{Delay: logDelay}},
	}
	chosen := all[f.rng.Intn(len(all))]
	f.apply("log", chosen.what, duration, func() { f.rig.platform.SetLogFaults(chosen.fault) }, func() { f.rig.platform.SetLogFaults(standin.LogFaults{}) })
}

// restart restarts the daemon of a box, and panics if it can't be started.
func (f *Faults) restart(b *box) {
	if err := f.rig.restart(b); err != nil {
		panic(err)
	}
}

// cut drops the traffic of a proxy in the given directions.
func (f *Faults) cut(name string, duration time.Duration, directions []cell.Direction) {
	f.apply(name, fmt.Sprintf("cut %v", directions), duration, func() { _ = f.rig.proxies.Cut(name, directions...) }, func() { _ = f.rig.proxies.Heal(name) })
}

// refuse makes a proxy refuse connections.
func (f *Faults) refuse(name string, duration time.Duration) {
	f.apply(name, "refuses connections", duration, func() { _ = f.rig.proxies.Refuse(name) }, func() { _ = f.rig.proxies.Accept(name) })
}

// apply calls begin, and end after the given duration, unless the named component is reserved
// by another fault. A component stays reserved for half of stopTimeout after the duration,
// since begin and end take time as well.
func (f *Faults) apply(name, what string, duration time.Duration, begin, end func()) {
	now := time.Now()
	if now.Before(f.busyUntil[name]) {
		return
	}
	f.busyUntil[name] = now.Add(duration + stopTimeout/2)
	f.recordEvent("%s %s for %v", name, what, duration.Round(time.Millisecond))
	f.tasks.Go(func() {
		begin()
		time.Sleep(duration)
		end()
	})
}
