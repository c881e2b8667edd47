// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package worker holds the messages between a lease holder and a worker.
package worker

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"saddlevane/models/resource"
	"saddlevane/models/task"
)

// Sync asks a worker to grant or renew the holder's lease and, under it, to
// start, stop and forget tasks. The worker applies a Sync whole or not at all.
type Sync struct {
	// Holder is the box and incarnation that asks.
	Holder string `json:"holder"`
	// Epoch is the lease that the holder has, or 0 to ask for a new one.
	Epoch int64 `json:"epoch"`
	// Seq grows with each Sync of an epoch; the worker refuses older ones.
	Seq int64 `json:"seq"`
	// TTL is how long the lease lasts from when the worker takes the Sync, in
	// milliseconds. With 0 nothing is granted or applied; the worker reports.
	TTL Milliseconds `json:"ttl_ms"`
	// Seen is the version of the inventory that the holder has, or 0. If it is
	// still the version after the Sync, the report leaves the tasks out.
	KnownVersion int64 `json:"seen,omitempty"`
	// Release ends the lease after the rest is applied.
	Release bool    `json:"release,omitempty"`
	Starts  []Start `json:"starts,omitempty"`
	// Stops names tasks to stop. Their outcome is reported like any other.
	Stops []Stop `json:"stops,omitempty"`
	// Acks names finished tasks whose outcome the worker may forget.
	Acks []task.ID `json:"acks,omitempty"`
}

// Start is one task to start. A task that the worker already has is not
// started again.
type Start struct {
	Task      task.ID         `json:"task"`
	Resources resource.Vector `json:"resources"`
	Command   []string        `json:"command"`
	// Version tells one form of a service from the next.
	Version int64 `json:"version,omitempty"`
}

// Stop is one task to stop.
type Stop struct {
	Task task.ID `json:"task"`
	// Checkpoint asks the worker to save the task's state first.
	Checkpoint bool `json:"checkpoint,omitempty"`
}

// Report is a worker's answer to a Sync.
type Report struct {
	Worker string `json:"worker"`
	// Granted says that the Sync was applied and the lease is the holder's.
	Granted bool `json:"granted"`
	// Reason says why the Sync was not applied.
	Reason string `json:"reason,omitempty"`
	Epoch  int64  `json:"epoch"`
	// Holder is who has the lease.
	Holder string `json:"holder"`
	// ExpiresIn is how long the holder's lease still lasts, in milliseconds.
	ExpiresIn Milliseconds    `json:"expires_in_ms"`
	Capacity  resource.Vector `json:"capacity"`
	// Leaving says that the worker wants no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Version changes with each change of the inventory.
	Version int64 `json:"version"`
	// Unchanged says that the inventory is the one that the holder has, and that
	// Tasks is left out.
	Unchanged bool `json:"unchanged,omitempty"`
	// Tasks is everything the worker runs, and every outcome not yet forgotten.
	Tasks []Item `json:"tasks,omitempty"`
	// Refused names starts that were not applied, with the reason.
	Refused []Refusal `json:"refused,omitempty"`
}

// Item is one task in a worker's inventory.
type Item struct {
	Task      task.ID         `json:"task"`
	State     task.State      `json:"state"`
	Resources resource.Vector `json:"resources"`
	// Usage is what the task was last seen to use. It lags.
	Usage   resource.Vector `json:"usage"`
	Version int64           `json:"version,omitempty"`
	Detail  string          `json:"detail,omitempty"`
}

// Refusal is a start that the worker did not apply.
type Refusal struct {
	Task   task.ID `json:"task"`
	Reason string  `json:"reason"`
}

// Milliseconds is a duration on the wire.
type Milliseconds int64

// Duration returns m as a time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// MillisecondsOf returns d rounded down.
func MillisecondsOf(d time.Duration) Milliseconds { return Milliseconds(d / time.Millisecond) }

// maxItems bounds a worker's inventory.
const maxItems = 10_000

// UnmarshalJSON refuses reports that contradict themselves.
func (r *Report) UnmarshalJSON(data []byte) error {
	type plain Report
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	switch {
	case p.Worker == "":
		return errors.New("report: no worker name")
	case p.Epoch < 0 || p.ExpiresIn < 0:
		return errors.New("report: negative epoch or expiry")
	case p.Capacity.IsNegative():
		return errors.New("report: negative capacity")
	case len(p.Tasks) > maxItems:
		return fmt.Errorf("report: %d tasks, the limit is %d", len(p.Tasks), maxItems)
	}
	for _, item := range p.Tasks {
		if item.Resources.IsNegative() {
			return fmt.Errorf("report: task %s reserves less than nothing", item.Task)
		}
	}
	*r = Report(p)
	return nil
}
