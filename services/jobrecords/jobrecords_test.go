// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrecords_test

import (
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/stream"
	"saddlevane/services/jobrecords"

	"gotest.tools/v3/assert"
)

func submission(id job.ID) jobrecords.Submission {
	return jobrecords.Submission{
		Queue: job.Queue{Name: "q", Pool: "p"}, Accepted: 7,
		Submission: job.Submission{ID: id, Queue: "q", Steps: []job.Step{{Tasks: 2}}},
	}
}

// withOffsets sets the offset of each record to its index.
func withOffsets(records ...stream.Record) []stream.Record {
	for i := range records {
		records[i].Offset = int64(i)
	}
	return records
}

func TestDecodeReturnsNewestRecords(t *testing.T) {
	blamed := job.Progress{State: job.Running, Steps: []job.StepProgress{{Blame: map[int]job.Blame{1: {Crashes: 2, Odds: 3}}}}}
	s := jobrecords.Decode(withOffsets(
		jobrecords.FenceRecord(), jobrecords.RunTimesRecord(map[string]int{"q": 1}), jobrecords.SpeedsRecord(map[string]int{"w": 2}),
		submission("b").Record(), submission("a").Record(), jobrecords.ProgressRecord("a", job.Progress{State: job.Running}),
		jobrecords.WorkerRecord(order.Worker{Incarnation: order.Incarnation{Name: "w", BornUnixMilli: 7}, Pool: "p"}), jobrecords.WorkerRecord(order.Worker{Incarnation: order.Incarnation{Name: "gone"}}), jobrecords.DropWorker("gone"),
		submission("done").Record(), jobrecords.ProgressRecord("done", job.Progress{State: job.Succeeded, EndedUnixMilli: 9}), jobrecords.DropSubmission("done"),
		jobrecords.ProgressRecord("earlier", job.Progress{State: job.Failed, EndedUnixMilli: 4}),
		jobrecords.ProgressRecord("old", job.Progress{State: job.Failed, EndedUnixMilli: 1}), jobrecords.DropProgress("old"),
		jobrecords.ProgressRecord("a", blamed),
	))
	assert.Equal(t, len(s.Jobs), 2)
	assert.Equal(t, s.Jobs[0].Submission.Submission.ID, job.ID("b"))
	assert.DeepEqual(t, s.Jobs[1].Progress, blamed)
	assert.Equal(t, len(s.Ended), 2)
	assert.Equal(t, s.Ended[0].ID, job.ID("earlier"), "jobs are sorted by the time of their end")
	assert.Equal(t, len(s.Workers), 1)
	assert.Equal(t, s.Workers[0].Incarnation, order.Incarnation{Name: "w", BornUnixMilli: 7})
	assert.Equal(t, string(s.RunTimes), `{"q":1}`)
	assert.Equal(t, string(s.Speeds), `{"w":2}`)
	assert.Equal(t, len(s.Unread), 0)
}

func TestUnreadableRecordDoesNotAffectOthers(t *testing.T) {
	s := jobrecords.Decode(withOffsets(
		submission("a").Record(),
		stream.Record{Key: "s/b", Value: []byte("{")},
		stream.Record{Key: "s/c", Value: submission("x").Record().Value},
		stream.Record{Key: "s/d", Value: []byte(`{"job":{"id":"d","queue":"q","steps":[{"tasks":-1}]}}`)},
		stream.Record{Key: "w/x", Value: []byte("null")},
		submission("e").Record(), stream.Record{Key: "p/e", Value: []byte(`{"steps":[{"b":{"0":{"n":-1}}}]}`)},
		stream.Record{Key: "p/ended", Value: []byte(`{"state":7}`)},
		stream.Record{Key: "unknown", Value: []byte{0xff}},
	))
	assert.Equal(t, len(s.Jobs), 1)
	var unread []string
	for _, u := range s.Unread {
		unread = append(unread, u.Key)
	}
	assert.DeepEqual(t, unread, []string{"s/b", "s/c", "s/d", "p/e", "w/x", "p/ended"})
	assert.DeepEqual(t, s.UnreadWorkers, []string{"x"})
	assert.DeepEqual(t, s.UnreadJobs, []jobrecords.UnreadJob{{ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}, {ID: "ended", Ended: true}})
}

func TestUnresponsiveWorkerRecordHoldsWorkTimes(t *testing.T) {
	run := order.Run{Task: job.TaskID{StepID: job.StepID{Job: "a"}}, Number: 7}
	s := jobrecords.Decode(withOffsets(jobrecords.UnresponsiveWorkerRecord(order.Worker{Incarnation: order.Incarnation{Name: "w"}}, jobrecords.UnresponsiveState{LeaseLeft: 5, Runs: []order.Run{run, run, run}, WorkTimes: []job.Milliseconds{600, -1}})))
	assert.Equal(t, len(s.Workers), 1)
	unresponsive := s.Workers[0].Unresponsive
	worked, known := unresponsive.WorkTime(0)
	assert.Check(t, known && worked == 600*time.Millisecond)
	for _, unknown := range []int{1, 2} {
		_, known = unresponsive.WorkTime(unknown)
		assert.Check(t, !known, "run %d", unknown)
	}
}

func TestWorkerRecordOfEarlierReleaseIsDecoded(t *testing.T) {
	s := jobrecords.Decode(withOffsets(stream.Record{Key: "w/i-7", Value: []byte(`{"ID":"i-7","Address":"1.2.3.4:5","Pool":"p"}`)}))
	assert.Equal(t, len(s.Workers), 1)
	assert.Equal(t, s.Workers[0].Incarnation, order.Incarnation{Name: "i-7"})
	assert.Equal(t, s.Workers[0].Address, "1.2.3.4:5")
}

func TestEndsOfRunsAreRecordedOneByOne(t *testing.T) {
	first := order.End{Number: 9, Run: order.Run{Task: job.TaskID{StepID: job.StepID{Job: "a", Step: 1}, Index: 2}, Number: 7}, Status: order.Done, Checkpoint: "c"}
	second := first
	second.Run.Number = 8
	s := jobrecords.Decode(withOffsets(jobrecords.EndRecord(first), jobrecords.EndRecord(second), jobrecords.DropEnd(second.Run),
		stream.Record{Key: "e/a.0.0.0/1", Value: jobrecords.EndRecord(first).Value}))
	assert.DeepEqual(t, s.Ends, []jobrecords.RunEnd{{Run: first.Run, Status: order.Done, Checkpoint: "c"}})
	assert.Equal(t, len(s.Unread), 1, "the key of the record names another run")
}
