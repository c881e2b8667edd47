// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package recent has the log tell which tasks were started last, and on which workers. If a
// worker crashes while no box holds the cell, nobody sees what ran there, and a task that
// crashes its workers would be started as if nothing had happened: the next holder puts the
// crash to the tasks that were started there last.
//
// The starts go into appends that are made anyway, or into one of their own after a while,
// under a few keys in turn, so that what the log keeps of them is bounded. No start waits for
// them.
package recent

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
	// MinInterval is the least time between two records of starts.
	MinInterval = 25 * time.Millisecond
	// FlushAfter is after how long starts get an append of their own: in a cell in which nothing
	// else happens a task that crashes its worker after half a second is known by then.
	FlushAfter = 100 * time.Millisecond
	// Slots is how many records the log keeps: those of the last 3 s or more.
	Slots = 128
	// maxStarts bounds the starts of a record: at 4,000 starts/s all are told, beyond that a
	// part, so that a record of about 60 bytes a start stays under 6 kB.
	maxStarts = 100
)

// Start is the start of a task on a worker.
type Start struct {
	Task   job.TaskID `json:"t"`
	Run    int64      `json:"n"`
	Worker string     `json:"w"`
	// Born tells the worker's lives apart, as in order.Life.
	Born int64 `json:"b,omitempty"`
	// UnixMilli is when it was ordered, in milliseconds since 1970.
	UnixMilli int64 `json:"m"`
}

// life returns the life on which it was started.
func (s Start) life() order.Incarnation {
	return order.Incarnation{Name: s.Worker, BornUnixMilli: s.Born}
}

// validate says what makes no sense in a start that was kept.
func (s Start) validate() error {
	if s.Worker == "" || s.Task.Job == "" || s.Run <= 0 || s.UnixMilli <= 0 || s.Born < 0 {
		return fmt.Errorf("recent: start %+v makes no sense", s)
	}
	return nil
}

// Buffer gathers what the log is to be told next.
type Buffer struct {
	pending []Start
	// since is when the first of them was added, writtenAt when the log was last told, slot the
	// next key.
	pendingSince, writtenAt time.Time
	slot                    int
}

// Add takes a start.
func (s *Buffer) Add(now time.Time, start Start) {
	if len(s.pending) == 0 {
		s.pendingSince = now
	}
	if len(s.pending) < maxStarts {
		s.pending = append(s.pending, start)
	}
}

// Due says whether the starts that wait get an append of their own.
func (s *Buffer) Due(now time.Time) bool {
	return len(s.pending) > 0 && now.Sub(s.pendingSince) >= FlushAfter
}

// Take returns the starts for an append that is made now, and the slot to keep them in, or
// none: those that have ended well since need not be told.
func (s *Buffer) Take(now time.Time, matters func(Start) bool) (slot int, starts []Start) {
	if len(s.pending) == 0 || now.Sub(s.writtenAt) < MinInterval {
		return 0, nil
	}
	for _, start := range s.pending {
		if matters(start) {
			starts = append(starts, start)
		}
	}
	s.pending = nil
	if len(starts) == 0 {
		return 0, nil
	}
	slot, s.slot, s.writtenAt = s.slot, (s.slot+1)%Slots, now
	return slot, starts
}

// LoggedStarts are the starts of which the log told, by the worker's life.
type LoggedStarts struct{ byLife map[order.Incarnation][]Start }

// Read returns the last start of each task. Records that could not be read are returned too.
func Read(records [][]byte) (LoggedStarts, []error) {
	last := map[job.TaskID]Start{}
	var unread []error
	for _, r := range records {
		starts, err := decode(r)
		if err != nil {
			unread = append(unread, err)
			continue
		}
		for _, s := range starts {
			if s.Run > last[s.Task].Run {
				last[s.Task] = s
			}
		}
	}
	told := LoggedStarts{byLife: map[order.Incarnation][]Start{}}
	for _, s := range slices.SortedFunc(maps.Values(last), Start.compare) {
		told.byLife[s.life()] = append(told.byLife[s.life()], s)
	}
	return told, unread
}

func decode(record []byte) ([]Start, error) {
	var starts []Start
	if err := json.Unmarshal(record, &starts); err != nil {
		return nil, fmt.Errorf("recent: %w", err)
	}
	for _, s := range starts {
		if err := s.validate(); err != nil {
			return nil, err
		}
	}
	return starts, nil
}

func (s Start) compare(o Start) int {
	return cmp.Or(cmp.Compare(s.Task.Job, o.Task.Job), cmp.Compare(s.Task.Instance, o.Task.Instance),
		cmp.Compare(s.Task.Step, o.Task.Step), cmp.Compare(s.Task.Index, o.Task.Index))
}

// StartedOn returns the tasks that were started last on a life of a worker.
func (t LoggedStarts) StartedOn(life order.Incarnation) []Start {
	if life.BornUnixMilli == 0 {
		return t.byLife[life]
	}
	// An earlier release told names only.
	return slices.Concat(t.byLife[life], t.byLife[order.Incarnation{Name: life.Name}])
}

// WorkerCount counts the workers on which a task of a step was started, or its gang.
func (t LoggedStarts) WorkerCount(step job.StepID, gang bool) int {
	if !gang {
		return 1
	}
	n := 0
	for _, starts := range t.byLife {
		if slices.ContainsFunc(starts, func(s Start) bool { return s.Task.StepID == step }) {
			n++
		}
	}
	return n
}

// Forget drops what was started on a life of a worker: it has told itself what it runs.
func (t LoggedStarts) Forget(life order.Incarnation) {
	delete(t.byLife, life)
	delete(t.byLife, order.Incarnation{Name: life.Name})
}
