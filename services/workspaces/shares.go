// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package workspaces

import (
	"math"
	"time"

	"saddlevane/models/workspace"
)

// ShareLimiter determines which jobs exceed the share of their workspace. It has a token bucket for
// each workspace, which is refilled at the workspace's weight, in jobs per second, and holds the
// tokens of one window.
type ShareLimiter struct {
	window  time.Duration
	buckets map[string]*bucket
}

// bucket is the token bucket of one workspace, as of the time at.
type bucket struct {
	tokens float64
	at     time.Time
}

// minBurst is the number of jobs that any workspace may submit at once.
const minBurst = 2.0

// NewShareLimiter returns a limiter with full buckets, so that each workspace may submit the jobs
// of one window at once.
func NewShareLimiter(window time.Duration) *ShareLimiter {
	return &ShareLimiter{window: window, buckets: map[string]*bucket{}}
}

// TakeToken takes a token for a new job of a workspace. It returns false if the job exceeds the
// share.
func (s *ShareLimiter) TakeToken(now time.Time, w workspace.Workspace) bool {
	b := s.refill(now, w)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// TimeToToken returns how long it takes until another job of a workspace is within its share. It is
// 0 if one is already, or if the workspace has no weight.
func (s *ShareLimiter) TimeToToken(now time.Time, w workspace.Workspace) time.Duration {
	b := s.refill(now, w)
	if b.tokens >= 1 || w.Weight <= 0 {
		return 0
	}
	return time.Duration((1 - b.tokens) / w.Weight * float64(time.Second))
}

// refill adds the tokens gained since the last call and returns the bucket of a workspace. If the
// clock was set back, none are added.
func (s *ShareLimiter) refill(now time.Time, w workspace.Workspace) *bucket {
	capacity := math.Max(minBurst, w.Weight*s.window.Seconds())
	b := s.buckets[w.Name]
	if b == nil {
		b = &bucket{tokens: capacity, at: now}
		s.buckets[w.Name] = b
	}
	passed := math.Max(0, now.Sub(b.at).Seconds())
	b.tokens = math.Min(capacity, b.tokens+w.Weight*passed)
	b.at = now
	return b
}
