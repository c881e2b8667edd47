// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpclient

import (
	"context"
	"net/http"
	"time"
)

// Repeat says of a call that it may be made again, and how.
type Repeat struct {
	// Expected is how long the answer should take beside its way, such as the time for
	// which a read waits.
	Expected time.Duration
	// Change, if set, alters the second request before it is made: a read that has
	// waited need not wait again.
	Change func(*http.Request)
	// InTurn says that the service takes this process's calls one at a time and goes on
	// with those that were given up. Such a call is made again only if it is the first of
	// those under way and nothing at all has come from the service since it was made; else
	// its turn may not have come. If it is answered then, the others are made again too.
	InTurn bool
}

// repeatKey is the key of a Repeat in a context.
type repeatKey struct{}

// Repeatable says of the calls made with a context that each does no more if it is made
// twice, at once or one after the other. The answer to the second does not tell what
// became of the first.
func Repeatable(ctx context.Context, r Repeat) context.Context {
	return context.WithValue(ctx, repeatKey{}, r)
}

// repeatOf returns how a call may be made again, if it may and its body can be had twice.
func repeatOf(req *http.Request) (Repeat, bool) {
	r, ok := req.Context().Value(repeatKey{}).(Repeat)
	return r, ok && (req.Body == nil || req.Body == http.NoBody || req.GetBody != nil)
}

// Answered says on which connection a call that was made again was answered.
type Answered string

// The connections: that of the first try, that of the second, or neither.
const (
	OnOld     Answered = "old"
	OnNew     Answered = "new"
	OnNeither Answered = "neither"
)

// Again tells of a call that was made again.
type Again struct {
	// To is what was called, Address where, and Call the path.
	To, Address, Call string
	Answered          Answered
	// Took is how long it took in all.
	Took time.Duration
}

// overdueKey is the key in a context of when a call is overdue.
type overdueKey struct{}

// Overdue says of the calls made with a context that each is overdue after some time,
// though its answer still counts as long as the context lasts. It is for calls that may
// not be made again.
func Overdue(ctx context.Context, after time.Duration) context.Context {
	return context.WithValue(ctx, overdueKey{}, after)
}

// OverdueOf returns after which time the calls made with a context are overdue, if that
// is before their end.
func OverdueOf(ctx context.Context) (time.Duration, bool) {
	after, ok := ctx.Value(overdueKey{}).(time.Duration)
	return after, ok
}
