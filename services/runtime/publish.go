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

// publishWaiters holds the calls of Publish that wait for the decision about their file.
type publishWaiters struct {
	mu      *sync.Mutex
	next    *uint64
	waiting map[uint64]chan effect.PublishResult
}

func newPublishWaiters() publishWaiters {
	return publishWaiters{mu: &sync.Mutex{}, next: new(uint64), waiting: map[uint64]chan effect.PublishResult{}}
}

// add registers a call and returns its ID and the channel that receives its result.
func (p publishWaiters) add() (uint64, chan effect.PublishResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*p.next++
	result := make(chan effect.PublishResult, 1)
	p.waiting[*p.next] = result
	return *p.next, result
}

// remove removes a call that no longer waits.
func (p publishWaiters) remove(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

// answer sends a result to the call that waits for it, if there still is one.
func (p publishWaiters) answer(e effect.AnswerPublish) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if result, ok := p.waiting[e.Waiter]; ok {
		result <- e.Result
		delete(p.waiting, e.Waiter)
	}
}

// Publish requests that a file be put into force and waits for the decision until timeout has
// passed. The outcome is effect.Unknown if ctx or the loop ends first.
func (l *Loop) Publish(ctx context.Context, p record.Publish, timeout time.Duration) effect.PublishResult {
	p.Parse()
	id, result := l.publishWaiters.add()
	defer l.publishWaiters.remove(id)
	l.Post(event.PublishAsked{Waiter: id, Publish: p, Timeout: timeout})
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	return effect.PublishResult{Outcome: effect.Unknown, Reasons: []string{"the call ended before the decision was known"}}
}
