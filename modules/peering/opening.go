// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peering

import (
	"context"
	"errors"
	"fmt"
	"time"

	"saddlevane/modules/ordered"
)

// sharedLink is a connection to a box, or the opening of one, which all callers of that
// box share.
type sharedLink struct {
	// began is when the opening began.
	startedAt time.Time
	// done is closed once link or err is set.
	done chan struct{}
	link *link
	err  error
}

// wait waits until the connection is open. An error means that nobody was reached.
func (o *sharedLink) wait(ctx context.Context) error {
	select {
	case <-o.done:
		return o.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// hasEnded says whether the opening has failed or its connection has ended.
func (o *sharedLink) hasEnded() bool {
	select {
	case <-o.done:
		return o.err != nil || o.link.isClosed()
	default:
		return false
	}
}

// indicatesBoxFailure says whether a call that began at some time and has no answer by now tells of the
// box, and not of an old connection that is dead: if a connection could not be opened for
// it, or nothing has ever come over one that had time enough.
func (o *sharedLink) indicatesBoxFailure(now, began time.Time, enough time.Duration) bool {
	select {
	case <-o.done:
		if o.err != nil {
			return !o.startedAt.Before(began)
		}
		if o.link.hasReceived() {
			return false
		}
	default:
	}
	return now.Sub(ordered.Later(o.startedAt, began)) >= enough
}

// errNotConnected means that no connection could be opened.
var errNotConnected = errors.New("not reached")

// errClosed means that the links of this box are closed.
var errClosed = fmt.Errorf("%w: the links are closed", errNotConnected)

// linkTo returns the connection to an address. It opens one if there is none, within
// the time that the settings allow, whatever its first caller waits.
func (l *Links) linkTo(address string) *sharedLink {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.newest[address]; o != nil && !o.hasEnded() {
		return o
	}
	o := &sharedLink{startedAt: l.settings.Now(), done: make(chan struct{})}
	if l.closed {
		o.err = errClosed
		close(o.done)
		return o
	}
	l.newest[address] = o
	l.wg.Go(func() { l.dial(address, o) })
	return o
}

// dial opens a connection.
func (l *Links) dial(address string, o *sharedLink) {
	defer close(o.done)
	raw, err := l.dialer.DialContext(l.ctx, "tcp", address)
	if err != nil {
		o.err = fmt.Errorf("%w: %w", errNotConnected, err)
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.newest, address)
		return
	}
	o.link = l.addLink(address, raw)
}
