// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"sync"
	"time"

	"saddlevane/models/claim"
	"saddlevane/modules/clock"

	"github.com/sourcegraph/conc"
)

const (
	// minBatchInterval is the least time between two batches to one box. The first goes at once.
	// It bounds the messages to 50 a second each way for each relay.
	minBatchInterval = 20 * time.Millisecond
	// sendTimeout bounds the sending of a batch. A link that is silent is given up sooner.
	sendTimeout = time.Second
	// maxQueued bounds what waits for one box: what more than 48 workers need in the
	// second that a batch may take. What comes after that is refused at once.
	maxQueued = 4096
)

// outbox gathers what goes to one box and sends one batch at a time, so that a link that
// is slow gets larger batches and not more of them.
type outbox[T any] struct {
	box  claim.Member
	now  func() time.Time
	send func(ctx context.Context, box claim.Member, items []T) DeliveryStatus
	// lost is told of the items of a batch that did not surely arrive.
	onFailure func(items []T, f DeliveryStatus)

	mu       sync.Mutex
	items    []T
	flushing bool
	sentAt   time.Time
}

// add has an item sent with the next batch. It returns false if too much waits.
func (o *outbox[T]) add(ctx context.Context, tasks *conc.WaitGroup, item T) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.items) >= maxQueued {
		return false
	}
	o.items = append(o.items, item)
	if !o.flushing {
		o.flushing = true
		tasks.Go(func() { o.flush(ctx) })
	}
	return true
}

// flush sends batches until nothing waits.
func (o *outbox[T]) flush(ctx context.Context) {
	for {
		o.waitInterval(ctx)
		items := o.takeBatch()
		if len(items) == 0 {
			return
		}
		within, cancel := context.WithTimeout(ctx, sendTimeout)
		fate := o.send(within, o.box, items)
		cancel()
		if fate != Delivered {
			o.onFailure(items, fate)
			// What waits would only wait for the same link.
			o.onFailure(o.drain(), NotSent)
		}
	}
}

// drain returns what waits.
func (o *outbox[T]) drain() []T {
	o.mu.Lock()
	defer o.mu.Unlock()
	items := o.items
	o.items = nil
	return items
}

// waitInterval waits until the next batch may be sent.
func (o *outbox[T]) waitInterval(ctx context.Context) {
	clock.Wait(ctx, minBatchInterval-o.now().Sub(o.sentAt))
}

// takeBatch returns what waits, or ends the flushing.
func (o *outbox[T]) takeBatch() []T {
	o.mu.Lock()
	defer o.mu.Unlock()
	items := o.items
	o.items = nil
	o.flushing = len(items) > 0
	o.sentAt = o.now()
	return items
}
