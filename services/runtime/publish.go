// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package runtime

import (
	"context"
	"sync"
	"time"

	"saddlevane/models/effect"
	"saddlevane/models/event"
	"saddlevane/models/record"
)

// publishWaiters are operators who wait for the log's decision.
type publishWaiters struct {
	mu      *sync.Mutex
	next    *uint64
	waiting map[uint64]chan effect.PublishResult
}

func newPublishers() publishWaiters {
	return publishWaiters{mu: &sync.Mutex{}, next: new(uint64), waiting: map[uint64]chan effect.PublishResult{}}
}

func (p publishWaiters) add() (uint64, chan effect.PublishResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*p.next++
	result := make(chan effect.PublishResult, 1)
	p.waiting[*p.next] = result
	return *p.next, result
}

func (p publishWaiters) remove(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

func (p publishWaiters) answer(e effect.AnswerPublish) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if result, ok := p.waiting[e.Waiter]; ok {
		result <- e.Result
		delete(p.waiting, e.Waiter)
	}
}

// Publish asks for a file to come into force and waits for the log's decision,
// at most for patience.
func (l *Loop) Publish(ctx context.Context, p record.Publish, patience time.Duration) effect.PublishResult {
	p.Parse()
	id, result := l.publishers.add()
	defer l.publishers.remove(id)
	l.Post(event.PublishAsked{Waiter: id, Publish: p, Timeout: patience})
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	return effect.PublishResult{Outcome: effect.Unknown, Reasons: []string{"the answer was not waited for"}}
}
