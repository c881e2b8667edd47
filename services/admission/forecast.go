// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"math"
	"time"
)

// arrivalWindow is the time constant of the measured rate of accepted jobs. It covers several jobs
// of each frequent queue and follows a burst within a few hundred milliseconds.
const arrivalWindow = time.Second

// arrivals measures the rate at which accepted jobs need capacity.
type arrivals struct {
	rate amounts
	at   time.Time
}

// add records a job.
func (a *arrivals) add(now time.Time, need amounts) {
	a.rate = a.perSecond(now)
	a.rate.add(need, 1/arrivalWindow.Seconds())
	a.at = now
}

// perSecond returns the rate at now.
func (a *arrivals) perSecond(now time.Time) amounts {
	var rate amounts
	rate.add(a.rate, decay(now.Sub(a.at), arrivalWindow))
	return rate
}

// decay returns the weight of a value of some age.
func decay(age, window time.Duration) float64 {
	return math.Exp(-max(0, age).Seconds() / window.Seconds())
}

// minNetShare is the least part of the capacity coming free that is expected to be left by the jobs
// that go first. It keeps a forecast finite during a short peak of these.
const minNetShare = 0.05

// outlook is what a new job of a class finds in its pool.
type outlook struct {
	// free is the free capacity less what goes first. It is negative in a backlog.
	free amounts
	// net is the rate at which capacity comes free less the rate of new jobs that go first. What is
	// free now comes free once per run time when such jobs use it.
	net amounts
}

// outlook returns what a new job of a class finds at now.
func (c *Controller) outlook(now time.Time, j Job) outlook {
	p := c.pool(j.Pool)
	o := outlook{free: p.free, net: p.ending}
	if j.CriticalPath > 0 {
		o.net.add(p.free, 1/j.CriticalPath.Seconds())
	}
	gross := o.net
	o.free.add(p.ahead(j.class()), -1)
	for k, a := range c.arrivals {
		if k.pool == j.Pool && j.class().isAfter(k.class) && k.class != j.class() {
			o.net.add(a.perSecond(now), -1)
		}
	}
	for i := range o.net {
		o.net[i] = max(o.net[i], minNetShare*gross[i])
	}
	return o
}

// wait returns how long a job waits for its capacity, with reserved set aside for others. The job
// can use only the suitable part of the workers, over which the tasks that go first are spread
// evenly.
func (o *outlook) wait(j Job, reserved amounts) time.Duration {
	longest := 0.0
	for i, need := range amountsOf(j.Need) {
		if need <= 0 {
			continue
		}
		if missing := need/j.SuitableShare + reserved[i] - o.free[i]; missing > 0 {
			longest = max(longest, missing/o.net[i])
		}
	}
	return seconds(longest)
}

// cost returns for how long the capacity that comes free is used up by a job.
func (o *outlook) cost(j Job) time.Duration {
	longest := 0.0
	for i, need := range amountsOf(j.Need) {
		if need > 0 {
			longest = max(longest, need/o.net[i])
		}
	}
	return seconds(longest)
}

// seconds returns s seconds, at most maxWait. A rate of zero gives an infinite or undefined s.
func seconds(s float64) time.Duration {
	if !(s < maxWait.Seconds()) {
		return maxWait
	}
	return time.Duration(s * float64(time.Second))
}
