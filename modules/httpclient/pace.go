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
	// paceFor is how long an answer counts as recent; it counts at most twice as long.
	// Services are slow for seconds at a time.
	paceFor = 10 * time.Second
)

// pace knows how late answers are of addresses that are slow.
type pace struct {
	// least is how late any answer may be.
	least time.Duration

	mu sync.Mutex
	// slow has the addresses with a recent answer that was late.
	slow map[string]*lateness
}

// lateness is how late the latest answers were in this span of paceFor and the last.
type lateness struct {
	since      time.Time
	this, last time.Duration
}

func newPace(least time.Duration) *pace {
	return &pace{least: least, slow: map[string]*lateness{}}
}

// allowed returns how late an answer of an address may be.
func (p *pace) allowed(now time.Time, address string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.slow[address]
	if l == nil {
		return p.least
	}
	l.pass(now)
	if l.this == 0 && l.last == 0 {
		delete(p.slow, address)
	}
	return max(p.least, slowFactor*max(l.this, l.last))
}

// answered notes how late an answer was. Those that change nothing are not kept.
func (p *pace) answered(now time.Time, address string, late time.Duration) {
	if slowFactor*late <= p.least {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.slow[address]
	if l == nil {
		l = &lateness{since: now}
		p.slow[address] = l
	}
	l.pass(now)
	l.this = max(l.this, late)
}

// pass begins a new span if this one is over.
func (l *lateness) pass(now time.Time) {
	switch spans := now.Sub(l.since) / paceFor; {
	case spans <= 0:
	case spans == 1:
		l.since, l.last, l.this = now, l.this, 0
	default:
		l.since, l.last, l.this = now, 0, 0
	}
}
