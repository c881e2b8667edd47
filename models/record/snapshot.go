// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package record

import (
	"errors"
	"fmt"

	"saddlevane/models/spec"
	"saddlevane/models/task"
)

// Snapshot is the state that results from all records before offset Next. It does not depend on the
// process that takes it, so a process may continue from a peer's snapshot or from one in the log.
type Snapshot struct {
	Next     int64          `json:"next"`
	Files    []File         `json:"files,omitempty"`
	Claims   []HeldClaim    `json:"claims,omitempty"`
	Progress []Progress     `json:"progress,omitempty"`
	Former   []FormerWorker `json:"former,omitempty"`
}

// FormerWorker is a worker that no file names any more but that may still run tasks of the shard.
type FormerWorker struct {
	Shard  spec.ShardID `json:"shard"`
	Worker string       `json:"worker"`
	Rack   string       `json:"rack"`
}

// File is a file in force, with the state of its objects as decided in the log.
type File struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	// Publication is the ID of the operator's publication of this revision.
	Publication string   `json:"publication,omitempty"`
	Data        string   `json:"data"`
	Objects     []Object `json:"objects,omitempty"`
}

// Object is the state of a service, job or gang as decided in the log.
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

// Progress lists the tasks of one object by their state in the log.
type Progress struct {
	Object  task.ObjectID `json:"object"`
	Intents []Range       `json:"intents,omitempty"`
	Done    []Range       `json:"done,omitempty"`
	Failed  []Range       `json:"failed,omitempty"`
	Rerun   []Range       `json:"rerun,omitempty"`
}

// Checkpoint is one part of a snapshot that is stored in the log, so that the records before it can
// expire.
type Checkpoint struct {
	// ID is the same in all parts of a checkpoint.
	ID    string `json:"id"`
	Part  int    `json:"part"`
	Parts int    `json:"parts"`
	// Snapshot holds this part's files, claims and progress.
	Snapshot Snapshot `json:"snapshot"`
}

// MaxParts limits the parts of a checkpoint.
const MaxParts = 1024

// Check returns an error if the part has no ID or its number is out of range.
func (c *Checkpoint) Check() error {
	if c.ID == "" {
		return errors.New("checkpoint: id is empty")
	}
	if c.Parts < 1 || c.Parts > MaxParts || c.Part < 0 || c.Part >= c.Parts {
		return fmt.Errorf("checkpoint: part %d of %d is out of range", c.Part, c.Parts)
	}
	return nil
}
