// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"time"

	"saddlevane/tests/tcpproxy"
)

// Numbers of stalls in a run. A stall affects open connections permanently, while new ones
// work.
const (
	// fullStalls is how often all open connections stall.
	fullStalls = 2
	// extraStalls is how often the connections of one random component stall, in addition to
	// one stall per group of components.
	extraStalls = 3
)

// stallDirections are the choices for a stall: both directions, so that neither end receives
// anything, or one of them.
var stallDirections = [][]tcpproxy.Direction{
	{tcpproxy.Requests, tcpproxy.Answers}, {tcpproxy.Requests}, {tcpproxy.Answers},
}

// scheduleStalls schedules stalls at random times within the given duration.
func (f *Faults) scheduleStalls(ctx context.Context, duration time.Duration) {
	for range fullStalls {
		f.schedule(ctx, duration, f.drawFullStall())
	}
	for group := range f.forwarderGroups() {
		f.schedule(ctx, duration, f.drawStall(group))
	}
	for range extraStalls {
		f.schedule(ctx, duration, f.drawStall(f.stallRNG.Intn(len(f.forwarderGroups()))))
	}
}

// schedule calls do at a random time within the given duration.
func (f *Faults) schedule(ctx context.Context, duration time.Duration, do func() int) {
	delay := time.Duration(f.stallRNG.Int63n(int64(duration)))
	f.tasks.Go(func() {
		sleep(ctx, delay)
		do()
	})
}

// StallAll stalls all currently open connections and returns how many there were.
func (f *Faults) StallAll() int { return f.drawFullStall()() }

// drawFullStall draws the directions of a stall of all open connections. The returned
// function carries it out and returns the number of connections.
func (f *Faults) drawFullStall() func() int {
	chosen := stallDirections[f.stallRNG.Intn(len(stallDirections))]
	return func() int {
		n := f.rig.StallConnections(chosen...)
		f.recordEvent("stalled all %d open connections: %v", n, chosen)
		return n
	}
}

// forwarderGroups returns the names of the forwarders that can be stalled alone, grouped by
// the kind of component behind them.
func (f *Faults) forwarderGroups() [][]string {
	boxes, workers := len(f.rig.boxes), len(f.rig.workers)
	return [][]string{
		indexedNames(boxes, logProxyName), indexedNames(boxes, peerProxyName), indexedNames(boxes, adviceProxyName),
		indexedNames(boxes, callersProxyName), indexedNames(workers, workerName),
	}
}

// indexedNames returns the names for the indexes 0 to n-1.
func indexedNames(n int, name func(int) string) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = name(i)
	}
	return all
}

// drawStall draws a stall of the open connections of one component of a group: the directions
// and an order of the components. The returned function stalls the first component in that
// order that has open connections, and returns their number.
func (f *Faults) drawStall(group int) func() int {
	all := f.forwarderGroups()[group]
	order := f.stallRNG.Perm(len(all))
	chosen := stallDirections[f.stallRNG.Intn(len(stallDirections))]
	return func() int {
		for _, i := range order {
			if n := f.rig.forwarders[all[i]].Stall(chosen...); n > 0 {
				f.recordEvent("%s: stalled %d open connections: %v", all[i], n, chosen)
				return n
			}
		}
		return 0
	}
}
