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
	// gather is the least time between two batches to one box. The first goes at once.
	// It bounds the messages to 50 a second each way for each relay.
	gather = 20 * time.Millisecond
	// sendWithin bounds the sending of a batch. A link that is silent is given up sooner.
	sendWithin = time.Second
	// mostQueued bounds what waits for one box: what more than 48 workers need in the
	// second that a batch may take. What comes after that is refused at once.
	mostQueued = 4096
)

// outbox gathers what goes to one box and sends one batch at a time, so that a link that
// is slow gets larger batches and not more of them.
type outbox[T any] struct {
	box  claim.Member
	now  func() time.Time
	send func(ctx context.Context, box claim.Member, items []T) Fate
	// lost is told of the items of a batch that did not surely arrive.
	lost func(items []T, f Fate)

	mu     sync.Mutex
	items  []T
	busy   bool
	sentAt time.Time
}

// add has an item sent with the next batch. It returns false if too much waits.
func (o *outbox[T]) add(ctx context.Context, tasks *conc.WaitGroup, item T) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.items) >= mostQueued {
		return false
	}
	o.items = append(o.items, item)
	if !o.busy {
		o.busy = true
		tasks.Go(func() { o.flush(ctx) })
	}
	return true
}

// flush sends batches until nothing waits.
func (o *outbox[T]) flush(ctx context.Context) {
	for {
		o.pause(ctx)
		items := o.take()
		if len(items) == 0 {
			return
		}
		within, cancel := context.WithTimeout(ctx, sendWithin)
		fate := o.send(within, o.box, items)
		cancel()
		if fate != Arrived {
			o.lost(items, fate)
			// What waits would only wait for the same link.
			o.lost(o.empty(), Unsent)
		}
	}
}

// empty returns what waits.
func (o *outbox[T]) empty() []T {
	o.mu.Lock()
	defer o.mu.Unlock()
	items := o.items
	o.items = nil
	return items
}

// pause waits until the next batch may be sent.
func (o *outbox[T]) pause(ctx context.Context) {
	clock.Wait(ctx, gather-o.now().Sub(o.sentAt))
}

// take returns what waits, or ends the flushing.
func (o *outbox[T]) take() []T {
	o.mu.Lock()
	defer o.mu.Unlock()
	items := o.items
	o.items = nil
	o.busy = len(items) > 0
	o.sentAt = o.now()
	return items
}
