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
	// Params are sent with the call, and the answer is decoded into Result.
	Params, Result any
	// Idempotent says that serving the call twice does no more than serving it once. It
	// is then made again, on a new connection, if its connection is lost.
	Idempotent bool
	// Urgent has its link probed at once, so that a silent one costs the call no more
	// than the bound on the probe's answer.
	Urgent bool
}

// NoAnswerError means that a box has not answered a call.
type NoAnswerError struct {
	Address, Method string
	// Sent says that the call may have arrived. Without it nothing was done.
	Sent bool
	// BoxUnresponsive says that this tells of the box and not of an old connection that is dead: no
	// connection could be opened, or nothing has ever come over the last one, though it
	// had the usual time of an answer.
	BoxUnresponsive bool
	// Err is why the last try has failed.
	Err error
}

// Error returns which call had no answer, and why.
func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("entry box %s: %s: no answer: %v", e.Address, e.Method, e.Err)
}

// Unwrap returns why the last try has failed.
func (e *NoAnswerError) Unwrap() error { return e.Err }

// maxAttempts bounds how often a call is made whose connections are lost: another is had
// in a few milliseconds, and a second loss in a row is rare.
const maxAttempts = 4

// Call calls the box at an address. repeated says that an earlier try of the call may
// have been served besides, so that an answer that refuses it tells of the last try
// only. An error is a NoAnswerError, or else what the box has answered.
func (l *Links) Call(ctx context.Context, address string, c Call) (repeated bool, err error) {
	began := l.settings.Now()
	failed := &NoAnswerError{Address: address, Method: c.Method}
	for tries := 1; ; tries++ {
		o := l.linkTo(address)
		sent, err := o.call(ctx, c)
		if err == nil {
			return failed.Sent, nil
		}
		if !isNoAnswer(err) {
			return failed.Sent, fmt.Errorf("entry box %s: %s: %w", address, c.Method, err)
		}
		failed.Sent = failed.Sent || sent
		failed.BoxUnresponsive, failed.Err = o.indicatesBoxFailure(l.settings.Now(), began, l.settings.AnswerTimeout), err
		if tries == maxAttempts || ctx.Err() != nil || !c.canRetry(failed) {
			return failed.Sent, failed
		}
	}
}

// canRetry says whether a call that has failed may be made again: if it has not
// arrived, or does no harm twice, and the box was not found to be out of reach.
func (c Call) canRetry(failed *NoAnswerError) bool {
	unreached := failed.BoxUnresponsive && errors.Is(failed.Err, errNotConnected)
	return !unreached && (c.Idempotent || !failed.Sent)
}

// isNoAnswer says whether an error means that there was no answer.
func isNoAnswer(err error) bool {
	for _, target := range []error{errNotConnected, jsonrpc2.ErrClosed, context.DeadlineExceeded, context.Canceled} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// call makes one call once the connection is open.
func (o *sharedLink) call(ctx context.Context, c Call) (sent bool, err error) {
	if err := o.wait(ctx); err != nil {
		return false, err
	}
	return o.link.call(ctx, c)
}
