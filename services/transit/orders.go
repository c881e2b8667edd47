// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package transit

import (
	"slices"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/modules/ordered"
)

const (
	// recordAfterDivisor is the part of its timeout after which an order without an answer is recorded. The
	// rest is for the append, so that a repetition after the timeout need not wait for the log.
	recordAfterDivisor = 3
	// maxRecordDelay is how long such a start waits for another append before it gets one of its own.
	maxRecordDelay = 100 * time.Millisecond
	// maxRecorded bounds the starts in one record, to about 7 kB.
	maxRecorded = 100
	// minExemptInterval is the minimum time between two appends that change which run is exempt.
	minExemptInterval = 100 * time.Millisecond
)

// Orders keeps account of the start orders of one holder that were not all answered, and of what the log says
// about them. Records name the starts that were not answered in time, and a start is repeated only if a record
// names it. So of a run that the log does not name there was one order only: if a worker has it, nothing of it
// is in transit.
//
// One run number at a time is exempt from that: the one that was the next when the log last got another one. In a
// cell with few starts that is the number of each new run, so its repetition does not wait for the log. The next
// holder counts exempt runs as repeated.
//
// The zero value has no orders.
type Orders struct {
	runs map[order.Run]*runOrders
	// unrecorded are the runs that no record names yet, in the order in which they were first ordered.
	// unanswered are those of which an order got no answer.
	unrecorded, unanswered []*runOrders
	// records are those in the log, the oldest first, and nextNumber is the number of the next one.
	records    []*record
	nextNumber int64
	// exempt is the run number that was last added to an append as exempt, at exemptAt, or 0. It is exempt once
	// the log has confirmed that, which sets isExemptLogged; from the append on no earlier one is.
	exempt         int64
	exemptAt       time.Time
	isExemptLogged bool
	// claimedAt is when the holder claimed the cell, firstRecord the number of its first record.
	claimedAt   time.Time
	firstRecord int64
	// inheritedExempt has the run numbers that were exempt under earlier holders, and until when they matter.
	inheritedExempt map[int64]time.Time
}

// runOrders are the orders to start one run.
type runOrders struct {
	start Start
	// unended counts the orders whose call has not ended.
	unended int
	// until is the last moment at which an order without an answer may be carried out, or zero if there is none.
	until time.Time
	// recordAt is when the run is recorded if its orders are not all answered by then.
	recordAt time.Time
	// record is the record that names the run, or nil.
	record *record
	// isAwaited is set while a repetition waits for the record.
	isAwaited bool
}

// record is a record in the log, or in the append that is being made.
type record struct {
	number int64
	runs   []*runOrders
	// until is when the starts of an inherited record are over.
	until time.Time
	// isLogged is set once the log has confirmed the record.
	isLogged bool
}

// isOver reports whether no order can be carried out any more.
func (r *runOrders) isOver(now time.Time) bool { return r.unended == 0 && !now.Before(r.until) }

// isOver reports whether nothing that the record names can be carried out any more.
func (r *record) isOver(now time.Time) bool {
	return !now.Before(r.until) && !slices.ContainsFunc(r.runs, func(run *runOrders) bool { return !run.isOver(now) })
}

// Inherit takes over what the log says about the starts of earlier holders.
func (o *Orders) Inherit(i Inherited) {
	o.claimedAt, o.inheritedExempt, o.records = i.claimedAt, i.exempt, i.records
	for _, r := range o.records {
		o.nextNumber = max(o.nextNumber, r.number+1)
	}
	o.firstRecord = o.nextNumber
}

// Send records that an order to start a run is sent at now, and the timeout of its call.
func (o *Orders) Send(now time.Time, start Start, timeout time.Duration) {
	r := o.runs[start.Run()]
	if r == nil {
		r = &runOrders{start: start, recordAt: now.Add(timeout / recordAfterDivisor)}
		if o.runs == nil {
			o.runs = map[order.Run]*runOrders{}
		}
		o.runs[start.Run()] = r
		o.unrecorded = append(o.unrecorded, r)
	}
	r.unended++
}

