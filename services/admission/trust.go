// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"iter"
	"maps"
	"time"

	"saddlevane/models/job"
	"saddlevane/modules/ordered"
)

const (
	// evidenceWindow is the time constant with which the error of earlier forecasts is forgotten.
	evidenceWindow = 2 * time.Second
	// probeInterval is the longest time without an accepted job beyond its share after which one
	// is accepted whatever its forecast. Without it a queue whose forecasts are too long would
	// never show that.
	probeInterval = 5 * time.Second
	// minEvidence is the weight of startedInTime from which forecasts may be distrusted. It is
	// below the weight of one recent start.
	minEvidence = 0.5
	// errorSmoothing is the weight of one start in the mean error of the forecasts of a queue.
	errorSmoothing = 0.1
	// maxPending limits the number of forecasts that wait for a start.
	maxPending = 4096
)

// record is how good the forecasts of a queue were lately.
type record struct {
	at time.Time
	// startedInTime and startedLate are the weights of the jobs that were accepted although their
	// forecast exceeded their slack, by whether they started within it. They show whether it would
	// have been wrong or right to refuse them.
	startedInTime, startedLate float64
	// excess is by how much, on average, jobs waited longer than forecast.
	excess float64
	// probedAt is when a job beyond its share was last accepted.
	probedAt time.Time
}

// age reduces the weight of the evidence to that at now.
func (r *record) age(now time.Time) {
	factor := decay(now.Sub(r.at), evidenceWindow)
	r.startedInTime, r.startedLate, r.excess = r.startedInTime*factor, r.startedLate*factor, r.excess*factor
	r.at = now
}

// isTrusted reports whether a job may be refused because of its forecast. It may not if most of the
// jobs that were accepted in spite of theirs started in time.
func (r *record) isTrusted() bool {
	return r.startedInTime < minEvidence || r.startedInTime <= r.startedLate
}

// reasonToAccept returns why a job with a forecast is accepted, or an empty reason if it is not. A job
// whose forecast is at most limit is in time.
func (r *record) reasonToAccept(now time.Time, forecast, limit time.Duration) Reason {
	switch {
	case forecast <= limit:
		return InTime
	case !r.isTrusted():
		return Untrusted
	case now.Sub(r.probedAt) >= probeInterval:
		return Probe
	default:
		return ""
	}
}

// observe records the wait of a job that has started, or that a job waits for longer than its slack.
// The wait of the latter is not known yet and is assumed to be as long again.
func (r *record) observe(now time.Time, p pendingStart, waited time.Duration, started bool) {
	r.age(now)
	estimate := waited
	if !started {
		estimate = 2 * waited
	}
	if started || estimate > p.forecast {
		r.excess += errorSmoothing * ((estimate - p.forecast).Seconds() - r.excess)
	}
	switch {
	case p.forecast <= p.slack:
	case waited <= p.slack:
		r.startedInTime++
	default:
		r.startedLate++
	}
}

// pendingStart is the forecast of an accepted job that has not started.
type pendingStart struct {
	queue string
	at    time.Time
	// forecast is the expected wait without the excess of its queue, slack the longest wait with which the job is in time.
	forecast, slack time.Duration
	// judged is set once the slack has passed.
	judged bool
}

// Start is the first start of a job whose wait was forecast.
type Start struct {
	Queue string
	// Error is the forecast less the actual wait.
	Error time.Duration
}

// Started records the first start of a job. It returns false if there was no forecast.
func (c *Controller) Started(now time.Time, id job.ID) (s Start, known bool) {
	p, known := c.pending[id]
	if !known {
		return Start{}, false
	}
	delete(c.pending, id)
	waited := now.Sub(p.at)
	if !p.judged {
		c.record(now, p.queue).observe(now, p, waited, true)
	}
	return Start{Queue: p.queue, Error: p.forecast - waited}, true
}

// expect remembers the forecast of an accepted job.
func (c *Controller) expect(now time.Time, j Job, forecast, slack time.Duration) {
	c.record(now, j.Queue).probedAt = now
	if len(c.pending) < maxPending {
		c.pending[j.ID] = pendingStart{queue: j.Queue, at: now, forecast: forecast, slack: slack}
	}
}

// judgePending counts the jobs that have waited longer than their slack as late, and forgets those that
// have not started for maxWait.
func (c *Controller) judgePending(now time.Time) {
	maps.DeleteFunc(c.pending, func(_ job.ID, p pendingStart) bool { return now.Sub(p.at) > maxWait })
	// The mean error depends on the order of the observations.
	for id, p := range sortedWhere(c.pending, func(p pendingStart) bool { return !p.judged && now.Sub(p.at) > p.slack }) {
		c.record(now, p.queue).observe(now, p, now.Sub(p.at), false)
		p.judged = true
		c.pending[id] = p
	}
}

// sortedWhere returns the entries of a map for which a function returns true, in the order of their
// jobs. The entries may be changed or deleted meanwhile.
func sortedWhere[V any](all map[job.ID]V, match func(V) bool) iter.Seq2[job.ID, V] {
	found := map[job.ID]V{}
	for id, v := range all {
		if match(v) {
			found[id] = v
		}
	}
	return ordered.Map(found)
}

// record returns the record of a queue as of now.
func (c *Controller) record(now time.Time, queue string) *record {
	r := c.records[queue]
	if r == nil {
		r = &record{at: now, probedAt: now}
		c.records[queue] = r
	}
	r.age(now)
	return r
}
