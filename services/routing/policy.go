// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"slices"
	"time"

	"saddlevane/modules/rendezvous"
)

// Policy is what varies between deployments and is measured against baselines.
type Policy struct {
	// Share returns how many of a target's slots the box may fill when the live
	// boxes all fill theirs.
	Share func(target string, slots int, box string, live []string) int
	// Better says whether a request should rather go to a than to b.
	Better func(a, b *target) bool
	// Ordered says whether urgent classes go before others.
	ByPriority bool
	// Early says whether a request is refused at once if it would surely be late.
	RefuseLate bool
	// Spill says whether requests without room go to other domains.
	Spill bool
	// AttemptTimeoutFactor times the usual service time is how long an attempt at a
	// repeatable request is given.
	AttemptTimeoutFactor time.Duration
	// MinRetryAfter is the least time after which a refused caller should return.
	MinRetryAfter time.Duration
}

// DefaultPolicy is what the measurements in docs/DESIGN.md favour.
func DefaultPolicy() Policy {
	return Policy{
		Share: ShareEvenly, Better: leastLoaded, ByPriority: true, RefuseLate: true, Spill: true,
		AttemptTimeoutFactor: 8, MinRetryAfter: 100 * time.Millisecond,
	}
}

// BaselinePolicy is the baseline: targets take turns, requests go in the order in
// which they came, and wait until their deadline.
func BaselinePolicy() Policy {
	p := DefaultPolicy()
	p.ByPriority, p.RefuseLate, p.Spill = false, false, false
	p.Better = func(_, _ *target) bool { return false }
	return p
}

// ShareEvenly gives each live box the same number of slots of a target, and the
// remainder to boxes picked by rendezvous hashing. The shares of boxes that
// agree on who is live add up to the slots. A box that does not see itself in
// live gets nothing new to fill.
func ShareEvenly(target string, slots int, box string, live []string) int {
	if !slices.Contains(live, box) {
		return 0
	}
	share := slots / len(live)
	rest := slices.Clone(live)
	for range slots % len(live) {
		pick := rendezvous.Pick(target, rest)
		if pick == box {
			return share + 1
		}
		rest = slices.DeleteFunc(rest, func(name string) bool { return name == pick })
	}
	return share
}

// leastLoaded prefers the target with the smaller part of its slots filled, and
// between equals the one that has been faster.
func leastLoaded(a, b *target) bool {
	fillA, fillB := a.inflight*b.limit, b.inflight*a.limit
	if fillA != fillB {
		return fillA < fillB
	}
	return a.serviceTime.mean() < b.serviceTime.mean()
}
