// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package kept writes what the log keeps of a cell's submitted jobs, and reads it back for
// the next holder. A record that cannot be read takes nothing from the others.
package kept

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/stream"
)

// Keys of the stream of jobs start with what they hold.
const (
	keySubmission = "s/"
	keyProgress   = "p/"
	keyWorker     = "w/"
	keyFence      = "fence"
	// keyTimes holds what is known of run times, so that the next holder need not
	// learn it anew.
	keyTimes = "times"
	// keyCrashes holds how often workers crash by themselves.
	keyCrashes = "crashes"
	// keyStarts hold which tasks were started last.
	keyStarts = "r/"
)

// Submission is what is kept of a job that was accepted.
type Submission struct {
	// Queue is how the job's queue was treated when it was accepted.
	Queue      job.Queue      `json:"queue"`
	Submission job.Submission `json:"job"`
	// Accepted is when it was accepted, in milliseconds since 1970.
	Accepted int64 `json:"accepted_unix_ms"`
}

// Record is the log's record of the submission.
func (s Submission) Record() stream.Record {
	return newRecord(keySubmission+string(s.Submission.ID), s)
}

// ProgressRecord is the record of a job's progress.
func ProgressRecord(id job.ID, p job.Progress) stream.Record {
	return newRecord(keyProgress+string(id), p)
}

// KnownWorker is what is kept of a worker on which tasks may be started.
type KnownWorker struct {
	order.Worker
	// Silent is set if it did not answer, and nothing has been started on it since.
	Unresponsive *UnresponsiveState `json:"silent,omitempty"`
}

// UnresponsiveState is what is kept of a worker that does not answer.
type UnresponsiveState struct {
	// Left is how long its lease lasted at most when that was written.
	LeaseLeft job.Milliseconds `json:"left_ms"`
	// Runs are all that may be at work on it.
	Runs []order.Run `json:"runs,omitempty"`
	// Worked is for how long each of them had been at work when it fell silent, or -1 where
	// that is not known: if the worker has crashed, the next holder judges by it.
	WorkTimes []job.Milliseconds `json:"worked_ms,omitempty"`
	// Late is by how much that may have been seen too late.
	DetectionDelay job.Milliseconds `json:"late_ms,omitempty"`
}

// WorkTime returns for how long a run had been at work, if that is known.
func (s *UnresponsiveState) WorkTime(run int) (time.Duration, bool) {
	if run >= len(s.WorkTimes) || s.WorkTimes[run] < 0 {
		return 0, false
	}
	return s.WorkTimes[run].Duration(), true
}

// WorkerRecord is the record of a worker on which tasks may be started.
func WorkerRecord(w order.Worker) stream.Record {
	return newRecord(keyWorker+w.Name, KnownWorker{Worker: w})
}

// UnresponsiveWorkerRecord is the record of a worker that does not answer, and on which nothing is
// started until Worker is kept of it again.
func UnresponsiveWorkerRecord(w order.Worker, s UnresponsiveState) stream.Record {
	return newRecord(keyWorker+w.Name, KnownWorker{Worker: w, Unresponsive: &s})
}

// RunTimesRecord is the record of what is known of run times.
func RunTimesRecord(times any) stream.Record { return newRecord(keyTimes, times) }

// CrashRateRecord is the record of how often workers crash by themselves.
func CrashRateRecord(learned any) stream.Record { return newRecord(keyCrashes, learned) }

// RecentStartsRecord is the record, of those that the log keeps of them, of tasks that were started last.
func RecentStartsRecord(slot int, starts any) stream.Record {
	return newRecord(keyStarts+strconv.Itoa(slot), starts)
}

// FenceRecord is a record that says nothing: the append that brings it refuses earlier holders.
func FenceRecord() stream.Record { return stream.Record{Key: keyFence, Value: []byte{'1'}} }

// DropSubmission, DropProgress and DropWorker drop what was kept.
func DropSubmission(id job.ID) stream.Record { return stream.Record{Key: keySubmission + string(id)} }

// DropProgress drops what was kept of an ended job.
func DropProgress(id job.ID) stream.Record { return stream.Record{Key: keyProgress + string(id)} }

// DropWorker drops a worker of which no life is known any more.
func DropWorker(name string) stream.Record { return stream.Record{Key: keyWorker + name} }

// newRecord returns a record of a value that has only plain fields.
func newRecord(key string, v any) stream.Record {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return stream.Record{Key: key, Value: value}
}

