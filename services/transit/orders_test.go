// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package transit_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/services/transit"

	"gotest.tools/v3/assert"
)

// orderTimeout is the timeout of the calls in these tests.
const orderTimeout = 300 * time.Millisecond

// start returns the order to start a run of a task of a job on worker w.
func start(id job.ID, run int64) transit.Start {
	return transit.Start{Task: job.TaskID{StepID: job.StepID{Job: id}}, Number: run, Worker: "w"}
}

func TestStartIsRecordedOnceItIsSlowToBeAnswered(t *testing.T) {
	var o transit.Orders
	o.Send(now, start("answered", 1), orderTimeout)
	o.Send(now, start("slow", 2), orderTimeout)
	o.End(now.Add(time.Millisecond), start("answered", 1).Run(), true)
	_, none := o.Take(now.Add(orderTimeout / 4))
	assert.Equal(t, len(none), 0)
	due := now.Add(orderTimeout / 3)
	assert.Check(t, !o.NeedsAppend(due), "another append may follow soon")
	assert.Check(t, o.NeedsAppend(due.Add(100*time.Millisecond)))
	number, starts := o.Take(due)
	assert.Equal(t, number, int64(0))
	assert.DeepEqual(t, starts, []transit.Start{start("slow", 2)})
	assert.Check(t, !o.NeedsAppend(due.Add(time.Hour)))
}

func TestStartIsRepeatedOnceTheLogNamesIt(t *testing.T) {
	var o transit.Orders
	run := start("j", 1).Run()
	assert.Check(t, o.MayRepeat(run), "it was not ordered")
	o.Send(now, start("j", 1), orderTimeout)
	o.End(now, run, false)
	assert.Check(t, !o.MayRepeat(run))
	assert.Check(t, !o.NeedsAppend(now), "another append may follow soon")
	o.Await(run)
	assert.Check(t, o.NeedsAppend(now), "a repetition waits")
	_, starts := o.Take(now)
	assert.Equal(t, len(starts), 1)
	assert.Check(t, !o.MayRepeat(run), "the append has not succeeded yet")
	o.MarkLogged()
	assert.Check(t, o.MayRepeat(run))
}

func TestOneRunNumberIsExempt(t *testing.T) {
	var o transit.Orders
	exempt, isNew := o.TakeExempt(now, 5)
	assert.Check(t, isNew)
	assert.Equal(t, exempt.Run, int64(5))
	o.Send(now, start("j", 5), orderTimeout)
	o.End(now, start("j", 5).Run(), false)
	assert.Check(t, !o.MayRepeat(start("j", 5).Run()), "the log may not have it yet")
	o.MarkLogged()
	assert.Check(t, o.MayRepeat(start("j", 5).Run()))

	later := now.Add(time.Second)
	_, isNew = o.TakeExempt(later, 6)
	assert.Check(t, !isNew, "the run may have been repeated, and no record names it")
	o.Take(later)
	exempt, isNew = o.TakeExempt(later, 6)
	assert.Check(t, isNew)
	assert.Equal(t, exempt.Run, int64(6))
	_, isNew = o.TakeExempt(later.Add(time.Millisecond), 7)
	assert.Check(t, !isNew, "the last change is less than 100 ms old")
	_, isNew = o.TakeExempt(later.Add(time.Hour), 6)
	assert.Check(t, !isNew, "nothing has changed")
}

func TestRecordIsObsoleteOnceItsOrdersAreOver(t *testing.T) {
	var o transit.Orders
	o.Send(now, start("unanswered", 1), orderTimeout)
	o.Send(now, start("answered", 2), orderTimeout)
	o.Take(now.Add(orderTimeout / 3))
	end := now.Add(orderTimeout)
	o.End(end, start("answered", 2).Run(), true)
	assert.Equal(t, len(o.TakeObsolete(end.Add(time.Hour))), 0, "a call has not ended")
	o.End(end, start("unanswered", 1).Run(), false)
	assert.Equal(t, len(o.TakeObsolete(end.Add(transit.MaxDelay-time.Millisecond))), 0)
	assert.DeepEqual(t, o.TakeObsolete(end.Add(transit.MaxDelay)), []int64{0})
	assert.Equal(t, len(o.TakeObsolete(end.Add(time.Hour))), 0, "it is returned once")
	assert.Check(t, o.MayRepeat(start("unanswered", 1).Run()), "it is forgotten")
}

func TestRecordsAreBounded(t *testing.T) {
	var o transit.Orders
	for i := range 250 {
		o.Send(now, start(job.ID(fmt.Sprint("j", i)), int64(i+1)), orderTimeout)
	}
	var sizes []int
	for range 4 {
		_, starts := o.Take(now.Add(orderTimeout))
		sizes = append(sizes, len(starts))
	}
	assert.DeepEqual(t, sizes, []int{100, 100, 50, 0})
}

