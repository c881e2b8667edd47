// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package speeds

import "time"

// maxGangSlowness is the certain logarithm of the slowness from which a worker gets no members of gangs: a
// gang is as slow as its slowest member, and would take 2.2 times as long.
const maxGangSlowness = 0.79

// SuitsGang reports whether the worker is fast enough for members of gangs. A worker that was too slow is
// tried again with other tasks, since a whole gang would wait for it.
func (e Estimate) SuitsGang() bool { return e.certainDifference() > -maxGangSlowness }

// Urgency is how much the speed of the workers matters for a step.
type Urgency struct {
	// Work is the expected run time at mean speed, Slack by how much the step may take longer.
	Work, Slack time.Duration
	// Urgent is set if the step should end as soon as it can.
	Urgent bool
}

// SpeedClass returns the class of a worker's speed as far as it matters for the step, for the order of
// workers: slower ones come later. A slow worker on which the step ends on time counts as a usual one.
func (u Urgency) SpeedClass(e Estimate) int {
	if !u.Urgent && e.TimeFor(u.Work)-u.Work < u.Slack {
		return min(0, e.Class())
	}
	return e.Class()
}

// SlowestClass returns the slowest class among the workers chosen for a gang, and whether they differ.
func SlowestClass[A any](chosen []A, classOf func(A) int) (slowest int, mixed bool) {
	for i, c := range chosen {
		class := classOf(c)
		if i == 0 {
			slowest = class
		}
		mixed = mixed || class != slowest
		slowest = max(slowest, class)
	}
	return slowest, mixed
}

// GangClass returns the class of a worker's speed for the order of workers of a gang that needs workers up
// to the slowest class. As the gang is as slow as these, they come first, and faster ones are left to
// others.
func GangClass(class, slowest int) int {
	if class > slowest {
		return class - slowest + maxClasses
	}
	return slowest - class
}

// maxClasses is more than the number of classes by which the speeds of two workers may differ.
const maxClasses = 1 << 20
