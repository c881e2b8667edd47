// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package core

import (
	"time"

	"saddlevane/models/effect"
)

// stopProgress is how far a planned stop has come.
type stopProgress struct {
	since time.Time
	done  bool
}

// beginStop makes the process leave: it tells its peers, takes no new shard and
// starts nothing more, but serves callers as before.
func (c *Core) beginStop(now time.Time) []effect.Effect {
	if !c.stop.since.IsZero() {
		return nil
	}
	c.stop.since = now
	c.members.Leave()
	return c.members.LeaveHellos()
}

// continueStop says when the ports may be closed: callers have had time to go
// elsewhere, and leases are given back.
func (c *Core) continueStop(now time.Time) []effect.Effect {
	if c.stop.since.IsZero() || c.stop.done {
		return nil
	}
	since := now.Sub(c.stop.since)
	released := true
	for _, h := range c.holders {
		h.ReleaseLeases(now)
		released = released && h.AllLeasesReleased(now)
	}
	finished := since >= c.settings.StopGrace && released
	if !finished && since < c.settings.MaxStopTime {
		return nil
	}
	c.stop.done = true
	return []effect.Effect{effect.Stopped{}}
}

// Idle says whether every request has been answered.
func (c *Core) Idle() bool { return c.router.IsIdle() }
