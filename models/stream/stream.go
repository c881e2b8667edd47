// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package stream defines the messages of a log with keyed records. The log keeps the newest record of
// each key forever and expires older ones.
package stream

import (
	"errors"
	"fmt"
)

// Name is the name of a stream of keyed records.
type Name string

// The streams that saddlevane writes or reads.
const (
	// Config is the operators' configuration.
	Config Name = "config"
	// Workers is the platform's list of workers.
	Workers Name = "workers"
	// Claims holds the claims by which a box becomes the holder of the cell's workers.
	Claims Name = "claims"
	// Boxes lists the entry boxes and their addresses.
	Boxes Name = "boxes"
	// Jobs holds submitted jobs and their progress.
	Jobs Name = "jobs"
)

// Record is one record of a stream. A record without a value deletes its key.
type Record struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Offset int64  `json:"offset"`
}

// IsTombstone reports whether the record deletes its key.
func (r Record) IsTombstone() bool { return len(r.Value) == 0 }

// Writer identifies an append and fences earlier writers of the stream: the log refuses an append with
// a lower epoch than an earlier one, and an append with a repeated sequence number changes nothing.
type Writer struct {
	Epoch    int64
	Sequence int64
}

// sequenceBits is the number of bits that the sequence number takes in Writer.Number.
const sequenceBits = 32

// Number returns a number that is unique among the appends of all epochs.
func (w Writer) Number() int64 { return w.Epoch<<sequenceBits | w.Sequence }

// Append adds records to a stream, all or none.
type Append struct {
	Stream  Name
	Records []Record
	// ExpectedEnd, if set, is the offset where the stream must end. Otherwise the append fails with
	// an EndMismatchError.
	ExpectedEnd *int64
	// Writer, if set, fences earlier writers.
	Writer *Writer
}

// Page is a part of a stream.
type Page struct {
	Records []Record
	// Next is the offset to read from next.
	Next int64
}

// The errors of calls that certainly had no effect. After ErrDuplicateSequence only the earlier append
// with that sequence number had one.
var (
	// ErrFenced means that a writer with a higher epoch has appended to the stream.
	ErrFenced = errors.New("fenced by a writer with a higher epoch")
	// ErrDuplicateSequence means that an append with this sequence number was already done.
	ErrDuplicateSequence = errors.New("sequence number was already used")
	// ErrOutOfSequence means that the sequence number is not the next one of the writer's epoch,
	// without proof that an append with it was done.
	ErrOutOfSequence = errors.New("sequence number is not the next one")
	// ErrNotDone means that the log did not carry out the call, which may be repeated.
	ErrNotDone = errors.New("log did not carry out the call")
	// ErrTrimmed means that the log no longer has the requested records.
	ErrTrimmed = errors.New("records were trimmed from the log")
)

// EndMismatchError means that the stream does not end at Append.ExpectedEnd but at End.
type EndMismatchError struct{ End int64 }

// Error returns a text with the offset where the stream ends.
func (e *EndMismatchError) Error() string {
	return fmt.Sprintf("stream ends at offset %d and not where the append expected", e.End)
}
