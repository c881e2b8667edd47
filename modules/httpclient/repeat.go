// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpclient

import (
	"context"
	"net/http"
	"time"
)

// Retry says of a call that it may be made again, and how.
type Retry struct {
	// Expected is how long the answer should take beside its way, such as the time for
	// which a read waits.
	Expected time.Duration
	// Change, if set, alters the second request before it is made: a read that has
	// waited need not wait again.
	ModifyRetry func(*http.Request)
	// Serialized says that the service takes this process's calls one at a time and goes on
	// with those that were given up. Such a call is made again only if it is the first of
	// those under way and nothing at all has come from the service since it was made; else
	// its turn may not have come. If it is answered then, the others are made again too.
	Serialized bool
}

// retryKey is the key of a Repeat in a context.
type retryKey struct{}

// WithRetry says of the calls made with a context that each does no more if it is made
// twice, at once or one after the other. The answer to the second does not tell what
// became of the first.
func WithRetry(ctx context.Context, r Retry) context.Context {
	return context.WithValue(ctx, retryKey{}, r)
}

// retryOf returns how a call may be made again, if it may and its body can be had twice.
func retryOf(req *http.Request) (Retry, bool) {
	r, ok := req.Context().Value(retryKey{}).(Retry)
	return r, ok && (req.Body == nil || req.Body == http.NoBody || req.GetBody != nil)
}

// AnsweredOn says on which connection a call that was made again was answered.
type AnsweredOn string

// The connections: that of the first try, that of the second, or neither.
const (
	OnOld     AnsweredOn = "old"
	OnNew     AnsweredOn = "new"
	OnNeither AnsweredOn = "neither"
)

// RetriedCall tells of a call that was made again.
type RetriedCall struct {
	// To is what was called, Address where, and Call the path.
	To, Address, Call string
	AnsweredOn        AnsweredOn
	// Took is how long it took in all.
	Took time.Duration
}

// overdueAfterKey is the key in a context of when a call is overdue.
type overdueAfterKey struct{}

// WithOverdueAfter says of the calls made with a context that each is overdue after some time,
// though its answer still counts as long as the context lasts. It is for calls that may
// not be made again.
func WithOverdueAfter(ctx context.Context, after time.Duration) context.Context {
	return context.WithValue(ctx, overdueAfterKey{}, after)
}

// OverdueAfter returns after which time the calls made with a context are overdue, if that
// is before their end.
func OverdueAfter(ctx context.Context) (time.Duration, bool) {
	after, ok := ctx.Value(overdueAfterKey{}).(time.Duration)
	return after, ok
}
