// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package transit

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
)

// Start is a start order that was not answered in time, as the log keeps it.
type Start struct {
	Task   job.TaskID `json:"t"`
	Number int64      `json:"n"`
	// Worker is the name of the worker. Any of its incarnations may carry the order out.
	Worker string `json:"w"`
}

// Run returns the run that the order starts.
func (s Start) Run() order.Run { return order.Run{Task: s.Task, Number: s.Number} }

// validate returns an error if a stored start is invalid.
func (s Start) validate() error {
	if s.Worker == "" || s.Task.Job == "" || s.Number <= 0 {
		return fmt.Errorf("transit: invalid start %+v", s)
	}
	return nil
}

// Exempt has the numbers of the runs that may have been ordered more than once although no record names them.
type Exempt []int64

// Log is what the log says about the starts of earlier holders.
type Log struct {
	// Records are the numbers of the records of starts, and Starts the starts that they name.
	Records []int64
	Starts  []Start
	// Exempt are the runs that were exempt. AllExempt is set if they are not known.
	Exempt    Exempt
	AllExempt bool
}

// AddRecord adds a record of starts.
func (l *Log) AddRecord(number int64, value []byte) error {
	l.Records = append(l.Records, number)
	var starts []Start
	if err := json.Unmarshal(value, &starts); err != nil {
		return fmt.Errorf("transit: decode record: %w", err)
	}
	var all []error
	for _, s := range starts {
		if err := s.validate(); err != nil {
			all = append(all, err)
			continue
		}
		l.Starts = append(l.Starts, s)
	}
	return errors.Join(all...)
}

// SetExempt sets the exempt runs. If they cannot be decoded, all are.
func (l *Log) SetExempt(value []byte) error {
	if err := json.Unmarshal(value, &l.Exempt); err != nil {
		l.AllExempt = true
		return fmt.Errorf("transit: decode exempt runs: %w", err)
	}
	return nil
}

// Inherited are the starts of earlier holders that may still be carried out. The zero value has none.
type Inherited struct {
	runs    map[order.Run]bool
	steps   map[job.StepID]bool
	workers map[string]bool
	exempt  Exempt
	// areAllExempt is set if every run counts as exempt.
	areAllExempt bool
	until        time.Time
}

// NewInherited returns the starts of which a log says that they may be carried out until a time.
func NewInherited(log Log, until time.Time) Inherited {
	all := Inherited{runs: map[order.Run]bool{}, steps: map[job.StepID]bool{}, workers: map[string]bool{}, exempt: log.Exempt, areAllExempt: log.AllExempt, until: until}
	for _, s := range log.Starts {
		all.runs[s.Run()], all.steps[s.Task.StepID], all.workers[s.Worker] = true, true, true
	}
	return all
}

// Len returns the number of runs that the log names.
func (i *Inherited) Len() int { return len(i.runs) }

// Has reports whether an order to start a run may have been in transit when the earlier holder was lost.
func (i *Inherited) Has(run order.Run) bool {
	return i.runs[run] || i.areAllExempt || slices.Contains(i.exempt, run.Number)
}

// UntilOn returns the last moment at which a start that the log names may be carried out by a worker of the
// given name, or the zero time if there is none.
func (i *Inherited) UntilOn(worker string) time.Time {
	if !i.workers[worker] {
		return time.Time{}
	}
	return i.until
}

// UntilOfStep returns the last moment at which a start of a run, or of any task of its step, may be carried out, or
// the zero time if there is none.
func (i *Inherited) UntilOfStep(run order.Run) time.Time {
	if !i.Has(run) && !i.steps[run.Task.StepID] {
		return time.Time{}
	}
	return i.until
}
