// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package throttling

import "time"

// settleTime is the time after which a change of pace shows in the reported tail latencies: they
// cover the last half second, and a change takes 100 ms to take effect (the users' protocol).
const settleTime = 650 * time.Millisecond

// Pace is the pace of the fillers on one worker. NewPace returns a usable one.
type Pace struct {
	percent   int
	changedAt time.Time
}

// NewPace returns the pace of fillers that are not throttled.
func NewPace() Pace { return Pace{percent: Full} }

// Percent returns the pace in percent of full speed; 0 means that the fillers are paused.
func (p *Pace) Percent() int { return p.percent }

// Reset sets full speed. The next Adjust still waits until the last change by Adjust shows.
func (p *Pace) Reset() { p.percent = Full }

// Adjust sets the next pace, given the highest ratio of tail latency to target among the service
// tasks on the worker, and reports whether the pace has changed. It keeps the pace until the last
// change by Adjust shows in the tail latencies.
func (p *Pace) Adjust(now time.Time, worst float64) bool {
	if now.Sub(p.changedAt) < settleTime {
		return false
	}
	next := Next(p.percent, worst)
	if next == p.percent {
		return false
	}
	p.percent, p.changedAt = next, now
	return true
}
