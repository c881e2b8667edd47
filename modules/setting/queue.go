// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import "time"

// Queue holds the settings for waiting tasks.
type Queue struct {
	// Backoff is the delay before a failed task is retried. It doubles with each failure, up to
	// MaxBackoff.
	Backoff    time.Duration `yaml:"backoff"`
	MaxBackoff time.Duration `yaml:"backoff_most"`
	// GangOvertakeTimeout is how long a gang waits before smaller tasks may no longer overtake
	// it.
	GangOvertakeTimeout time.Duration `yaml:"gang_patience"`
	// PlacementsPerTick and StopsPerTick limit the placements and stops of one tick.
	PlacementsPerTick int `yaml:"placements_per_tick"`
	StopsPerTick      int `yaml:"stops_per_tick"`
}

func defaultQueue() Queue {
	return Queue{
		Backoff: 500 * time.Millisecond, MaxBackoff: 5 * time.Minute, GangOvertakeTimeout: 30 * time.Second,
		PlacementsPerTick: 1000, StopsPerTick: 100,
	}
}

func (q *Queue) check(c *checker) {
	checkRange(c, "queue.backoff", q.Backoff, time.Millisecond, time.Hour)
	checkRange(c, "queue.backoff_most", q.MaxBackoff, q.Backoff, 24*time.Hour)
	checkRange(c, "queue.gang_patience", q.GangOvertakeTimeout, 0, 24*time.Hour)
	checkRange(c, "queue.placements_per_tick", q.PlacementsPerTick, 1, 1_000_000)
	checkRange(c, "queue.stops_per_tick", q.StopsPerTick, 1, 1_000_000)
}
