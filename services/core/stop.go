// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package core

import (
	"time"

	"saddlevane/models/effect"
)

// stopProgress is the progress of a planned stop.
type stopProgress struct {
	since time.Time
	done  bool
}

// beginStop begins a planned stop. The process notifies its peers, claims no shard and
// starts no task any more, but serves callers as before.
func (c *Core) beginStop(now time.Time) []effect.Effect {
	if !c.stop.since.IsZero() {
		return nil
	}
	c.stop.since = now
	c.members.Leave()
	return c.members.LeaveHellos()
}

// continueStop reports the process as stopped, so that its ports may be closed, once
// StopGrace has passed for callers to use other boxes and all leases have been given back,
// or at the latest after MaxStopTime.
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

// Idle reports whether every request has been answered.
func (c *Core) Idle() bool { return c.router.IsIdle() }
