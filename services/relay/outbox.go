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
	// minBatchInterval is the minimum time between two batches to one box; the first is sent
	// at once. It limits the messages to 50 per second and direction for each relay.
	minBatchInterval = 20 * time.Millisecond
	// sendTimeout is the timeout for sending a batch. An unresponsive link is closed earlier.
	sendTimeout = time.Second
	// maxQueued is the maximum number of items that wait for one box. It exceeds what 48
	// workers need during the second that sending a batch may take. Further items are
	// refused at once.
	maxQueued = 4096
)

// outbox collects the items for one box and sends one batch at a time, so that batches over
// a slow link become larger instead of more frequent.
type outbox[T any] struct {
	box  claim.Member
	now  func() time.Time
	send func(ctx context.Context, box claim.Member, items []T) DeliveryStatus
	// onFailure is called with the items of a batch that was not confirmed.
	onFailure func(items []T, status DeliveryStatus)

	mu       sync.Mutex
	items    []T
	flushing bool
	sentAt   time.Time
}

// add queues an item for the next batch. If no goroutine sends batches, it starts one in
// goroutines. It returns false if the queue is full.
func (o *outbox[T]) add(ctx context.Context, goroutines *conc.WaitGroup, item T) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.items) >= maxQueued {
		return false
	}
	o.items = append(o.items, item)
	if !o.flushing {
		o.flushing = true
		goroutines.Go(func() { o.flush(ctx) })
	}
	return true
}

// flush sends batches until the queue is empty.
func (o *outbox[T]) flush(ctx context.Context) {
	for {
		o.waitInterval(ctx)
		items := o.takeBatch()
		if len(items) == 0 {
			return
		}
		sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
		status := o.send(sendCtx, o.box, items)
		cancel()
		if status != Delivered {
			o.onFailure(items, status)
			// The queued items would only wait for the same link.
			o.onFailure(o.drain(), NotSent)
		}
	}
}

// drain empties the queue and returns its items.
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

// takeBatch empties the queue and returns its items as the next batch. If there are none, it
// marks flush as ended.
func (o *outbox[T]) takeBatch() []T {
	o.mu.Lock()
	defer o.mu.Unlock()
	items := o.items
	o.items = nil
	o.flushing = len(items) > 0
	o.sentAt = o.now()
	return items
}