// End records that the call of an order to start a run has ended, with or without an answer.
func (o *Orders) End(now time.Time, run order.Run, answered bool) {
	r := o.runs[run]
	if r == nil || r.unended == 0 {
		return
	}
	r.unended--
	if !answered {
		if r.until.IsZero() && r.record == nil {
			o.unanswered = append(o.unanswered, r)
			r.recordAt = ordered.Earlier(r.recordAt, now)
		}
		r.until = now.Add(MaxDelay)
	}
	if r.unended == 0 && r.until.IsZero() {
		delete(o.runs, run)
	}
}

// MayRepeat reports whether an order to start a run may be sent again.
func (o *Orders) MayRepeat(run order.Run) bool {
	r := o.runs[run]
	return r == nil || r.record != nil && r.record.isLogged || o.isExemptLogged && run.Number == o.exempt
}

// Await has the record that names a run made at once, because a repetition waits for it.
func (o *Orders) Await(run order.Run) {
	if r := o.runs[run]; r != nil {
		r.isAwaited = true
	}
}

// NeedsAppend reports whether a run has to be recorded and can wait no longer for another append.
func (o *Orders) NeedsAppend(now time.Time) bool {
	r := o.next(now)
	return r != nil && (r.isAwaited || now.Sub(r.recordAt) >= maxRecordDelay)
}

// next returns a run that has to be recorded at a time, or nil if there is none.
func (o *Orders) next(now time.Time) *runOrders {
	isDone := func(r *runOrders) bool { return r.record != nil || r.isOver(now) }
	for len(o.unrecorded) > 0 && isDone(o.unrecorded[0]) {
		o.forgetIfOver(now, o.unrecorded[0])
		o.unrecorded = o.unrecorded[1:]
	}
	for len(o.unanswered) > 0 && isDone(o.unanswered[0]) {
		o.unanswered = o.unanswered[1:]
	}
	for _, queue := range [][]*runOrders{o.unanswered, o.unrecorded} {
		if len(queue) > 0 && !now.Before(queue[0].recordAt) {
			return queue[0]
		}
	}
	return nil
}

// forgetIfOver removes a run whose orders are over. The same run may have been ordered again since.
func (o *Orders) forgetIfOver(now time.Time, r *runOrders) {
	if r.isOver(now) && o.runs[r.start.Run()] == r {
		delete(o.runs, r.start.Run())
	}
}

// Take returns the starts that have to be recorded in an append that is made at now, and the number of the
// record. There is no record if there are no starts.
func (o *Orders) Take(now time.Time) (number int64, starts []Start) {
	taken := &record{number: o.nextNumber}
	for r := o.next(now); r != nil && len(starts) < maxRecorded; r = o.next(now) {
		r.record = taken
		taken.runs = append(taken.runs, r)
		starts = append(starts, r.start)
	}
	if len(starts) == 0 {
		return 0, nil
	}
	o.nextNumber++
	o.records = append(o.records, taken)
	return taken.number, starts
}

// TakeExempt returns which run is exempt once an append that is made at now has succeeded, given the number of the
// next run. It returns false if that need not change yet. It is called after Take.
func (o *Orders) TakeExempt(now time.Time, next int64) (Exempt, bool) {
	// A run that was exempt and repeated must be in a record before another one is exempt.
	if next == o.exempt || now.Sub(o.exemptAt) < minExemptInterval || o.next(now) != nil {
		return Exempt{}, false
	}
	o.exempt, o.exemptAt, o.isExemptLogged = next, now, false
	e := Exempt{Run: next, FirstRecord: o.firstRecord, HeldFor: job.Milliseconds(now.Sub(o.claimedAt).Milliseconds())}
	for run, until := range ordered.Map(o.inheritedExempt) {
		if now.Before(until) {
			e.Earlier = append(e.Earlier, run)
		}
	}
	return e, true
}

// MarkLogged records that the log has what was taken last.
func (o *Orders) MarkLogged() {
	o.isExemptLogged = true
	for _, r := range o.records {
		r.isLogged = true
	}
}

// TakeObsolete returns the numbers of the records that can be deleted from the log, because nothing that they
// name can be carried out any more. Each is returned once.
func (o *Orders) TakeObsolete(now time.Time) (numbers []int64) {
	o.records = slices.DeleteFunc(o.records, func(r *record) bool {
		if !r.isOver(now) {
			return false
		}
		for _, run := range r.runs {
			o.forgetIfOver(now, run)
		}
		numbers = append(numbers, r.number)
		return true
	})
	return numbers
}
