// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package startlog records in the log which tasks were started last, and on which workers. If a
// worker crashes while no box holds the cell, no box observes what ran there, and a task that
// crashes its workers would be started again without any blame. With the records, the next holder
// attributes the crash to the tasks that were started there last.
//
// The starts are added to appends that are made anyway, or are appended on their own after
// FlushAfter. They are stored under a fixed number of keys in turn, so that the size of the log is
// bounded. No start waits for its record.
package startlog

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
)

const (
	// MinInterval is the minimum time between two records.
	MinInterval = 25 * time.Millisecond
	// FlushAfter is how long starts wait for another append before they get one of their own. In an
	// idle cell, a task that crashes its worker after half a second is thus recorded before the
	// crash.
	FlushAfter = 100 * time.Millisecond
	// Slots is the number of records that the log keeps. At one record per MinInterval they cover
	// at least the last 3 s.
	Slots = 128
	// maxStarts bounds the starts in a record. At 4,000 starts/s all of them are recorded, at
	// higher rates a part, so that a record, at about 60 bytes per start, stays under 6 kB.
	maxStarts = 100
)

// Start is the start of a task on a worker.
type Start struct {
	Task   job.TaskID `json:"t"`
	Run    int64      `json:"n"`
	Worker string     `json:"w"`
	// Born distinguishes the incarnations of the worker; see order.Incarnation.
	Born int64 `json:"b,omitempty"`
	// UnixMilli is when the start was ordered, in milliseconds since 1970.
	UnixMilli int64 `json:"m"`
}

// incarnation returns the incarnation of the worker on which the task was started.
func (s Start) incarnation() order.Incarnation {
	return order.Incarnation{Name: s.Worker, BornUnixMilli: s.Born}
}

// validate returns an error if a stored start is invalid.
func (s Start) validate() error {
	if s.Worker == "" || s.Task.Job == "" || s.Run <= 0 || s.UnixMilli <= 0 || s.Born < 0 {
		return fmt.Errorf("recent: invalid start %+v", s)
	}
	return nil
}

// Buffer collects the starts that have not been recorded yet.
type Buffer struct {
	pending []Start
	// pendingSince is when the first pending start was added, writtenAt when the last record was
	// taken, and slot the slot of the next record.
	pendingSince, writtenAt time.Time
	slot                    int
}

// Add adds a start. It is dropped if a full record is already pending.
func (b *Buffer) Add(now time.Time, start Start) {
	if len(b.pending) == 0 {
		b.pendingSince = now
	}
	if len(b.pending) < maxStarts {
		b.pending = append(b.pending, start)
	}
}

// Due reports whether the pending starts should get an append of their own.
func (b *Buffer) Due(now time.Time) bool {
	return len(b.pending) > 0 && now.Sub(b.pendingSince) >= FlushAfter
}

// Take returns the pending starts to be recorded in an append that is made at now, and the slot
// under which to store them. It returns none if the last record is less than MinInterval old.
// Starts for which matters returns false, such as those that have ended well, are left out.
func (b *Buffer) Take(now time.Time, matters func(Start) bool) (slot int, starts []Start) {
	if len(b.pending) == 0 || now.Sub(b.writtenAt) < MinInterval {
		return 0, nil
	}
	for _, start := range b.pending {
		if matters(start) {
			starts = append(starts, start)
		}
	}
	b.pending = nil
	if len(starts) == 0 {
		return 0, nil
	}
	slot, b.slot, b.writtenAt = b.slot, (b.slot+1)%Slots, now
	return slot, starts
}

// LoggedStarts holds the starts that were recorded in the log, by the worker's incarnation.
type LoggedStarts struct{ byIncarnation map[order.Incarnation][]Start }

// Read returns the last start of each task in the records, and an error for each record that could
// not be decoded.
func Read(records [][]byte) (LoggedStarts, []error) {
	last := map[job.TaskID]Start{}
	var errs []error
	for _, r := range records {
		starts, err := decode(r)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		for _, s := range starts {
			if s.Run > last[s.Task].Run {
				last[s.Task] = s
			}
		}
	}
	logged := LoggedStarts{byIncarnation: map[order.Incarnation][]Start{}}
	for _, s := range slices.SortedFunc(maps.Values(last), Start.compare) {
		logged.byIncarnation[s.incarnation()] = append(logged.byIncarnation[s.incarnation()], s)
	}
	return logged, errs
}

// decode decodes a record, and returns an error if it contains an invalid start.
func decode(record []byte) ([]Start, error) {
	var starts []Start
	if err := json.Unmarshal(record, &starts); err != nil {
		return nil, fmt.Errorf("recent: decode record: %w", err)
	}
	for _, s := range starts {
		if err := s.validate(); err != nil {
			return nil, err
		}
	}
	return starts, nil
}

// compare orders starts by job, instance, step and task index.
func (s Start) compare(other Start) int {
	return cmp.Or(cmp.Compare(s.Task.Job, other.Task.Job), cmp.Compare(s.Task.Instance, other.Task.Instance),
		cmp.Compare(s.Task.Step, other.Task.Step), cmp.Compare(s.Task.Index, other.Task.Index))
}

// StartedOn returns, for each task whose last start was on the given incarnation of a worker, that
// start.
func (l LoggedStarts) StartedOn(incarnation order.Incarnation) []Start {
	if incarnation.BornUnixMilli == 0 {
		return l.byIncarnation[incarnation]
	}
	// Records of an earlier release have the worker's name only.
	return slices.Concat(l.byIncarnation[incarnation], l.byIncarnation[order.Incarnation{Name: incarnation.Name}])
}

// WorkerCount returns the number of workers on which a gang was started, given its step, and 1 for
// a task that is not of a gang.
func (l LoggedStarts) WorkerCount(step job.StepID, gang bool) int {
	if !gang {
		return 1
	}
	n := 0
	for _, starts := range l.byIncarnation {
		if slices.ContainsFunc(starts, func(s Start) bool { return s.Task.StepID == step }) {
			n++
		}
	}
	return n
}

// Forget drops the starts on an incarnation of a worker, once the worker itself has reported what
// it runs.
func (l LoggedStarts) Forget(incarnation order.Incarnation) {
	delete(l.byIncarnation, incarnation)
	delete(l.byIncarnation, order.Incarnation{Name: incarnation.Name})
}
