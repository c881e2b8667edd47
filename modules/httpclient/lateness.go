// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpclient

import (
	"sync"
	"time"
)

const (
	// slowFactor is the factor by which the latest of recent answers of an address is
	// multiplied to get the lateness allowed for it. Without it, each call to a service that
	// has become slow would be made twice, which would slow it down further.
	slowFactor = 2
	// latenessWindow is how long an answer counts as recent; it counts for at most twice as
	// long. Services are slow for seconds at a time.
	latenessWindow = 10 * time.Second
)

// latenessTracker records how late the answers of slow addresses are.
type latenessTracker struct {
	// minAllowed is the lateness allowed for any answer.
	minAllowed time.Duration

	mu sync.Mutex
	// slow holds the addresses with a recent late answer.
	slow map[string]*recentLateness
}

// recentLateness is the maximum lateness of answers in the current window of length
// latenessWindow, which began at since, and in the previous one.
type recentLateness struct {
	since             time.Time
	current, previous time.Duration
}

func newLatenessTracker(minAllowed time.Duration) *latenessTracker {
	return &latenessTracker{minAllowed: minAllowed, slow: map[string]*recentLateness{}}
}

// allowed returns how late an answer of an address may be.
func (p *latenessTracker) allowed(now time.Time, address string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.slow[address]
	if l == nil {
		return p.minAllowed
	}
	l.advance(now)
	if l.current == 0 && l.previous == 0 {
		delete(p.slow, address)
	}
	return max(p.minAllowed, slowFactor*max(l.current, l.previous))
}

// recordAnswer records how late an answer was. It ignores a lateness that would not change the
// result of allowed.
func (p *latenessTracker) recordAnswer(now time.Time, address string, late time.Duration) {
	if slowFactor*late <= p.minAllowed {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.slow[address]
	if l == nil {
		l = &recentLateness{since: now}
		p.slow[address] = l
	}
	l.advance(now)
	l.current = max(l.current, late)
}

// advance begins a new window if the current one is over.
func (l *recentLateness) advance(now time.Time) {
	switch windows := now.Sub(l.since) / latenessWindow; {
	case windows <= 0:
	case windows == 1:
		l.since, l.previous, l.current = now, l.current, 0
	default:
		l.since, l.previous, l.current = now, 0, 0
	}
}
