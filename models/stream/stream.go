// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package stream holds the messages to a log whose records have keys: the
// newest record of each key is kept for good, older ones age out.
package stream

import (
	"errors"
	"fmt"
)

// Name names a stream of keyed records.
type Name string

// The streams that saddlevane keeps or follows.
const (
	// Config is the operators' configuration.
	Config Name = "config"
	// Workers is the platform's list of workers.
	Workers Name = "workers"
	// Claims says which box holds the cell's workers.
	Claims Name = "claims"
	// Boxes lists the entry boxes and their addresses.
	Boxes Name = "boxes"
	// Jobs holds submitted jobs and their progress.
	Jobs Name = "jobs"
)

// Record is one record. One without a value drops its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// IsTombstone says that the key no longer has a value.
func (r Record) IsTombstone() bool { return len(r.Value) == 0 }

// Writer fences earlier writers of a stream: an append under a lower epoch than
// one that was seen is refused, and a repeated sequence number changes nothing.
type Writer struct {
	Epoch    int64
	Sequence int64
}

// sequenceBits is how many bits of a writer's number its sequence number takes.
const sequenceBits = 32

// Number tells an append of the writer from those under all other claims.
func (w Writer) Number() int64 { return w.Epoch<<sequenceBits | w.Sequence }

// Append adds records, all or none.
type Append struct {
	Stream  Name
	Records []Record
	// At, if set, is where the stream must end for the append to be done.
	ExpectedEnd *int64
	// Writer, if set, fences.
	Writer *Writer
}

// Page is a part of a stream.
type Page struct {
	Records []Record
	// Next is the offset to read on from.
	Next int64
}

// The ways in which a call is refused for sure.
var (
	// ErrFenced means that a writer with a higher epoch has been there.
	ErrFenced = errors.New("a later writer has been there")
	// ErrDuplicateSequence means that the sequence number was used already.
	ErrDuplicateSequence = errors.New("the sequence number was used already")
	// ErrNotDone means that the log did nothing and may be asked again.
	ErrNotDone = errors.New("the log did nothing")
	// ErrTrimmed means that the records asked for are gone.
	ErrTrimmed = errors.New("the records are gone")
)

// EndMismatchError means that the stream did not end where the append wanted.
type EndMismatchError struct{ End int64 }

// Error says where the stream ends.
func (e *EndMismatchError) Error() string { return fmt.Sprintf("the stream ends at %d", e.End) }
