// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package speeds

import "time"

// cacheLifetime is how long an estimate is used before it is computed again.
const cacheLifetime = 100 * time.Millisecond

// Cached is the estimated speed of one worker, computed again after cacheLifetime.
type Cached struct {
	estimate Estimate
	at       time.Time
}

// Of returns the estimated speed of the worker. All calls for one Cached must name the same worker.
func (c *Cached) Of(now time.Time, t *Tracker, worker string) Estimate {
	if age := now.Sub(c.at); age < 0 || age >= cacheLifetime {
		c.estimate, c.at = t.Of(now, worker), now
	}
	return c.estimate
}
