// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/resource"
)

// TestEndsOfGangMembersArriveAtDifferentTimes runs worlds in which the members of gangs run on workers whose
// answers take different times, as they do if some relays are slow, while the cell is taken over and workers
// restart or cannot be reached. Each incarnation of a worker has a name of its own, so that orders meant for
// an earlier one are refused.
func TestEndsOfGangMembersArriveAtDifferentTimes(t *testing.T) {
	for seed := range seedCount() / 2 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runGangWorld(t, 930_040+seed, defaultFailurePercent)
		})
	}
}

// TestFailedEndsOfGangMembersArriveAtDifferentTimes runs the same worlds with more failures: the members of a run end
// failed or broken, in reports that arrive in any order, also across takeovers.
func TestFailedEndsOfGangMembersArriveAtDifferentTimes(t *testing.T) {
	for seed := range seedCount() / 2 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runGangWorld(t, 480_000+seed, 15)
		})
	}
}

// runGangWorld runs the world of a seed in which so many of 100 runs fail, for
// TestEndsOfGangMembersArriveAtDifferentTimes.
func runGangWorld(t *testing.T, seed int64, failurePercent int) {
	w := newWorld(t, seed, 3, 12)
	w.failurePercent = failurePercent
	w.uniqueIncarnationNames = true
	for _, f := range w.workers {
		f.incarnation = order.Incarnation{Name: f.name + "-1"}
	}
	w.waitUntilServing()
	w.lateOrderShare = []float64{0, 0.05, 0.2}[w.rng.Intn(3)]
	for i := range 40 {
		w.after(time.Duration(w.rng.Intn(15000))*time.Millisecond, func() { w.submit(w.spreadGang(i)) })
	}
	for range 8 {
		w.after(time.Duration(w.rng.Intn(15000))*time.Millisecond, w.changeAnswerDelay)
	}
	for range 6 {
		w.after(time.Duration(w.rng.Intn(15000))*time.Millisecond, w.disturbWorker)
	}
	for range w.rng.Intn(4) {
		w.after(time.Duration(w.rng.Intn(15000))*time.Millisecond, func() {
			if h := w.holder(); h != nil {
				w.killBox(h, time.Second)
			}
		})
	}
	w.runChecked(100)
	w.lateOrderShare = 0
	for _, f := range w.workers {
		f.answerDelay = 0
	}
	w.runUntilEnded()
}

// spreadGang returns a job with a gang whose members run on different workers, followed by a step in every
// second job.
func (w *world) spreadGang(i int) job.Submission {
	s := oneStep(fmt.Sprint("gang", i), "quick", 2+w.rng.Intn(3), true)
	s.Steps[0].Need.Processors = 20 * resource.Processor
	s.Steps[0].PerWorker = 1
	s.Steps[0].Estimate = job.Milliseconds(200 + w.rng.Intn(1300))
	if i%2 == 0 {
		s.Steps = append(s.Steps, job.Step{Tasks: 2, Need: defaultNeed, Estimate: 300, After: []int{0}})
	}
	return s
}

// relayGroup is the number of workers that share a relay.
const relayGroup = 6

// changeAnswerDelay sets how late the answers of the workers of a relay arrive: at once, within the timeout of a
// renewal, after it, or when the leases of the workers have expired.
func (w *world) changeAnswerDelay() {
	afterLease := lease + time.Duration(w.rng.Intn(500))*time.Millisecond
	delay := []time.Duration{0, 150 * time.Millisecond, 1500 * time.Millisecond, afterLease, afterLease}[w.rng.Intn(5)]
	for _, f := range w.groupOf(w.rng.Intn(len(w.workers))) {
		f.answerDelay = delay
	}
}

// groupOf returns the workers that share the relay of a worker.
func (w *world) groupOf(i int) []*fakeWorker {
	first := i - i%relayGroup
	return w.workers[first:min(first+relayGroup, len(w.workers))]
}

// disturbWorker restarts a worker, or makes the workers of a relay unreachable, sometimes for longer than their
// leases last.
func (w *world) disturbWorker() {
	i := w.rng.Intn(len(w.workers))
	if w.rng.Intn(3) == 0 {
		w.restartWorker(i)
		return
	}
	duration := lease * time.Duration(5+w.rng.Intn(120)) / 100
	for _, f := range w.groupOf(i) {
		f.unreachable = true
		w.after(duration, func() { f.unreachable = false })
	}
}
