// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package admission decides which new jobs beyond the share of their workspace are accepted, and
// when the callers of the others are to return. A job is accepted if, by the forecast of its wait,
// it is done in time. Refused jobs get turns at the rate at which capacity comes free, divided
// between workspaces by weight. Forecasts are compared with the starts that follow, and are not
// used while they are too long.
package admission

import (
	"hash/fnv"
	"time"

	"saddlevane/models/job"
)

const (
	// maxWait is the longest wait that is distinguished, and the longest time until a return.
	maxWait = 10 * time.Second
	// refreshInterval is the age from which the sums of the pools are computed again.
	refreshInterval = 100 * time.Millisecond
	// slackDivisor is the ratio of the slack of a job to the longest forecast with which a new one
	// is accepted. The rest is left to the callers that return at their turn.
	slackDivisor = 2
	// firstReturnUnits is the time over which a new holder spreads returns, in multiples of ReturnUnit.
	firstReturnUnits = 3
	// logLinesPerSecond limits the log lines on refused jobs.
	logLinesPerSecond = 20
)

// Decision is what becomes of a new job beyond its share.
type Decision struct {
	Accepted bool
	Reason   Reason
	// Forecast is the expected wait until the first start.
	Forecast time.Duration
	// Place is the number of the job in the line of its workspace, or 0 if it has no place. Rate is
	// how many such jobs can start in a second.
	Place int
	Rate  float64
	// RetryAfter is when the caller of a refused job is to return.
	RetryAfter time.Duration
}

// Reason says why a job was accepted or refused.
type Reason string

// The reasons.
const (
	// InTime means that the job is done in time by its forecast.
	InTime Reason = "in time by its forecast"
	// Untrusted means that the forecasts of the queue were lately too long.
	Untrusted Reason = "forecasts of the queue were too long"
	// Probe means that no job of the queue beyond its share was accepted for a while.
	Probe Reason = "probe of the forecast"
	// TooLate means that the job would be too late.
	TooLate Reason = "too late by its forecast"
	// Full means that a new holder, which has no forecast yet, has no free capacity.
	Full Reason = "no free capacity at a new holder"
)

type arrivalKey struct {
	pool  string
	class class
}

// Controller holds the state of admission during one claim.
type Controller struct {
	pools       map[string]*Pool
	refreshedAt time.Time
	// complete is set once it is known what runs on all workers.
	complete bool

	arrivals map[arrivalKey]*arrivals
	records  map[string]*record
	pending  map[job.ID]pendingStart

	// refused holds the time of the first refusal of each job.
	refused map[job.ID]time.Time
	places  map[job.ID]*place
	lines   map[string]*line
	slots   map[string]*slots
	// held is the capacity of each pool that is kept for refused jobs whose turn comes soon. Forecasts
	// for other jobs count it as in use.
	held map[string]amounts
	// weights is the sum of the weights of the lines.
	weights float64

	logSecondAt     time.Time
	logLineCount    int
	logLinesOmitted int
}

// New returns a controller without any forecasts.
func New() *Controller {
	return &Controller{
		pools: map[string]*Pool{}, arrivals: map[arrivalKey]*arrivals{}, records: map[string]*record{},
		pending: map[job.ID]pendingStart{}, refused: map[job.ID]time.Time{}, places: map[job.ID]*place{}, lines: map[string]*line{}, slots: map[string]*slots{},
		held: map[string]amounts{},
	}
}

// NeedsRefresh reports whether Refresh has to be called before Decide.
func (c *Controller) NeedsRefresh(now time.Time) bool {
	return c.refreshedAt.IsZero() || now.Sub(c.refreshedAt) >= refreshInterval || now.Before(c.refreshedAt)
}

// Refresh sets the sums of the pools. complete is set if it is known what runs on all workers. If the
// clock was set back, all turns and forecasts are forgotten: their times would be too far ahead.
func (c *Controller) Refresh(now time.Time, pools map[string]*Pool, complete bool) {
	if c.refreshedAt.Sub(now) > returnGrace {
		*c = *New()
	}
	c.pools, c.refreshedAt, c.complete = pools, now, complete
	c.judgePending(now)
	c.refreshPlaces(now)
}

// pool returns the sums of a pool.
func (c *Controller) pool(name string) *Pool {
	p := c.pools[name]
	if p == nil {
		p = NewPool()
		c.pools[name] = p
	}
	return p
}

// AcceptedWithinShare records a job that was accepted because it is within its share.
func (c *Controller) AcceptedWithinShare(now time.Time, j Job) {
	c.forget(j.ID)
	c.accept(now, j, class{priority: j.Priority})
}

