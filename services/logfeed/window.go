// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package logfeed

import (
	"context"
	"sync"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/stream"
)

const (
	// maxWindowRecords and maxWindowBytes bound the records that a Window keeps. A follower that is
	// further behind reads the log by itself.
	maxWindowRecords = 512
	maxWindowBytes   = 1 << 20
	// maxReadAge is how long the last read may be over for the box to count as a reader.
	maxReadAge = 4 * time.Second
)

// Window keeps what this box has read from one stream of the log lately. It is safe for concurrent
// use.
type Window struct {
	now func() time.Time

	mu sync.Mutex
	// records are consecutive records up to the offset next; size is the sum of their lengths.
	records []stream.Record
	size    int
	next    int64
	// reads counts the successful reads. requestedAt is when the last of them was requested, endedAt
	// when it ended; both are zero after a failure.
	reads                int64
	requestedAt, endedAt time.Time
	// changed is closed and replaced after each read.
	changed chan struct{}
}

// NewWindow returns a window of a stream that has not been read.
func NewWindow(now func() time.Time) *Window {
	return &Window{now: now, changed: make(chan struct{})}
}

// RecordPage adds the result of a read that was requested at requestedAt. The records of a whole page
// are not consecutive, so that none are kept.
func (w *Window) RecordPage(p stream.Page, whole bool, requestedAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if whole || p.Next-int64(len(p.Records)) != w.next {
		w.records, w.size = nil, 0
	}
	if !whole {
		w.append(p.Records)
	}
	w.next = p.Next
	w.reads++
	w.requestedAt, w.endedAt = requestedAt, w.now()
	w.wake()
}

// append adds records and drops the oldest ones beyond the bounds. w.mu must be held.
func (w *Window) append(records []stream.Record) {
	for _, r := range records {
		w.records = append(w.records, r)
		w.size += recordSize(r)
	}
	for len(w.records) > maxWindowRecords || w.size > maxWindowBytes {
		w.size -= recordSize(w.records[0])
		w.records = w.records[1:]
	}
}

// recordSize returns the length of a record, in bytes.
func recordSize(r stream.Record) int { return len(r.Key) + len(r.Value) }

// RecordFailure records that a read has failed, and answers all waiting requests.
func (w *Window) RecordFailure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requestedAt, w.endedAt = time.Time{}, time.Time{}
	w.wake()
}

// wake wakes the waiting requests. w.mu must be held.
func (w *Window) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// Wait waits until this box has made another read than the one that the request has seen, and replies
// with its result. It returns ErrNotReading if this box does not read the log, or a read fails.
func (w *Window) Wait(ctx context.Context, r Request) (Reply, error) {
	arrivedAt := w.now()
	for {
		reply, changed, err := w.reply(r, arrivedAt)
		if err != nil || changed == nil {
			return reply, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Reply{}, ErrNotReading
		}
	}
}

// reply returns the reply to a request, or a channel that is closed after the next read if the request
// has to wait for it.
func (w *Window) reply(r Request, arrivedAt time.Time) (Reply, <-chan struct{}, error) {
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.endedAt.IsZero() || now.Sub(w.endedAt) > maxReadAge:
		return Reply{}, nil, ErrNotReading
	case w.reads == r.Seen:
		return Reply{}, w.changed, nil
	case r.Next < w.next-int64(len(w.records)):
		return Reply{}, nil, ErrBehind
	}
	reply := Reply{
		Next: max(r.Next, w.next), Seen: w.reads,
		Waited: job.Milliseconds(now.Sub(arrivedAt).Milliseconds()),
		// The age is rounded up, so that the follower never takes its knowledge for newer than it is.
		Age: job.Milliseconds(now.Sub(w.requestedAt).Milliseconds() + 1),
	}
	if missing := w.next - r.Next; missing > 0 {
		reply.Records = w.records[len(w.records)-int(missing):]
	}
	return reply, nil, nil
}
