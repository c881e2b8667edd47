// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package workspaces

import (
	"math"
	"time"

	"saddlevane/models/workspace"
)

// ShareLimiter tells which jobs are beyond the share of their workspace: a token bucket each, that
// is filled by its weight and holds what it is owed in the window.
type ShareLimiter struct {
	window  time.Duration
	buckets map[string]*bucket
}

type bucket struct {
	tokens float64
	at     time.Time
}

// minBurst is how many jobs any workspace may send at once.
const minBurst = 2.0

// NewShareLimiter returns shares by which no job has come yet. A workspace may send what it is owed
// in the window at once.
func NewShareLimiter(window time.Duration) *ShareLimiter {
	return &ShareLimiter{window: window, buckets: map[string]*bucket{}}
}

// TakeToken takes a new job of a workspace, and says whether it is within its share.
func (s *ShareLimiter) TakeToken(now time.Time, w workspace.Workspace) bool {
	b := s.refill(now, w)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// TimeToToken returns after what time a job of a workspace is within its share.
func (s *ShareLimiter) TimeToToken(now time.Time, w workspace.Workspace) time.Duration {
	b := s.refill(now, w)
	if b.tokens >= 1 || w.Weight <= 0 {
		return 0
	}
	return time.Duration((1 - b.tokens) / w.Weight * float64(time.Second))
}

// refill returns the bucket of a workspace as it is at now. A clock that goes back fills
// nothing.
func (s *ShareLimiter) refill(now time.Time, w workspace.Workspace) *bucket {
	most := math.Max(minBurst, w.Weight*s.window.Seconds())
	b := s.buckets[w.Name]
	if b == nil {
		b = &bucket{tokens: most, at: now}
		s.buckets[w.Name] = b
	}
	passed := math.Max(0, now.Sub(b.at).Seconds())
	b.tokens = math.Min(most, b.tokens+w.Weight*passed)
	b.at = now
	return b
}