// accept records that a job waits from now on.
func (c *Controller) accept(now time.Time, j Job, as class) {
	need := amountsOf(j.Need)
	c.pool(j.Pool).addWaiting(need, as)
	k := arrivalKey{j.Pool, as}
	if c.arrivals[k] == nil {
		c.arrivals[k] = &arrivals{at: now}
	}
	c.arrivals[k].add(now, need)
}

// Decide accepts or refuses a job beyond its share.
func (c *Controller) Decide(now time.Time, j Job) Decision {
	o := c.outlook(now, j)
	p := c.placeOf(now, j.ID)
	if !c.complete {
		return c.decideWithoutForecast(now, j, o)
	}
	isTurn := p != nil && !now.Before(p.turn)
	useful := j.UsefulTime - j.CriticalPath - now.Sub(c.firstRefusal(now, j.ID))
	reserved, slack := c.held[j.Pool], max(0, min(j.slack(), useful))
	limit := slack / slackDivisor
	switch {
	case isTurn:
		reserved, limit = amounts{}, slack
	case p != nil && p.held:
		reserved.add(p.need, -1)
	}
	r := c.record(now, j.Queue)
	wait := o.wait(j, reserved)
	d := Decision{Accepted: true, Forecast: wait + seconds(max(0, r.excess)), Rate: rate(o.cost(j))}
	if useful >= 0 {
		d.Reason = r.reasonToAccept(now, d.Forecast, limit)
	}
	if d.Reason == "" {
		return c.refuse(now, j, o, d, slack)
	}
	c.forget(j.ID)
	c.expect(now, j, wait, slack)
	c.accept(now, j, j.class())
	return d
}

// decideWithoutForecast accepts a job for which there is free capacity now. The callers of the
// others return over the next seconds, spread by job.
func (c *Controller) decideWithoutForecast(now time.Time, j Job, o outlook) Decision {
	if o.wait(j, amounts{}) == 0 {
		c.forget(j.ID)
		c.accept(now, j, j.class())
		return Decision{Accepted: true, Reason: InTime}
	}
	h := fnv.New32a()
	h.Write([]byte(j.ID))
	return Decision{Reason: Full, RetryAfter: time.Duration(1+h.Sum32()%firstReturnUnits) * ReturnUnit}
}

// refuse gives a job a turn, or the rest of the time until the turn that it has.
func (c *Controller) refuse(now time.Time, j Job, o outlook, d Decision, slack time.Duration) Decision {
	d.Accepted, d.Reason = false, TooLate
	if _, known := c.refused[j.ID]; !known && len(c.refused) < maxPlaces {
		c.refused[j.ID] = now
	}
	p := c.placeOf(now, j.ID)
	if p != nil && !now.Before(p.turn) {
		// The turn came too early: the next one is given as to a new job.
		c.dropPlace(j.ID)
		p = nil
	}
	if p != nil {
		d.RetryAfter = returnTime(p.turn.Sub(now))
		return d
	}
	d.RetryAfter, d.Place = c.giveTurn(now, j, o, now.Add(max(0, o.wait(j, amounts{})-slack)))
	return d
}

// firstRefusal returns when a job was first refused, or the present time if that is not known.
func (c *Controller) firstRefusal(now time.Time, id job.ID) time.Time {
	if at, known := c.refused[id]; known {
		return at
	}
	return now
}

// forget forgets that a job was refused.
func (c *Controller) forget(id job.ID) {
	c.dropPlace(id)
	delete(c.refused, id)
}

// returnTime rounds a time up to what the callers' header can hold.
func returnTime(d time.Duration) time.Duration {
	return min(maxWait, max(ReturnUnit, (d+ReturnUnit-1)/ReturnUnit*ReturnUnit))
}

// rate returns how many jobs of a cost can start in a second.
func rate(cost time.Duration) float64 {
	if cost <= 0 {
		return 0
	}
	return 1 / cost.Seconds()
}

// TakeLogLine reports whether a line on a refused job may be logged, and how many were omitted since
// the last one.
func (c *Controller) TakeLogLine(now time.Time) (omitted int, ok bool) {
	if now.Sub(c.logSecondAt) >= time.Second || now.Before(c.logSecondAt) {
		c.logSecondAt, c.logLineCount = now, 0
	}
	if c.logLineCount >= logLinesPerSecond {
		c.logLinesOmitted++
		return 0, false
	}
	c.logLineCount++
	omitted, c.logLinesOmitted = c.logLinesOmitted, 0
	return omitted, true
}

// Places returns the number of refused jobs that have a turn.
func (c *Controller) Places() int { return len(c.places) }
