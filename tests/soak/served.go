// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"time"

	"saddlevane/models/job"
)

// jobTimes tells how long a job took.
type jobTimes struct {
	id          job.ID
	submittedAt time.Time
	// accepted is when that was told, zero before.
	acceptedAt time.Time
	// minDuration is the least that it takes.
	minDuration time.Duration
	// took is the time until its end was seen, 0 before.
	duration time.Duration
}

// promptMargin is how much longer than at best a job takes that is served promptly:
// each of its steps is advised, started and seen to end, but no call for it takes a
// caller's whole time.
const promptMargin = CallTimeout

// recordSubmitted notes that a job is handed in now, of which each task works for some time.
func (c *Callers) recordSubmitted(s job.Submission, work time.Duration) *jobTimes {
	t := &jobTimes{id: s.ID, submittedAt: time.Now(), minDuration: time.Duration(len(s.Steps)) * work}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.times = append(c.times, t)
	return t
}

// recordAccepted notes that a job is accepted now.
func (c *Callers) recordAccepted(t *jobTimes) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.acceptedAt = time.Now()
}

// recordEnded notes that a job is no longer watched.
func (c *Callers) recordEnded(t *jobTimes) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.duration = time.Since(t.submittedAt)
}

// PromptShare returns how many of the jobs that were handed in from one time to another
// were served promptly, as a share, and how many there were.
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

// LateJobs returns the jobs that were accepted before some time and had not ended at
// another.
func (c *Callers) LateJobs(accepted, at time.Time) []job.ID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var late []job.ID
	for _, t := range c.times {
		if !t.acceptedAt.IsZero() && t.acceptedAt.Before(accepted) && (t.duration == 0 || t.submittedAt.Add(t.duration).After(at)) {
			late = append(late, t.id)
		}
	}
	return late
}