// State is what the log keeps.
type State struct {
	// Jobs are those that have not ended, in the order of their records, Ended the others,
	// the first to end first.
	Jobs    []UnfinishedJob
	Ended   []EndedJob
	Workers []KnownWorker
	// Times is what is known of run times, or nil.
	RunTimes []byte
	// Crashes is how often workers crash by themselves, or nil.
	CrashRate []byte
	// Starts are the records of which tasks were started last.
	RecentStarts [][]byte
	// Unread are the records that could not be read.
	Unread []Unread
}

// UnfinishedJob is a job that has not ended.
type UnfinishedJob struct {
	Submission
	Progress job.Progress
}

// EndedJob is a job of which only the final state is kept.
type EndedJob struct {
	ID       job.ID
	Progress job.Progress
}

// Unread is a record that could not be read, and why.
type Unread struct{ Key, Reason string }

// Decode returns what some records keep, of which the newest of each key counts.
func Decode(records []stream.Record) State {
	newest := map[string]stream.Record{}
	for _, r := range records {
		if n, known := newest[r.Key]; !known || r.Offset >= n.Offset {
			newest[r.Key] = r
		}
	}
	var s State
	s.RunTimes, s.CrashRate = newest[keyTimes].Value, newest[keyCrashes].Value
	inOrder := slices.SortedFunc(maps.Values(newest), func(a, b stream.Record) int {
		return cmp.Or(cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.Key, b.Key))
	})
	open := map[job.ID]bool{}
	for _, r := range inOrder {
		if id, ok := strings.CutPrefix(r.Key, keySubmission); ok && !r.IsTombstone() {
			open[job.ID(id)] = s.decodeJob(job.ID(id), r, newest[keyProgress+id])
		}
	}
	for _, r := range inOrder {
		s.decodeOther(r, open)
	}
	slices.SortStableFunc(s.Ended, func(a, b EndedJob) int { return cmp.Compare(a.Progress.EndedUnixMilli, b.Progress.EndedUnixMilli) })
	return s
}

// decodeJob reads a job that has not ended, and returns whether it could.
func (s *State) decodeJob(id job.ID, submission, progress stream.Record) bool {
	var j UnfinishedJob
	err := json.Unmarshal(submission.Value, &j.Submission)
	if err == nil && j.Submission.Submission.ID != id {
		err = fmt.Errorf("it is that of job %q", j.Submission.Submission.ID)
	}
	if err == nil {
		err = j.Submission.Submission.Check()
	}
	if err != nil {
		s.addUnread(submission.Key, err)
		return false
	}
	if len(progress.Value) > 0 {
		err = json.Unmarshal(progress.Value, &j.Progress)
	}
	if err != nil {
		s.addUnread(progress.Key, err)
		return false
	}
	s.Jobs = append(s.Jobs, j)
	return true
}

// decodeOther reads a record that is not of a job which has not ended.
func (s *State) decodeOther(r stream.Record, open map[job.ID]bool) {
	if r.IsTombstone() {
		return
	}
	if id, ok := strings.CutPrefix(r.Key, keyProgress); ok {
		isOpen, submitted := open[job.ID(id)]
		if !isOpen {
			s.decodeEnded(job.ID(id), r, submitted)
		}
	}
	if strings.HasPrefix(r.Key, keyStarts) {
		s.RecentStarts = append(s.RecentStarts, r.Value)
	}
	if _, ok := strings.CutPrefix(r.Key, keyWorker); ok {
		var w KnownWorker
		err := json.Unmarshal(r.Value, &w)
		if err == nil && w.Name == "" {
			err = fmt.Errorf("it has no name")
		}
		if err != nil {
			s.addUnread(r.Key, err)
			return
		}
		s.Workers = append(s.Workers, w)
	}
}

// decodeEnded reads what is kept of a job that may have ended. Told says that the job is
// among the unread already.
func (s *State) decodeEnded(id job.ID, r stream.Record, told bool) {
	var p job.Progress
	if err := json.Unmarshal(r.Value, &p); err != nil {
		if !told {
			s.addUnread(r.Key, err)
		}
		return
	}
	if p.State.IsFinal() {
		s.Ended = append(s.Ended, EndedJob{ID: id, Progress: p})
	}
}

func (s *State) addUnread(key string, err error) {
	s.Unread = append(s.Unread, Unread{Key: key, Reason: err.Error()})
}
