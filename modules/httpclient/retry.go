// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpclient

import (
	"context"
	"net/http"
	"time"
)

// Retry describes how a call may be retried.
type Retry struct {
	// Expected is how long the answer should take apart from the transmission, such as the time
	// for which a read waits.
	Expected time.Duration
	// ModifyRetry, if set, changes the second request before it is sent: a read that has
	// already waited need not wait again.
	ModifyRetry func(*http.Request)
	// Serialized states that the service serves this process's calls one at a time, including
	// those that were abandoned. Such a call is retried only if it is the oldest call in
	// progress and nothing at all was received from the service since it was sent; otherwise it
	// may still be queued. Once it is answered, the others are retried as well.
	Serialized bool
}

// retryKey is the context key of a Retry.
type retryKey struct{}

// WithRetry marks the calls made with the returned context as retryable: making such a call
// twice, at once or one after the other, must have the same effect as making it once. The
// answer to the second request does not tell whether the first one was served.
func WithRetry(ctx context.Context, r Retry) context.Context {
	return context.WithValue(ctx, retryKey{}, r)
}

// retryOf returns how a call may be retried, and whether it may: it must be marked by WithRetry
// and its body must be readable twice.
func retryOf(req *http.Request) (Retry, bool) {
	r, ok := req.Context().Value(retryKey{}).(Retry)
	return r, ok && (req.Body == nil || req.Body == http.NoBody || req.GetBody != nil)
}

// AnsweredOn is the connection on which a retried call was answered.
type AnsweredOn string

// The connections: that of the first try, that of the second try, or neither.
const (
	OnOld     AnsweredOn = "old"
	OnNew     AnsweredOn = "new"
	OnNeither AnsweredOn = "neither"
)

// RetriedCall describes a call that was retried.
type RetriedCall struct {
	// To names the service, Address is its address, and Call the path.
	To, Address, Call string
	AnsweredOn        AnsweredOn
	// Took is the total duration of the call.
	Took time.Duration
}

// overdueAfterKey is the context key of the duration set by WithOverdueAfter.
type overdueAfterKey struct{}

// WithOverdueAfter marks the calls made with the returned context as overdue after some time. A
// late answer still counts as long as the context lasts. It is for calls that must not be
// retried.
func WithOverdueAfter(ctx context.Context, after time.Duration) context.Context {
	return context.WithValue(ctx, overdueAfterKey{}, after)
}

// OverdueAfter returns the duration set by WithOverdueAfter, and whether one is set.
func OverdueAfter(ctx context.Context) (time.Duration, bool) {
	after, ok := ctx.Value(overdueAfterKey{}).(time.Duration)
	return after, ok
}
