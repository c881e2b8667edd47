// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package logfeed lets a few entry boxes read the log for the others of their failure domain, so that
// the calls to the log grow neither with the number of boxes nor with how often the holder writes.
//
// A box whose Selector picks a reader asks that box for what it has read, and the reader answers as
// soon as its next read of the log has ended. The answer states how long ago that read was requested,
// so that the follower knows how old its knowledge is at most, also if the reader was paused. A box
// reads the log by itself if it is among the first of its domain, if others read through it, if it may
// soon claim the cell, or if no reader answers.
//
//   - Selector chooses the box to read through;
//   - Window keeps what this box has read from one stream lately, for its followers.
package logfeed

import (
	"errors"
	"fmt"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/stream"
)

// Request asks a reader for what it has read from a stream.
type Request struct {
	Stream stream.Name `json:"stream"`
	// Next is the offset up to which the asking box knows the stream.
	Next int64 `json:"next"`
	// Seen is the number of the reader's read that the last reply reported, or 0.
	Seen int64 `json:"seen"`
}

// Check returns an error if the request is invalid.
func (r Request) Check() error {
	if r.Stream == "" || r.Next < 0 || r.Seen < 0 {
		return fmt.Errorf("request for stream %q from offset %d after read %d: want a stream, and no negative number", r.Stream, r.Next, r.Seen)
	}
	return nil
}

// Reply is what a reader knows of a stream from the requested offset on.
type Reply struct {
	Records []stream.Record `json:"records,omitempty"`
	Next    int64           `json:"next"`
	// Seen is the number of the read that the reply reports.
	Seen int64 `json:"seen"`
	// Waited is how long the request waited at the reader. Age is the time from when the reader
	// requested the reported read until the reply.
	Waited job.Milliseconds `json:"waited_ms"`
	Age    job.Milliseconds `json:"age_ms"`
}

// Check returns an error if the reply cannot answer a request from offset next on.
func (r Reply) Check(next int64) error {
	if r.Next < next || r.Seen <= 0 || r.Waited < 0 || r.Age < 0 {
		return fmt.Errorf("reply up to offset %d after read %d, waited %d ms, age %d ms: want at least offset %d and no negative time", r.Next, r.Seen, r.Waited, r.Age, next)
	}
	for i, rec := range r.Records {
		if rec.Offset != r.Next-int64(len(r.Records)-i) || rec.Offset < next {
			return fmt.Errorf("reply has a record with offset %d at position %d of %d up to offset %d", rec.Offset, i, len(r.Records), r.Next)
		}
	}
	return nil
}

// RequestedAt returns the earliest time at which the reported read can have been requested, on the clock
// of the box that sent its request at sentAt. The read was requested later by at most the time that the
// request and the reply were on their way.
func (r Reply) RequestedAt(sentAt time.Time) time.Time {
	return sentAt.Add(r.Waited.Duration() - r.Age.Duration())
}

// The reasons why a reader does not answer a request.
var (
	// ErrNotReading means that the box does not read the log by itself, or that the log does not
	// answer it.
	ErrNotReading = errors.New("this box does not read the log")
	// ErrBehind means that the box no longer has the records from the requested offset on.
	ErrBehind = errors.New("this box no longer has these records")
)
