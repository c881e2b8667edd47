// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"slices"
	"time"

	"saddlevane/modules/rendezvous"
)

// Policy holds the routing decisions that can be replaced, such as for comparison
// with a baseline.
type Policy struct {
	// Share returns the number of a target's slots that the box may use, given
	// that all live boxes use theirs.
	Share func(target string, slots int, box string, live []string) int
	// Better reports whether target a is preferred to target b.
	Better func(a, b *target) bool
	// ByPriority reports whether more urgent classes are served first.
	ByPriority bool
	// RefuseLate reports whether a request is refused as soon as it is expected to
	// miss its deadline.
	RefuseLate bool
	// Spill reports whether requests that exceed the capacity here are sent to
	// other domains.
	Spill bool
	// AttemptTimeoutFactor is the timeout of the first attempt at a repeatable
	// request, as a multiple of the mean service time.
	AttemptTimeoutFactor time.Duration
	// MinRetryAfter is the minimum time after which a refused caller should retry.
	MinRetryAfter time.Duration
}

// DefaultPolicy returns the policy of a normal deployment.
func DefaultPolicy() Policy {
	return Policy{
		Share: ShareEvenly, Better: leastLoaded, ByPriority: true, RefuseLate: true, Spill: true,
		AttemptTimeoutFactor: 8, MinRetryAfter: 100 * time.Millisecond,
	}
}

// BaselinePolicy returns the policy for comparison: targets are used round-robin,
// requests are sent in the order of arrival, wait until their deadlines and are
// not spilled.
func BaselinePolicy() Policy {
	p := DefaultPolicy()
	p.ByPriority, p.RefuseLate, p.Spill = false, false, false
	p.Better = func(_, _ *target) bool { return false }
	return p
}

// ShareEvenly divides a target's slots evenly between the live boxes and assigns
// the remainder by rendezvous hashing. The shares of boxes that agree on the live
// boxes add up to slots. The share of a box that is not in live is 0.
func ShareEvenly(target string, slots int, box string, live []string) int {
	if !slices.Contains(live, box) {
		return 0
	}
	share := slots / len(live)
	remaining := slices.Clone(live)
	for range slots % len(live) {
		pick := rendezvous.Pick(target, remaining)
		if pick == box {
			return share + 1
		}
		remaining = slices.DeleteFunc(remaining, func(name string) bool { return name == pick })
	}
	return share
}

// leastLoaded prefers the target with the smaller fraction of its slots in use,
// and among equals the one with the shorter mean service time.
func leastLoaded(a, b *target) bool {
	fillA, fillB := a.inflight*b.limit, b.inflight*a.limit
	if fillA != fillB {
		return fillA < fillB
	}
	return a.serviceTime.mean() < b.serviceTime.mean()
}
