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

// sharedLink is a link to a box, open or being opened, that all callers of that box share.
type sharedLink struct {
	// startedAt is when dialing began.
	startedAt time.Time
	// done is closed once link or err is set.
	done chan struct{}
	link *link
	err  error
}

// wait waits until the link is open. It returns an error if it could not be opened or ctx ends.
func (s *sharedLink) wait(ctx context.Context) error {
	select {
	case <-s.done:
		return s.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// hasEnded reports whether dialing has failed or the link is closed.
func (s *sharedLink) hasEnded() bool {
	select {
	case <-s.done:
		return s.err != nil || s.link.isClosed()
	default:
		return false
	}
}

// indicatesBoxFailure reports whether a call that began at began and is not answered by now
// indicates a failure of the box rather than of an old connection: either no connection could
// be opened for it, or nothing was ever received on the connection for at least minWait.
func (s *sharedLink) indicatesBoxFailure(now, began time.Time, minWait time.Duration) bool {
	select {
	case <-s.done:
		if s.err != nil {
			return !s.startedAt.Before(began)
		}
		if s.link.hasReceived() {
			return false
		}
	default:
	}
	return now.Sub(ordered.Later(s.startedAt, began)) >= minWait
}

// errNotConnected means that no connection could be opened.
var errNotConnected = errors.New("not connected")

// errClosed means that the links of this box are closed.
var errClosed = fmt.Errorf("%w: the links are closed", errNotConnected)

// linkTo returns the link to an address and dials one if there is none. Dialing is limited by
// DialTimeout and not by the context of the first caller.
func (l *Links) linkTo(address string) *sharedLink {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.newest[address]; s != nil && !s.hasEnded() {
		return s
	}
	s := &sharedLink{startedAt: l.settings.Now(), done: make(chan struct{})}
	if l.closed {
		s.err = errClosed
		close(s.done)
		return s
	}
	l.newest[address] = s
	l.wg.Go(func() { l.dial(address, s) })
	return s
}

// dial opens the connection of s and sets its result.
func (l *Links) dial(address string, s *sharedLink) {
	defer close(s.done)
	raw, err := l.dialer.DialContext(l.ctx, "tcp", address)
	if err != nil {
		s.err = fmt.Errorf("%w: %w", errNotConnected, err)
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.newest, address)
		return
	}
	s.link = l.addLink(address, raw)
}
