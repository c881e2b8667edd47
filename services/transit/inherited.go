// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package transit

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/modules/ordered"
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

// Exempt says which runs may have been ordered more than once although no record names them, and which records
// a holder has inherited.
type Exempt struct {
	// Run is the number of the exempt run of the holder, and Earlier those of earlier holders.
	Run     int64   `json:"run"`
	Earlier []int64 `json:"earlier,omitempty"`
	// FirstRecord is the number of the holder's first record. Those with lower numbers are of earlier holders.
	FirstRecord int64 `json:"first,omitempty"`
	// HeldFor is how long before the append the holder had claimed the cell.
	HeldFor job.Milliseconds `json:"held_ms"`
}

// Log is what the log says about the starts of earlier holders.
type Log struct {
	records []loggedRecord
	// exempt is nil if the log was written by a release that has no exempt runs. isExemptUnknown is set if it
	// cannot be decoded.
	exempt          *Exempt
	isExemptUnknown bool
}

// loggedRecord is a record of starts in the log.
type loggedRecord struct {
	number int64
	starts []Start
}

// AddRecord adds a record of starts. Those that cannot be decoded are left out.
func (l *Log) AddRecord(number int64, value []byte) error {
	r := loggedRecord{number: number}
	var starts []Start
	var all []error
	if err := json.Unmarshal(value, &starts); err != nil {
		all = append(all, fmt.Errorf("transit: decode record: %w", err))
	}
	for _, s := range starts {
		if err := s.validate(); err != nil {
			all = append(all, err)
			continue
		}
		r.starts = append(r.starts, s)
	}
	l.records = append(l.records, r)
	return errors.Join(all...)
}

// SetExempt sets the exempt runs. If they cannot be decoded, every run counts as exempt.
func (l *Log) SetExempt(value []byte) error {
	var e Exempt
	if err := json.Unmarshal(value, &e); err != nil {
		l.isExemptUnknown = true
		return fmt.Errorf("transit: decode exempt runs: %w", err)
	}
	l.exempt = &e
	return nil
}

// Inherited are the starts of earlier holders that may still be carried out. The zero value has none.
type Inherited struct {
	// claimedAt is when this holder claimed the cell. Earlier holders sent no order after that.
	claimedAt time.Time
	records   []*record
	// starts are those that the records name. runs, steps and workers have the last moments at which one of them
	// may be carried out, exempt those of the exempt runs.
	starts  []Start
	runs    map[order.Run]time.Time
	steps   map[job.StepID]time.Time
	workers map[string]time.Time
	exempt  map[int64]time.Time
	// isExemptUnknown is set if every run counts as exempt.
	isExemptUnknown bool
}

// Inherit returns the starts of which the log, read at now, says that they may be carried out, for a holder that
// claimed the cell at claimedAt.
func (l *Log) Inherit(now, claimedAt time.Time) Inherited {
	all := Inherited{
		claimedAt: claimedAt, isExemptUnknown: l.isExemptUnknown,
		runs: map[order.Run]time.Time{}, steps: map[job.StepID]time.Time{}, workers: map[string]time.Time{}, exempt: map[int64]time.Time{},
	}
	last, earlier := claimedAt.Add(MaxDelay), claimedAt.Add(MaxDelay)
	var firstRecord int64
	if l.exempt != nil {
		// What the last holder had inherited was sent before it claimed the cell, and it made the append before now.
		earlier = ordered.Earlier(last, now.Add(MaxDelay-l.exempt.HeldFor.Duration()))
		firstRecord = l.exempt.FirstRecord
		all.addExempt(now, l.exempt.Run, last)
		for _, run := range l.exempt.Earlier {
			all.addExempt(now, run, earlier)
		}
	}
	for _, r := range l.records {
		until := last
		if r.number < firstRecord {
			until = earlier
		}
		all.addRecord(now, r, until)
	}
	return all
}

// addExempt adds an exempt run whose orders are over at until.
func (i *Inherited) addExempt(now time.Time, run int64, until time.Time) {
	if now.Before(until) {
		i.exempt[run] = until
	}
}

// addRecord adds a record whose starts are over at until.
func (i *Inherited) addRecord(now time.Time, r loggedRecord, until time.Time) {
	i.records = append(i.records, &record{number: r.number, until: until, isLogged: true})
	if !now.Before(until) {
		return
	}
	i.starts = append(i.starts, r.starts...)
	for _, s := range r.starts {
		i.runs[s.Run()] = ordered.Later(i.runs[s.Run()], until)
		i.steps[s.Task.StepID] = ordered.Later(i.steps[s.Task.StepID], until)
		i.workers[s.Worker] = ordered.Later(i.workers[s.Worker], until)
	}
}

// Starts returns the starts that the log names.
func (i *Inherited) Starts() []Start { return i.starts }

// UntilOf returns the last moment at which an order to start a run may be carried out, or the zero time if there
// is none in transit.
func (i *Inherited) UntilOf(run order.Run) time.Time {
	until := ordered.Later(i.runs[run], i.exempt[run.Number])
	if i.isExemptUnknown {
		until = i.claimedAt.Add(MaxDelay)
	}
	return until
}

// UntilOn returns the last moment at which a start that the log names may be carried out by a worker of the
// given name, or the zero time if there is none.
func (i *Inherited) UntilOn(worker string) time.Time { return i.workers[worker] }

// UntilOfStep returns the last moment at which a start of a run, or of any task of its step, may be carried out, or
// the zero time if there is none.
func (i *Inherited) UntilOfStep(run order.Run) time.Time {
	return ordered.Later(i.UntilOf(run), i.steps[run.Task.StepID])
}
