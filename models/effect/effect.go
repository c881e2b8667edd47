// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package effect defines the actions that the reducer can request.
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

// SendRequest sends a request to a target. Its result comes back as event.TargetAnswered.
type SendRequest struct {
	ID      request.ID
	Attempt int
	Target  string
	Address string
	Timeout time.Duration
	// Connections limits the number of connections to the target.
	Connections int
}

// Deliver sends the answer of attempt Attempt of request From to the caller of request To, which may
// be another arrival of the same request.
type Deliver struct {
	To      request.ID
	From    request.ID
	Attempt int
	// Waited is how long the request waited before it was sent to the target.
	Waited time.Duration
	// Retain is set if the answer must be kept until a Forget, because a repeated request may ask
	// for it again.
	Retain bool
}

// Refuse sends a caller a final answer that was produced here and not by a target.
type Refuse struct {
	To      request.ID
	Refusal request.Refusal
}

// Forget drops the data that the adapters keep for a request.
type Forget struct{ ID request.ID }

// Forward forwards a request to a peer. Its result comes back as event.ForwardEnded.
type Forward struct {
	ID      request.ID
	Address string
	Timeout time.Duration
	// Delegated asks the peer to send the request to one of its own targets.
	Delegated bool
}

// ReadLog reads the log from an offset on and waits for new records if there are none. Its result
// comes back as event.LogRead or event.LogFailed.
type ReadLog struct{ From int64 }

// Append appends an envelope to the log. Its result comes back as event.AppendEnded.
type Append struct{ Envelope record.Envelope }

// SyncWorker sends a Sync to a worker. Its result comes back as event.WorkerAnswered.
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

// FetchSnapshot asks a peer for a snapshot of the log's state. Its result comes back as
// event.SnapshotRead.
type FetchSnapshot struct {
	Box     string
	Address string
}

// AnswerPublish answers an operator's request to publish a file.
type AnswerPublish struct {
	Waiter uint64
	Result PublishResult
}

// Outcome is the outcome of a publication.
type Outcome string

// The outcomes. Unknown means that the publication was not decided in time, so the file may still come
// into force.
const (
	Accepted Outcome = "accepted"
	Refused  Outcome = "refused"
	Unknown  Outcome = "unknown"
)

// PublishResult is the result of a publication.
type PublishResult struct {
	Outcome Outcome `json:"outcome"`
	// Revision is the file's new revision if it was accepted, else the revision in force.
	Revision int64    `json:"revision"`
	Reasons  []string `json:"reasons,omitempty"`
}

// Stopped reports that a planned stop is complete.
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
