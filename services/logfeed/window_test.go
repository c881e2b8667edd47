// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package logfeed_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"saddlevane/models/stream"
	"saddlevane/services/logfeed"

	"gotest.tools/v3/assert"
)

// page returns a page with n records up to the offset next.
func page(next int64, n int) stream.Page {
	p := stream.Page{Next: next}
	for i := range n {
		p.Records = append(p.Records, stream.Record{Key: "k", Value: []byte("v"), Offset: next - int64(n-i)})
	}
	return p
}

func TestWindowRepliesWithMissingRecords(t *testing.T) {
	for _, c := range []struct {
		name    string
		request logfeed.Request
		records int
		next    int64
		err     error
	}{
		{"nothing is new", logfeed.Request{Stream: stream.Claims, Next: 12}, 0, 12, nil},
		{"one record is new", logfeed.Request{Stream: stream.Claims, Next: 11}, 1, 12, nil},
		{"all kept records are new", logfeed.Request{Stream: stream.Claims, Next: 10}, 2, 12, nil},
		{"records are missing", logfeed.Request{Stream: stream.Claims, Next: 9}, 0, 0, logfeed.ErrBehind},
		{"the follower is ahead", logfeed.Request{Stream: stream.Claims, Next: 13}, 0, 13, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := logfeed.NewWindow(time.Now)
			w.RecordPage(page(10, 3), true, time.Now())
			w.RecordPage(page(12, 2), false, time.Now())
			reply, err := w.Wait(t.Context(), c.request)
			if c.err != nil {
				assert.ErrorIs(t, err, c.err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, len(reply.Records), c.records)
			assert.Equal(t, reply.Next, c.next)
			assert.NilError(t, reply.Check(c.request.Next))
		})
	}
}

func TestWindowWaitsForItsNextRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := logfeed.NewWindow(time.Now)
		w.RecordPage(page(10, 0), true, time.Now())
		first, err := w.Wait(t.Context(), logfeed.Request{Stream: stream.Config, Next: 10})
		assert.NilError(t, err)
		sentAt := time.Now()
		go func() {
			time.Sleep(time.Second)
			w.RecordPage(page(10, 0), false, time.Now().Add(-300*time.Millisecond))
		}()
		second, err := w.Wait(t.Context(), logfeed.Request{Stream: stream.Config, Next: 10, Seen: first.Seen})
		assert.NilError(t, err)
		requestedAt := second.RequestedAt(sentAt).Sub(sentAt)
		assert.Assert(t, requestedAt <= 700*time.Millisecond && requestedAt >= 690*time.Millisecond, "%v", requestedAt)
	})
}

// A reader that is paused after it has computed its reply, or whose reply is on its way for long, must
// not make its followers take the reported read for newer than it is.
func TestRequestTimeOfRelayedReadIsNeverLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := logfeed.NewWindow(time.Now)
		requestedAt := time.Now()
		time.Sleep(200 * time.Millisecond)
		w.RecordPage(page(10, 0), true, requestedAt)
		time.Sleep(500 * time.Millisecond)
		sentAt := time.Now()
		time.Sleep(100 * time.Millisecond)
		reply, err := w.Wait(t.Context(), logfeed.Request{Stream: stream.Config, Next: 10})
		assert.NilError(t, err)
		time.Sleep(3 * time.Second)
		assert.Assert(t, !reply.RequestedAt(sentAt).After(requestedAt))
	})
}

func TestWindowOfBoxThatDoesNotReadRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := logfeed.NewWindow(time.Now)
		request := logfeed.Request{Stream: stream.Config, Next: 10}
		_, err := w.Wait(t.Context(), request)
		assert.ErrorIs(t, err, logfeed.ErrNotReading)

		w.RecordPage(page(10, 0), true, time.Now())
		go func() {
			time.Sleep(time.Second)
			w.RecordFailure()
		}()
		_, err = w.Wait(t.Context(), logfeed.Request{Stream: stream.Config, Next: 10, Seen: 1})
		assert.ErrorIs(t, err, logfeed.ErrNotReading, "the log does not answer the reader")

		w.RecordPage(page(10, 0), true, time.Now())
		time.Sleep(time.Minute)
		_, err = w.Wait(t.Context(), request)
		assert.ErrorIs(t, err, logfeed.ErrNotReading, "the last read was long ago")

		w.RecordPage(page(10, 0), true, time.Now())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = w.Wait(ctx, logfeed.Request{Stream: stream.Config, Next: 10, Seen: 3})
		assert.ErrorIs(t, err, logfeed.ErrNotReading, "no read has ended in time")
	})
}

func TestWindowIsBounded(t *testing.T) {
	w := logfeed.NewWindow(time.Now)
	w.RecordPage(stream.Page{}, true, time.Now())
	for next := int64(1); next <= 2000; next++ {
		w.RecordPage(page(next, 1), false, time.Now())
	}
	_, err := w.Wait(t.Context(), logfeed.Request{Stream: stream.Claims, Next: 1000})
	assert.ErrorIs(t, err, logfeed.ErrBehind)
	reply, err := w.Wait(t.Context(), logfeed.Request{Stream: stream.Claims, Next: 1900})
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Records), 100)
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	for _, r := range []logfeed.Request{{Next: 1}, {Stream: stream.Claims, Next: -1}, {Stream: stream.Claims, Seen: -1}} {
		assert.Assert(t, r.Check() != nil)
	}
	good := logfeed.Reply{Records: page(12, 2).Records, Next: 12, Seen: 1}
	assert.NilError(t, good.Check(10))
	assert.Assert(t, good.Check(11) != nil, "a record before the requested offset")
	for _, r := range []logfeed.Reply{
		{Next: 9, Seen: 1},
		{Next: 12},
		{Next: 12, Seen: 1, Age: -1},
		{Next: 12, Seen: 1, Waited: -1},
		{Records: page(11, 2).Records, Next: 12, Seen: 1},
	} {
		assert.Assert(t, r.Check(10) != nil)
	}
}
