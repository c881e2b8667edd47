// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package effect holds everything that the reducer can ask for.
package effect

import (
	"time"

	"saddlevane/models/peer"
	"saddlevane/models/record"
	"saddlevane/models/request"
	"saddlevane/models/worker"
)

// Effect is one of the types of this package.
type Effect interface{ effect() }

// SendRequest sends a request to a target. Its end comes back as
// event.TargetAnswered.
type SendRequest struct {
	ID      request.ID
	Attempt int
	Target  string
	Address string
	Timeout time.Duration
	// Connections bounds the connections to the target.
	Connections int
}

// Deliver gives the answer of one attempt to a caller, which may be another
// arrival of the same request.
type Deliver struct {
	To      request.ID
	From    request.ID
	Attempt int
	// Waited is how long the request waited before it was sent.
	Waited time.Duration
	// Keep says that the answer may be asked for again until it is forgotten.
	Retain bool
}

// Refuse gives a caller a final answer that no target gave.
type Refuse struct {
	To      request.ID
	Refusal request.Refusal
}

// Forget drops what the adapters keep of a request.
type Forget struct{ ID request.ID }

// Forward passes a request on to a peer. Its end comes back as
// event.ForwardEnded.
type Forward struct {
	ID      request.ID
	Address string
	Timeout time.Duration
	// Delegated asks the peer to send it to one of its own targets.
	Delegated bool
}

// ReadLog reads the log from an offset on, waiting for new records if there are
// none. Its end comes back as event.LogRead or event.LogFailed.
type ReadLog struct{ From int64 }

// Append appends an envelope to the log. Its end comes back as
// event.AppendEnded.
type Append struct{ Envelope record.Envelope }

// SyncWorker sends a Sync. Its end comes back as event.WorkerAnswered.
type SyncWorker struct {
	Worker  string
	Address string
	Sync    worker.Sync
}

// SendHello sends a heartbeat to a peer.
type SendHello struct {
	Address string
	Hello   peer.Hello
}

// FetchSnapshot asks a peer for what it knows of the log. Its end comes back as
// event.SnapshotRead.
type FetchSnapshot struct {
	Box     string
	Address string
}

// AnswerPublish tells an operator what became of a publication.
type AnswerPublish struct {
	Waiter uint64
	Result PublishResult
}

// Outcome of a publication.
type Outcome string

// The outcomes. Unknown means that the log has not decided in time and the file
// may still come into force.
const (
	Accepted Outcome = "accepted"
	Refused  Outcome = "refused"
	Unknown  Outcome = "unknown"
)

// PublishResult is what became of a publication.
type PublishResult struct {
	Outcome Outcome `json:"outcome"`
	// Revision is the file's new revision if accepted, else the one in force.
	Revision int64    `json:"revision"`
	Reasons  []string `json:"reasons,omitempty"`
}

// Stopped says that a planned stop is complete.
type Stopped struct{}

func (SendRequest) effect()   {}
func (Deliver) effect()       {}
func (Refuse) effect()        {}
func (Forget) effect()        {}
func (Forward) effect()       {}
func (ReadLog) effect()       {}
func (Append) effect()        {}
func (SyncWorker) effect()    {}
func (SendHello) effect()     {}
func (FetchSnapshot) effect() {}
func (AnswerPublish) effect() {}
func (Stopped) effect()       {}
