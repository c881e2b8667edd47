// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peering

import (
	"context"
	"errors"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"
)

// Call is a call to another box.
type Call struct {
	Method string
	// Params are sent with the call; the answer is decoded into Result.
	Params, Result any
	// Idempotent states that serving the call twice has the same effect as serving it once. If
	// its connection is lost, it is retried on a new connection.
	Idempotent bool
	// Urgent has the link probed at once, so that a silent link delays the call by no more than
	// the timeout of the probe.
	Urgent bool
}

// NoAnswerError is returned for a call that was not answered.
type NoAnswerError struct {
	Address, Method string
	// Sent reports that the call may have arrived. If it is false, the call was not served.
	Sent bool
	// BoxUnresponsive reports that the box itself failed to respond, as opposed to an old dead
	// connection: no connection could be opened, or nothing was ever received on the last one
	// within the usual time of an answer.
	BoxUnresponsive bool
	// Err is the error of the last attempt.
	Err error
}

// Error returns the address, the method and the cause.
func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("entry box %s: %s: no answer: %v", e.Address, e.Method, e.Err)
}

// Unwrap returns the error of the last attempt.
func (e *NoAnswerError) Unwrap() error { return e.Err }

// maxAttempts limits the attempts of a call whose connections are lost. A new connection takes
// a few milliseconds, and a second loss in a row is rare.
const maxAttempts = 4

// Call calls the box at address. repeated reports that an earlier attempt may have been served
// as well, so that an answer that refuses the call describes only the last attempt. The error
// is a NoAnswerError, or the error that the box returned.
func (l *Links) Call(ctx context.Context, address string, c Call) (repeated bool, err error) {
	began := l.settings.Now()
	failed := &NoAnswerError{Address: address, Method: c.Method}
	for tries := 1; ; tries++ {
		s := l.linkTo(address)
		sent, err := s.call(ctx, c)
		if err == nil {
			return failed.Sent, nil
		}
		if !isNoAnswer(err) {
			return failed.Sent, fmt.Errorf("entry box %s: %s: %w", address, c.Method, err)
		}
		failed.Sent = failed.Sent || sent
		failed.BoxUnresponsive, failed.Err = s.indicatesBoxFailure(l.settings.Now(), began, l.settings.AnswerTimeout), err
		if tries == maxAttempts || ctx.Err() != nil || !c.canRetry(failed) {
			return failed.Sent, failed
		}
	}
}

// canRetry reports whether a failed call may be retried: it has not arrived or is idempotent,
// and the box was not found to be unreachable.
func (c Call) canRetry(failed *NoAnswerError) bool {
	unreached := failed.BoxUnresponsive && errors.Is(failed.Err, errNotConnected)
	return !unreached && (c.Idempotent || !failed.Sent)
}

// isNoAnswer reports whether an error means that the call was not answered.
func isNoAnswer(err error) bool {
	for _, target := range []error{errNotConnected, jsonrpc2.ErrClosed, context.DeadlineExceeded, context.Canceled} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// call makes one attempt of a call once the connection is open. sent reports whether the call
// may have arrived.
func (s *sharedLink) call(ctx context.Context, c Call) (sent bool, err error) {
	if err := s.wait(ctx); err != nil {
		return false, err
	}
	return s.link.call(ctx, c)
}
