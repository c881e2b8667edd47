// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package event holds everything that the reducer can be told.
package event

import (
	"time"

	"saddlevane/models/box"
	"saddlevane/models/peer"
	"saddlevane/models/record"
	"saddlevane/models/request"
	"saddlevane/models/verdict"
	"saddlevane/models/worker"
)

// Event is one of the types of this package.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// Stop asks for a planned stop.
type Stop struct{}

// RequestArrived is a caller's request.
type RequestArrived struct{ Arrival request.Arrival }

// RequestAbandoned says that the caller of a request has left.
type RequestAbandoned struct{ ID request.ID }

// TargetAnswered is the end of one attempt at a target.
type TargetAnswered struct {
	ID      request.ID
	Attempt int
	Target  string
	Verdict verdict.Verdict
	// Reason says what went wrong, if the verdict is not Ran.
	Reason string
	// Leaving is the target's own word that it wants no new work.
	Leaving bool
	// Busy says that the target refused because it was full.
	Busy bool
	// Silent says that there was no answer on a connection that had carried others, which
	// may be at fault.
	Silent bool
}

// ForwardEnded is the end of a request that was passed on to a peer.
type ForwardEnded struct {
	ID request.ID
	// Failed says why there is no answer, or is empty if the peer's is at hand.
	Failure string
	// Verdict is the peer's, or what the failure says of the run.
	Verdict verdict.Verdict
}

// LogRecord is one record of the log.
type LogRecord struct {
	Offset int64
	At     time.Time
	// Envelope is the zero value if the record is not ours or is damaged.
	Envelope record.Envelope
}

// LogRead is an answer of the log to a read from the reducer's position.
type LogRead struct {
	// First is the oldest offset that the log still has.
	First   int64
	Records []LogRecord
	// Head says that there was nothing more to read when the log answered.
	AtEnd bool
}

// LogFailed says that a read of the log failed.
type LogFailed struct{ Reason string }

// AppendEnded is the end of one try at an append. If Failed is not empty the
// record may be in the log all the same.
type AppendEnded struct {
	ID      string
	Offset  int64
	Failure string
}

// BoxesRead is the platform's list of boxes.
type BoxesRead struct{ List box.List }

// HelloReceived is a peer's heartbeat.
type HelloReceived struct{ Hello peer.Hello }

// SnapshotRead is what a peer knows of the log.
type SnapshotRead struct {
	From     string
	Snapshot record.Snapshot
}

// WorkerAnswered is the end of one Sync with a worker. If Failed is not empty
// the worker may have applied it all the same.
type WorkerAnswered struct {
	Worker  string
	Seq     int64
	SentAt  time.Time
	Report  worker.Report
	Failure string
}

// PublishAsked is an operator's publication.
type PublishAsked struct {
	Waiter  uint64
	Publish record.Publish
	// Patience is how long the operator waits for the log's decision.
	Timeout time.Duration
}

func (Tick) event()             {}
func (Stop) event()             {}
func (RequestArrived) event()   {}
func (RequestAbandoned) event() {}
func (TargetAnswered) event()   {}
func (ForwardEnded) event()     {}
func (LogRead) event()          {}
func (LogFailed) event()        {}
func (AppendEnded) event()      {}
func (BoxesRead) event()        {}
func (HelloReceived) event()    {}
func (SnapshotRead) event()     {}
func (WorkerAnswered) event()   {}
func (PublishAsked) event()     {}
