// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package worker defines the messages between a worker and the holder of its lease.
package worker

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"saddlevane/models/resource"
	"saddlevane/models/task"
)

// Sync asks a worker to grant or renew the holder's lease and, under that lease, to start, stop and
// forget tasks. The worker applies a Sync completely or not at all.
type Sync struct {
	// Holder is the box and incarnation that sends the Sync.
	Holder string `json:"holder"`
	// Epoch identifies the holder's current lease; 0 asks for a new one.
	Epoch int64 `json:"epoch"`
	// Incarnation is the incarnation of the worker that granted the lease of Epoch, as its report
	// named it. Any other incarnation refuses the Sync. With Epoch 0 it is empty.
	Incarnation string `json:"incarnation,omitempty"`
	// Seq increases with each Sync of an epoch. The worker refuses a Sync with a lower number than
	// an earlier one.
	Seq int64 `json:"seq"`
	// TTL is how long the lease lasts after the worker has received the Sync. If it is 0, nothing
	// is granted or applied, and the worker only reports.
	TTL Milliseconds `json:"ttl_ms"`
	// KnownVersion is the version of the worker's inventory that the holder has, or 0. If the
	// inventory still has this version after the Sync, the report omits the tasks.
	KnownVersion int64 `json:"seen,omitempty"`
	// Release ends the lease after the rest of the Sync has been applied.
	Release bool    `json:"release,omitempty"`
	Starts  []Start `json:"starts,omitempty"`
	// Stops lists tasks to stop. Their outcomes are reported like any other.
	Stops []Stop `json:"stops,omitempty"`
	// Acks lists finished tasks whose outcome the worker may forget.
	Acks []task.ID `json:"acks,omitempty"`
}

// Start is one task to start. A task that the worker already has is not
// started again.
type Start struct {
	Task      task.ID         `json:"task"`
	Resources resource.Vector `json:"resources"`
	Command   []string        `json:"command"`
	// Version distinguishes successive versions of a service.
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
	// Incarnation is different after each restart of the worker, which loses its leases, its tasks
	// and their outcomes. It is empty if the worker does not name its incarnations.
	Incarnation string `json:"incarnation,omitempty"`
	// Granted is set if the Sync was applied and its sender has the lease.
	Granted bool `json:"granted"`
	// Reason says why the Sync was not applied.
	Reason string `json:"reason,omitempty"`
	Epoch  int64  `json:"epoch"`
	// Holder is the box and incarnation that has the lease.
	Holder string `json:"holder"`
	// ExpiresIn is the remaining time of the holder's lease.
	ExpiresIn Milliseconds    `json:"expires_in_ms"`
	Capacity  resource.Vector `json:"capacity"`
	// Leaving is set if the worker accepts no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Version changes with each change of the inventory.
	Version int64 `json:"version"`
	// Unchanged is set if the inventory still has the version that the holder knows. Tasks is then
	// omitted.
	Unchanged bool `json:"unchanged,omitempty"`
	// Tasks lists all tasks that the worker runs, and all finished tasks whose outcome it has not
	// forgotten yet.
	Tasks []Item `json:"tasks,omitempty"`
	// Refused lists the starts that were not applied, with the reasons.
	Refused []Refusal `json:"refused,omitempty"`
}

// Item is one task in a worker's inventory.
type Item struct {
	Task      task.ID         `json:"task"`
	State     task.State      `json:"state"`
	Resources resource.Vector `json:"resources"`
	// Usage is the resource usage of the task when it was last measured.
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

// maxItems limits the tasks in a report.
const maxItems = 10_000

// UnmarshalJSON returns an error if the worker's name is missing, an amount is negative or the report
// holds too many tasks.
func (r *Report) UnmarshalJSON(data []byte) error {
	type plain Report
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	switch {
	case p.Worker == "":
		return errors.New("report: worker is empty")
	case p.Epoch < 0 || p.ExpiresIn < 0:
		return errors.New("report: epoch or expires_in_ms is negative, want 0 or more")
	case p.Capacity.IsNegative():
		return errors.New("report: capacity is negative in some resource, want 0 or more")
	case len(p.Tasks) > maxItems:
		return fmt.Errorf("report: has %d tasks, the limit is %d", len(p.Tasks), maxItems)
	}
	for _, item := range p.Tasks {
		if item.Resources.IsNegative() {
			return fmt.Errorf("report: resources of task %s are negative, want 0 or more", item.Task)
		}
	}
	*r = Report(p)
	return nil
}
