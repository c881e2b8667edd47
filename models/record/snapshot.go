// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package record

import (
	"errors"
	"fmt"

	"saddlevane/models/spec"
	"saddlevane/models/task"
)

// Snapshot is what the records before Next come to. It is the same whoever
// takes it, so a process may go on from a peer's or from one in the log.
type Snapshot struct {
	Next     int64          `json:"next"`
	Files    []File         `json:"files,omitempty"`
	Claims   []HeldClaim    `json:"claims,omitempty"`
	Progress []Progress     `json:"progress,omitempty"`
	Former   []FormerWorker `json:"former,omitempty"`
}

// FormerWorker is a worker that no file names any more, but that may still run tasks of
// the shard.
type FormerWorker struct {
	Shard  spec.ShardID `json:"shard"`
	Worker string       `json:"worker"`
	Rack   string       `json:"rack"`
}

// File is a file in force and what the log decided about its objects.
type File struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	// Publication is the operator's id of the revision.
	Publication string   `json:"publication,omitempty"`
	Data        string   `json:"data"`
	Objects     []Object `json:"objects,omitempty"`
}

// Object is what the log decided about a service, job or gang.
type Object struct {
	ID task.ObjectID `json:"id"`
	// Version is the revision that last changed the object.
	Version int64  `json:"version"`
	Homes   []Home `json:"homes"`
}

// HeldClaim is a claim in force.
type HeldClaim struct {
	Shard       spec.ShardID `json:"shard"`
	Box         string       `json:"box"`
	Incarnation string       `json:"incarnation"`
	Revision    int64        `json:"revision"`
}

// Progress is what the log says of one object's tasks.
type Progress struct {
	Object  task.ObjectID `json:"object"`
	Intents []Range       `json:"intents,omitempty"`
	Done    []Range       `json:"done,omitempty"`
	Failed  []Range       `json:"failed,omitempty"`
	Rerun   []Range       `json:"rerun,omitempty"`
}

// Checkpoint is one part of a snapshot that is kept in the log, so that records
// before it can age out.
type Checkpoint struct {
	// ID is the same in all parts.
	ID    string `json:"id"`
	Part  int    `json:"part"`
	Parts int    `json:"parts"`
	// Snapshot holds this part's files, claims and progress.
	Snapshot Snapshot `json:"snapshot"`
}

// MaxParts bounds a checkpoint.
const MaxParts = 1024

// Check refuses parts that cannot belong to a checkpoint.
func (c *Checkpoint) Check() error {
	if c.ID == "" {
		return errors.New("checkpoint: no id")
	}
	if c.Parts < 1 || c.Parts > MaxParts || c.Part < 0 || c.Part >= c.Parts {
		return fmt.Errorf("checkpoint: part %d of %d", c.Part, c.Parts)
	}
	return nil
}
