// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"time"

	"saddlevane/models/job"
)

// times tells how long a job took.
type times struct {
	id       job.ID
	handedIn time.Time
	// accepted is when that was told, zero before.
	accepted time.Time
	// atBest is the least that it takes.
	atBest time.Duration
	// took is the time until its end was seen, 0 before.
	took time.Duration
}

// promptWithin is how much longer than at best a job takes that is served promptly:
// each of its steps is advised, started and seen to end, but no call for it takes a
// caller's whole time.
const promptWithin = CallWithin

// handsIn notes that a job is handed in now, of which each task works for some time.
func (c *Callers) handsIn(s job.Submission, work time.Duration) *times {
	t := &times{id: s.ID, handedIn: time.Now(), atBest: time.Duration(len(s.Steps)) * work}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.times = append(c.times, t)
	return t
}

// isAccepted notes that a job is accepted now.
func (c *Callers) isAccepted(t *times) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.accepted = time.Now()
}

// hasEnded notes that a job is no longer watched.
func (c *Callers) hasEnded(t *times) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.took = time.Since(t.handedIn)
}

// Prompt returns how many of the jobs that were handed in from one time to another
// were served promptly, as a share, and how many there were.
func (c *Callers) Prompt(from, to time.Time) (share float64, jobs int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	prompt := 0
	for _, t := range c.times {
		if t.handedIn.Before(from) || !t.handedIn.Before(to) {
			continue
		}
		jobs++
		if t.took > 0 && t.took < t.atBest+promptWithin {
			prompt++
		}
	}
	return float64(prompt) / float64(max(1, jobs)), jobs
}

// Late returns the jobs that were accepted before some time and had not ended at
// another.
func (c *Callers) Late(accepted, at time.Time) []job.ID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var late []job.ID
	for _, t := range c.times {
		if !t.accepted.IsZero() && t.accepted.Before(accepted) && (t.took == 0 || t.handedIn.Add(t.took).After(at)) {
			late = append(late, t.id)
		}
	}
	return late
}
