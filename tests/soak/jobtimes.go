// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"time"

	"saddlevane/models/job"
)

// jobTimes records when a job was submitted and accepted, and how long it took.
type jobTimes struct {
	id          job.ID
	submittedAt time.Time
	// acceptedAt is when the caller received the acceptance; zero before that.
	acceptedAt time.Time
	// minDuration is the total run time of the job's steps.
	minDuration time.Duration
	// duration is the time from submission until the caller saw the end; 0 before that.
	duration time.Duration
}

// promptMargin is how much longer than minDuration a promptly served job may take. Each step
// needs advice, a start and a report of its end, but none of these calls may take the whole
// timeout of a caller.
const promptMargin = CallTimeout

// recordSubmitted records that a job is submitted now; each of its steps takes work.
func (c *Callers) recordSubmitted(s job.Submission, stepDuration time.Duration) *jobTimes {
	t := &jobTimes{id: s.ID, submittedAt: time.Now(), minDuration: time.Duration(len(s.Steps)) * stepDuration}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.times = append(c.times, t)
	return t
}

// recordAccepted records that a job is accepted now.
func (c *Callers) recordAccepted(t *jobTimes) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.acceptedAt = time.Now()
}

// recordEnded records that the end of a job is seen now.
func (c *Callers) recordEnded(t *jobTimes) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.duration = time.Since(t.submittedAt)
}

// PromptShare returns the share of promptly served jobs among those submitted in [from, to),
// and the number of jobs submitted then.
func (c *Callers) PromptShare(from, to time.Time) (share float64, jobs int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	prompt := 0
	for _, t := range c.times {
		if t.submittedAt.Before(from) || !t.submittedAt.Before(to) {
			continue
		}
		jobs++
		if t.duration > 0 && t.duration < t.minDuration+promptMargin {
			prompt++
		}
	}
	return float64(prompt) / float64(max(1, jobs)), jobs
}

// LateJobs returns the jobs that were accepted before acceptedBefore and had not ended at the
// time at.
func (c *Callers) LateJobs(acceptedBefore, at time.Time) []job.ID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var late []job.ID
	for _, t := range c.times {
		if !t.acceptedAt.IsZero() && t.acceptedAt.Before(acceptedBefore) && (t.duration == 0 || t.submittedAt.Add(t.duration).After(at)) {
			late = append(late, t.id)
		}
	}
	return late
}
