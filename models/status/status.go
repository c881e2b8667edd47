// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package status defines the state of a process as reported to operators.
package status

import "time"

// Process is a summary of the state of one entry box.
type Process struct {
	Box         string `json:"box"`
	Incarnation string `json:"incarnation"`
	Domain      string `json:"domain"`
	// InForce is set if the process acts on the files that it reports.
	InForce  bool      `json:"in_force"`
	Stopping bool      `json:"stopping"`
	Log      Log       `json:"log"`
	Live     []string  `json:"live"`
	Files    []File    `json:"files"`
	Shards   []Shard   `json:"shards"`
	Pools    []Pool    `json:"pools"`
	At       time.Time `json:"at"`
}

// Log is the position of a process in the platform's log.
type Log struct {
	// Next is the offset of the first record that was not read yet.
	Next int64 `json:"next"`
	// ReadFailing and AppendFailing say why the last read and the last append failed. They are
	// empty after a success.
	ReadFailing   string `json:"read_failing,omitempty"`
	AppendFailing string `json:"append_failing,omitempty"`
	// Waiting counts the entries that are not yet known to be in the log.
	Waiting int `json:"waiting"`
}

// File is a file in force.
type File struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Retired  bool   `json:"retired,omitempty"`
	// Data is the file as published. It is set only if it was asked for.
	Data string `json:"data,omitempty"`
}

// Shard is a shard as one process sees it.
type Shard struct {
	ID     string `json:"id"`
	Phase  string `json:"phase"`
	Holder string `json:"holder"`
	// Workers counts all workers of the shard, Held those whose lease this process has.
	Workers int `json:"workers"`
	Held    int `json:"held"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Packed is the reserved fraction of the capacity of the workers.
	Packed float64 `json:"packed"`
	// The fields below count events since the process started: starts of tasks, tasks lost without
	// an outcome, preempted tasks, takeovers of the shard, and tasks found on two workers.
	Starts      int64 `json:"starts"`
	Lost        int64 `json:"lost"`
	Preemptions int64 `json:"preemptions"`
	Takeovers   int64 `json:"takeovers"`
	Duplicates  int64 `json:"duplicates"`
}

// Pool is a pool as one process sees it.
type Pool struct {
	Name     string   `json:"name"`
	Slots    int      `json:"slots"`
	Inflight int      `json:"inflight"`
	Classes  []Class  `json:"classes"`
	Targets  []Target `json:"targets"`
}

// Class is a class of requests and its queue at one process.
type Class struct {
	Name    string `json:"name"`
	Waiting int    `json:"waiting"`
	// UsualMillis is the typical service time in milliseconds.
	UsualMillis float64 `json:"usual_ms"`
}

// Target is a target as one process sees it.
type Target struct {
	Name     string `json:"name"`
	Limit    int    `json:"limit"`
	Inflight int    `json:"inflight"`
	Leaving  bool   `json:"leaving,omitempty"`
	Ejected  bool   `json:"ejected,omitempty"`
}

// Work counts the tasks of one object in one shard by state.
type Work struct {
	Object   string `json:"object"`
	Kind     string `json:"kind"`
	Team     string `json:"team"`
	Priority string `json:"priority"`
	File     string `json:"file"`
	Shard    string `json:"shard"`
	Tasks    int    `json:"tasks"`
	Running  int    `json:"running"`
	Done     int    `json:"done"`
	Failed   int    `json:"failed"`
	// Unknown counts the tasks that may have run and will not be started again unless an operator's
	// file settles them.
	Unknown int        `json:"unknown"`
	Waiting int        `json:"waiting"`
	Since   *time.Time `json:"since,omitempty"`
	// Reason says why tasks wait.
	Reason string `json:"reason,omitempty"`
	// UnknownTasks lists the first tasks that Unknown counts.
	UnknownTasks []string `json:"unknown_tasks,omitempty"`
}

// Place is the placement of a task on a worker.
type Place struct {
	Task   string `json:"task"`
	Worker string `json:"worker"`
	Stage  string `json:"stage"`
}

// Worker is a worker as the holder of its shard sees it.
type Worker struct {
	Name        string    `json:"name"`
	Held        bool      `json:"held"`
	Adopted     bool      `json:"adopted"`
	Epoch       int64     `json:"epoch"`
	Tasks       int       `json:"tasks"`
	Free        string    `json:"free"`
	Drained     bool      `json:"drained,omitempty"`
	Quarantined time.Time `json:"quarantined,omitzero"`
	Failing     string    `json:"failing,omitempty"`
}

// Explanation says why a task is in its state.
type Explanation struct {
	Task  string `json:"task"`
	State string `json:"state"`
	Why   string `json:"why"`
}

// Dump is the complete state of a process, with lists truncated to MaxListed elements.
type Dump struct {
	Process  Process  `json:"process"`
	Work     []Work   `json:"work"`
	Places   []Place  `json:"places"`
	Workers  []Worker `json:"workers"`
	Requests int      `json:"requests"`
	Keys     int      `json:"keys"`
	// Truncated is set if some list was longer than MaxListed.
	Truncated bool `json:"cut"`
}

// MaxListed limits the length of each list in a Dump.
const MaxListed = 500
