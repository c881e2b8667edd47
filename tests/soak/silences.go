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
	// silencesOfAll is how often all of them do.
	silencesOfAll = 2
	// silencesMore is how often those of one thing do, besides once of each sort.
	silencesMore = 3
)

// directions are those that go silent: both, so that neither end hears the other, or
// one of them.
var directions = [][]forward.Direction{
	{forward.Requests, forward.Answers}, {forward.Requests}, {forward.Answers},
}

// silenceWithin draws silences for a while and has them happen.
func (f *Faults) silenceWithin(ctx context.Context, most time.Duration) {
	for range silencesOfAll {
		f.later(ctx, most, f.silenceAll())
	}
	for sort := range f.sorts() {
		f.later(ctx, most, f.silenceOne(sort))
	}
	for range silencesMore {
		f.later(ctx, most, f.silenceOne(f.silences.Intn(len(f.sorts()))))
	}
}

// later has something happen within a while.
func (f *Faults) later(ctx context.Context, most time.Duration, do func() int) {
	at := time.Duration(f.silences.Int63n(int64(most)))
	f.tasks.Go(func() {
		sleep(ctx, at)
		do()
	})
}

// SilenceAll silences all open connections now, and returns how many there were.
func (f *Faults) SilenceAll() int { return f.silenceAll()() }

// silenceAll draws a silence of all open connections.
func (f *Faults) silenceAll() func() int {
	ways := directions[f.silences.Intn(len(directions))]
	return func() int {
		n := f.rig.Silence(ways...)
		f.tell("all %d open connections silent: %v", n, ways)
		return n
	}
}

// sorts returns the names of what can go silent alone, by sort.
func (f *Faults) sorts() [][]string {
	boxes, workers := len(f.rig.boxes), len(f.rig.workers)
	return [][]string{
		names(boxes, logWay), names(boxes, peerWay), names(boxes, adviceWay), names(boxes, callersWay), names(workers, workerName),
	}
}

// names returns the names of some number of things.
func names(n int, name func(int) string) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = name(i)
	}
	return all
}

// silenceOne draws a silence of the open connections of one thing of a sort. The order
// is drawn; the first that has some is taken.
func (f *Faults) silenceOne(sort int) func() int {
	all := f.sorts()[sort]
	order := f.silences.Perm(len(all))
	ways := directions[f.silences.Intn(len(directions))]
	return func() int {
		for _, i := range order {
			if n := f.rig.ways[all[i]].Stall(ways...); n > 0 {
				f.tell("%s: %d open connections silent: %v", all[i], n, ways)
				return n
			}
		}
		return 0
	}
}
