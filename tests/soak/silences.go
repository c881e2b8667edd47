// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"time"

	"saddlevane/tests/forward"
)

// How often open connections go silent in a run, for good, while new ones work.
const (
	// fullStalls is how often all of them do.
	fullStalls = 2
	// extraStalls is how often those of one thing do, besides once of each sort.
	extraStalls = 3
)

// stallDirections are those that go silent: both, so that neither end hears the other, or
// one of them.
var stallDirections = [][]forward.Direction{
	{forward.Requests, forward.Answers}, {forward.Requests}, {forward.Answers},
}

// scheduleStalls draws silences for a while and has them happen.
func (f *Faults) scheduleStalls(ctx context.Context, most time.Duration) {
	for range fullStalls {
		f.schedule(ctx, most, f.drawFullStall())
	}
	for sort := range f.forwarderGroups() {
		f.schedule(ctx, most, f.drawStall(sort))
	}
	for range extraStalls {
		f.schedule(ctx, most, f.drawStall(f.stallRNG.Intn(len(f.forwarderGroups()))))
	}
}

// schedule has something happen within a while.
func (f *Faults) schedule(ctx context.Context, most time.Duration, do func() int) {
	at := time.Duration(f.stallRNG.Int63n(int64(most)))
	f.tasks.Go(func() {
		sleep(ctx, at)
		do()
	})
}

// StallAll silences all open connections now, and returns how many there were.
func (f *Faults) StallAll() int { return f.drawFullStall()() }

// drawFullStall draws a silence of all open connections.
func (f *Faults) drawFullStall() func() int {
	ways := stallDirections[f.stallRNG.Intn(len(stallDirections))]
	return func() int {
		n := f.rig.StallConnections(ways...)
		f.recordEvent("all %d open connections silent: %v", n, ways)
		return n
	}
}

// forwarderGroups returns the names of what can go silent alone, by sort.
func (f *Faults) forwarderGroups() [][]string {
	boxes, workers := len(f.rig.boxes), len(f.rig.workers)
	return [][]string{
		indexedNames(boxes, logProxyName), indexedNames(boxes, peerProxyName), indexedNames(boxes, adviceProxyName), indexedNames(boxes, callersProxyName), indexedNames(workers, workerName),
	}
}

// indexedNames returns the names of some number of things.
func indexedNames(n int, name func(int) string) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = name(i)
	}
	return all
}

// drawStall draws a silence of the open connections of one thing of a sort. The order
// is drawn; the first that has some is taken.
func (f *Faults) drawStall(sort int) func() int {
	all := f.forwarderGroups()[sort]
	order := f.stallRNG.Perm(len(all))
	ways := stallDirections[f.stallRNG.Intn(len(stallDirections))]
	return func() int {
		for _, i := range order {
			if n := f.rig.forwarders[all[i]].Stall(ways...); n > 0 {
				f.recordEvent("%s: %d open connections silent: %v", all[i], n, ways)
				return n
			}
		}
		return 0
	}
}
