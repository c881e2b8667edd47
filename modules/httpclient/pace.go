// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpclient

import (
	"sync"
	"time"
)

const (
	// slowFactor times the latest of recent answers is what an answer of the same
	// address may take, so that a service that has become slow is not asked twice for
	// each call, which would make it slower still.
	slowFactor = 2
	// latenessWindow is how long an answer counts as recent; it counts at most twice as long.
	// Services are slow for seconds at a time.
	latenessWindow = 10 * time.Second
)

// latenessTracker knows how late answers are of addresses that are slow.
type latenessTracker struct {
	// least is how late any answer may be.
	minAllowed time.Duration

	mu sync.Mutex
	// slow has the addresses with a recent answer that was late.
	slow map[string]*recentLateness
}

// recentLateness is how late the latest answers were in this span of latenessWindow and the last.
type recentLateness struct {
	since             time.Time
	current, previous time.Duration
}

func newLatenessTracker(least time.Duration) *latenessTracker {
	return &latenessTracker{minAllowed: least, slow: map[string]*recentLateness{}}
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

// recordAnswer notes how late an answer was. Those that change nothing are not kept.
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

// advance begins a new span if this one is over.
func (l *recentLateness) advance(now time.Time) {
	switch spans := now.Sub(l.since) / latenessWindow; {
	case spans <= 0:
	case spans == 1:
		l.since, l.previous, l.current = now, l.current, 0
	default:
		l.since, l.previous, l.current = now, 0, 0
	}
}
