// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package event defines the inputs of the reducer.
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

// Tick lets the reducer act on the passage of time.
type Tick struct{}

// Stop requests a planned stop.
type Stop struct{}

// RequestArrived is a caller's request.
type RequestArrived struct{ Arrival request.Arrival }

// RequestAbandoned reports that the caller of a request has disconnected.
type RequestAbandoned struct{ ID request.ID }

// TargetAnswered is the result of one attempt to run a request on a target.
type TargetAnswered struct {
	ID      request.ID
	Attempt int
	Target  string
	Verdict verdict.Verdict
	// Reason describes the failure if the verdict is not Ran.
	Reason string
	// Leaving is set if the target reported that it accepts no new work.
	Leaving bool
	// Busy is set if the target refused the request because all its slots were taken.
	Busy bool
	// Silent is set if there was no answer on a connection that had carried earlier answers, so
	// that the connection and not the target may be broken.
	Silent bool
}

// ForwardEnded is the result of a request that was forwarded to a peer.
type ForwardEnded struct {
	ID request.ID
	// Failure says why there is no answer. It is empty if the peer has answered.
	Failure string
	// Verdict is the verdict that the peer returned, or the one that follows from the failure.
	Verdict verdict.Verdict
}

// LogRecord is one record of the log.
type LogRecord struct {
	Offset int64
	At     time.Time
	// Envelope is the zero value if the record is damaged or was not appended by saddlevane.
	Envelope record.Envelope
}

// LogRead is the log's answer to a read from the reducer's position.
type LogRead struct {
	// First is the offset of the oldest record that the log still has.
	First   int64
	Records []LogRecord
	// AtEnd is set if there were no further records when the log answered.
	AtEnd bool
}

// LogFailed reports that a read of the log failed.
type LogFailed struct{ Reason string }

// AppendEnded is the result of one attempt to append. If Failure is not empty, the record may
// nevertheless be in the log.
type AppendEnded struct {
	ID      string
	Offset  int64
	Failure string
}

// BoxesRead is the platform's list of boxes as last read.
type BoxesRead struct{ List box.List }

// HelloReceived is a heartbeat received from a peer.
type HelloReceived struct{ Hello peer.Hello }

// SnapshotRead is a snapshot of the log's state received from a peer.
type SnapshotRead struct {
	From     string
	Snapshot record.Snapshot
}

// WorkerAnswered is the result of one Sync with a worker. If Failure is not empty, the worker may
// nevertheless have applied the Sync.
type WorkerAnswered struct {
	Worker  string
	Seq     int64
	SentAt  time.Time
	Report  worker.Report
	Failure string
}

// PublishAsked is an operator's request to publish a file. Waiter identifies the operator's call.
type PublishAsked struct {
	Waiter  uint64
	Publish record.Publish
	// Timeout is how long the operator waits until the publication is decided.
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