// encode returns the JSON encoding of a value.
func encode(t *testing.T, v any) []byte {
	t.Helper()
	data, err := json.Marshal(v)
	assert.NilError(t, err)
	return data
}

// logOf returns a log with a record of starts and the exempt runs.
func logOf(t *testing.T, number int64, exempt transit.Exempt, starts ...transit.Start) *transit.Log {
	t.Helper()
	var log transit.Log
	assert.NilError(t, log.AddRecord(number, encode(t, starts)))
	assert.NilError(t, log.SetExempt(encode(t, exempt)))
	return &log
}

func TestLaterHolderKnowsWhichStartsMayBeCarriedOut(t *testing.T) {
	log := logOf(t, 7, transit.Exempt{Run: 9}, start("j", 1))
	until := now.Add(transit.MaxDelay)
	inherited := log.Inherit(now.Add(time.Second), now)
	assert.Equal(t, inherited.UntilOf(start("j", 1).Run()), until)
	assert.Equal(t, inherited.UntilOf(start("k", 9).Run()), until, "it may have been repeated although the log does not name it")
	assert.Check(t, inherited.UntilOf(start("j", 2).Run()).IsZero())
	assert.Equal(t, inherited.UntilOn("w"), until)
	assert.Check(t, inherited.UntilOn("v").IsZero())
	assert.Equal(t, inherited.UntilOfStep(start("j", 2).Run()), until)
	assert.Check(t, inherited.UntilOfStep(start("k", 2).Run()).IsZero())

	var o transit.Orders
	o.Inherit(inherited)
	exempt, _ := o.TakeExempt(now.Add(2*time.Second), 20)
	assert.DeepEqual(t, exempt, transit.Exempt{Run: 20, Earlier: []int64{9}, FirstRecord: 8, HeldFor: 2000})
	exempt, _ = o.TakeExempt(until, 21)
	assert.Equal(t, len(exempt.Earlier), 0)
	assert.Equal(t, len(o.TakeObsolete(until.Add(-time.Millisecond))), 0)
	assert.DeepEqual(t, o.TakeObsolete(until), []int64{7})
	o.Send(until, start("j", 30), orderTimeout)
	number, _ := o.Take(until.Add(orderTimeout))
	assert.Equal(t, number, int64(8), "a record of an earlier holder must not be replaced")
}

// The last holder had held the cell for a while when it made its last record. What it had inherited itself is older than that.
func TestStartsThatWereInheritedBeforeAreOverEarlier(t *testing.T) {
	exempt := transit.Exempt{Run: 9, Earlier: []int64{3}, FirstRecord: 8, HeldFor: 12_000}
	log := logOf(t, 7, exempt, start("j", 1))
	inherited := log.Inherit(now, now.Add(-time.Second))
	earlier := now.Add(transit.MaxDelay - 12*time.Second)
	assert.Equal(t, inherited.UntilOf(start("j", 1).Run()), earlier)
	assert.Equal(t, inherited.UntilOf(start("k", 3).Run()), earlier)
	assert.Equal(t, inherited.UntilOf(start("k", 9).Run()), now.Add(transit.MaxDelay-time.Second))

	exempt.HeldFor = 16_000
	log = logOf(t, 7, exempt, start("j", 1))
	inherited = log.Inherit(now, now.Add(-time.Second))
	assert.Equal(t, len(inherited.Starts()), 0)
	var o transit.Orders
	o.Inherit(inherited)
	assert.DeepEqual(t, o.TakeObsolete(now), []int64{7})
}

func TestWhatCannotBeDecodedCountsAsUnanswered(t *testing.T) {
	var log transit.Log
	assert.ErrorContains(t, log.AddRecord(3, []byte(`[{"t":"j.0.0.0","n":1,"w":"w"},{"t":"j.0.0.0","n":0,"w":"w"}]`)), "invalid start")
	assert.ErrorContains(t, log.AddRecord(4, []byte("{")), "decode record")
	assert.ErrorContains(t, log.SetExempt([]byte("{")), "decode exempt runs")
	inherited := log.Inherit(now, now)
	assert.Equal(t, len(inherited.Starts()), 1)
	assert.Equal(t, inherited.UntilOf(start("any", 100).Run()), now.Add(transit.MaxDelay))
	var o transit.Orders
	o.Inherit(inherited)
	assert.DeepEqual(t, o.TakeObsolete(now.Add(transit.MaxDelay)), []int64{3, 4})
}
