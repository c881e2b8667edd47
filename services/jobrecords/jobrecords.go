// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package jobrecords encodes the records of a cell's jobs and workers in the log's stream of jobs, and
// decodes them for the next holder. A record that cannot be decoded does not affect the others.
package jobrecords

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

// The keys of the records in the stream of jobs. Those that end with a slash are prefixes.
const (
	keySubmission = "s/"
	keyProgress   = "p/"
	keyWorker     = "w/"
	keyFence      = "fence"
	// keyTimes is the key of the observed run times, so that the next holder does not have
	// to observe them again.
	keyTimes = "times"
	// keySpeeds is the key of the workers' speeds.
	keySpeeds = "speeds"
	// keyCrashes is the key of the rate at which workers crash without a task as the cause.
	keyCrashes = "crashes"
	// keyStarts is the prefix of the records of recently started tasks, one for each slot.
	keyStarts = "r/"
	// keyInTransit is the prefix of the records of starts in transit, which are numbered.
	keyInTransit = "u/"
	// keyExempt is the key of the runs that need no such record.
	keyExempt = "exempt"
	// keyEnd is the prefix of the records of single ends of runs.
	keyEnd = "e/"
)

// Submission is the recorded submission of an accepted job.
type Submission struct {
	// Queue is the configuration of the job's queue at the time of acceptance, ConfigVersion the version of the
	// configuration, or 0 in records of earlier releases.
	Queue         job.Queue      `json:"queue"`
	ConfigVersion int64          `json:"config,omitempty"`
	Submission    job.Submission `json:"job"`
	// Accepted is the time of acceptance, in Unix milliseconds.
	Accepted int64 `json:"accepted_unix_ms"`
}

// Record returns the record of the submission.
func (s Submission) Record() stream.Record {
	return newRecord(keySubmission+string(s.Submission.ID), s)
}

// ProgressRecord returns the record of a job's progress.
func ProgressRecord(id job.ID, p job.Progress) stream.Record {
	return newRecord(keyProgress+string(id), p)
}

// KnownWorker is the recorded state of a worker on which tasks may have been started.
type KnownWorker struct {
	order.Worker
	// Unresponsive is set if the worker did not answer when the record was written. No task
	// has been started on it since.
	Unresponsive *UnresponsiveState `json:"silent,omitempty"`
}

// UnresponsiveState is the recorded state of a worker that does not answer.
type UnresponsiveState struct {
	// LeaseLeft is the longest remaining time of the worker's lease when the record was
	// written. Until the log has a later record, no extension lasts longer than that.
	LeaseLeft job.Milliseconds `json:"left_ms"`
	// Runs are all runs that may be active on the worker.
	Runs []order.Run `json:"runs,omitempty"`
	// WorkTimes is how long each of the runs had been active when the worker stopped
	// answering, or -1 if that is unknown. It may be shorter than Runs. If the worker has
	// crashed, the next holder uses these times to find the task to blame.
	WorkTimes []job.Milliseconds `json:"worked_ms,omitempty"`
	// DetectionDelay is the longest time that may have passed between the moment the worker
	// stopped answering and its detection.
	DetectionDelay job.Milliseconds `json:"late_ms,omitempty"`
}

// WorkTime returns how long the run with the given index in Runs had been active, and whether
// that is known.
func (s *UnresponsiveState) WorkTime(run int) (time.Duration, bool) {
	if run >= len(s.WorkTimes) || s.WorkTimes[run] < 0 {
		return 0, false
	}
	return s.WorkTimes[run].Duration(), true
}

// WorkerRecord returns the record of a worker that answers, on which tasks may be started.
func WorkerRecord(w order.Worker) stream.Record {
	return newRecord(keyWorker+w.Name, KnownWorker{Worker: w})
}

// UnresponsiveWorkerRecord returns the record of a worker that does not answer. No task may be
// started on the worker until a record from WorkerRecord has replaced this one.
func UnresponsiveWorkerRecord(w order.Worker, s UnresponsiveState) stream.Record {
	return newRecord(keyWorker+w.Name, KnownWorker{Worker: w, Unresponsive: &s})
}

// RunTimesRecord returns the record of the observed run times.
func RunTimesRecord(times any) stream.Record { return newRecord(keyTimes, times) }

// SpeedsRecord returns the record of the workers' speeds.
func SpeedsRecord(speeds any) stream.Record { return newRecord(keySpeeds, speeds) }

// CrashRateRecord returns the record of the rate at which workers crash without a task as the
// cause.
func CrashRateRecord(rate any) stream.Record { return newRecord(keyCrashes, rate) }

// RecentStartsRecord returns the record of recently started tasks for one of the slots over which
// they are distributed.
func RecentStartsRecord(slot int, starts any) stream.Record {
	return newRecord(keyStarts+strconv.Itoa(slot), starts)
}

// StartsInTransitRecord returns the record with a number of start orders that were not answered in time.
func StartsInTransitRecord(number int64, starts any) stream.Record {
	return newRecord(startsInTransitKey(number), starts)
}

// DropStartsInTransit returns the record that deletes the record of starts in transit with a number.
func DropStartsInTransit(number int64) stream.Record {
	return stream.Record{Key: startsInTransitKey(number)}
}

// startsInTransitKey returns the key of the record of starts in transit with a number.
func startsInTransitKey(number int64) string { return keyInTransit + strconv.FormatInt(number, 10) }

// ExemptRunsRecord returns the record of the runs that may be ordered again without a record of their start.
func ExemptRunsRecord(runs any) stream.Record { return newRecord(keyExempt, runs) }

// RunEnd is the recorded end of a run that was reported to a holder which could not decode its job.
type RunEnd struct {
	Run        order.Run       `json:"run"`
	Status     order.EndStatus `json:"status"`
	Checkpoint string          `json:"checkpoint,omitempty"`
}

// EndRecord returns the record of the end of a run, for a holder that can decode its job.
func EndRecord(e order.End) stream.Record {
	return newRecord(endKey(e.Run), RunEnd{Run: e.Run, Status: e.Status, Checkpoint: e.Checkpoint})
}

// DropEnd returns the record that deletes the record of the end of a run.
func DropEnd(r order.Run) stream.Record { return stream.Record{Key: endKey(r)} }

// endKey returns the key of the record of the end of a run.
func endKey(r order.Run) string {
	return keyEnd + r.Task.String() + "/" + strconv.FormatInt(r.Number, 10)
}

// FenceRecord returns a record without information. The append that contains it fences earlier
// holders.
func FenceRecord() stream.Record { return stream.Record{Key: keyFence, Value: []byte{'1'}} }

// DropSubmission returns the record that deletes the submission of a job.
func DropSubmission(id job.ID) stream.Record { return stream.Record{Key: keySubmission + string(id)} }

// DropProgress returns the record that deletes the progress of a job.
func DropProgress(id job.ID) stream.Record { return stream.Record{Key: keyProgress + string(id)} }

// DropWorker returns the record that deletes a worker of which no incarnation is known any more.
func DropWorker(name string) stream.Record { return stream.Record{Key: keyWorker + name} }

// newRecord returns a record with the JSON encoding of a value. It panics if the value cannot be
// encoded.
func newRecord(key string, v any) stream.Record {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return stream.Record{Key: key, Value: value}
}

// State is the decoded content of the stream of jobs.
type State struct {
	// Jobs are the jobs that have not ended, in the order of their submissions' offsets.
	Jobs []UnfinishedJob
	// Ended are the jobs that have ended, sorted by the time of their end.
	Ended   []EndedJob
	Workers []KnownWorker
	// RunTimes is the value of the record of run times, or nil if there is none.
	RunTimes []byte
	// Speeds is the value of the record of the workers' speeds, or nil if there is none.
	Speeds []byte
	// CrashRate is the value of the record of the crash rate, or nil if there is none.
	CrashRate []byte
	// RecentStarts are the values of the records of recently started tasks.
	RecentStarts [][]byte
	// StartsInTransit are the records of starts in transit, in the order of their offsets. ExemptRuns is the value
	// of the record of the runs that need none, or nil if there is no such record.
	StartsInTransit []StartsInTransit
	ExemptRuns      []byte
	// Unread are the records that could not be decoded, UnreadJobs the jobs and UnreadWorkers the names
	// of the workers that some of them describe.
	Unread        []Unread
	UnreadJobs    []UnreadJob
	UnreadWorkers []string
	// Ends are the recorded ends of single runs, in the order of their records' offsets.
	Ends []RunEnd
}

// StartsInTransit is a numbered record of starts in transit.
type StartsInTransit struct {
	Number int64
	Value  []byte
}

// UnreadJob is a job whose submission or progress could not be decoded. Ended is set if it has no
// submission any more.
type UnreadJob struct {
	ID    job.ID
	Ended bool
}

// UnfinishedJob is a job that has not ended, with its latest recorded progress.
type UnfinishedJob struct {
	Submission
	Progress job.Progress
}

// EndedJob is a job that has ended. Its submission is no longer recorded.
type EndedJob struct {
	ID       job.ID
	Progress job.Progress
}

// Unread is the key of a record that could not be decoded, and the reason.
type Unread struct{ Key, Reason string }

// Decode returns the state that the newest record of each key describes.
func Decode(records []stream.Record) State {
	newest := map[string]stream.Record{}
	for _, r := range records {
		if n, known := newest[r.Key]; !known || r.Offset >= n.Offset {
			newest[r.Key] = r
		}
	}
	var s State
	s.RunTimes, s.Speeds, s.CrashRate = newest[keyTimes].Value, newest[keySpeeds].Value, newest[keyCrashes].Value
	s.ExemptRuns = newest[keyExempt].Value
	byOffset := slices.SortedFunc(maps.Values(newest), func(a, b stream.Record) int {
		return cmp.Or(cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.Key, b.Key))
	})
	submitted := map[job.ID]bool{}
	for _, r := range byOffset {
		if id, ok := strings.CutPrefix(r.Key, keySubmission); ok && !r.IsTombstone() {
			submitted[job.ID(id)] = s.decodeJob(job.ID(id), r, newest[keyProgress+id])
		}
	}
	for _, r := range byOffset {
		s.decodeOther(r, submitted)
	}
	slices.SortStableFunc(s.Ended, func(a, b EndedJob) int { return cmp.Compare(a.Progress.EndedUnixMilli, b.Progress.EndedUnixMilli) })
	return s
}

// decodeJob decodes a job that has a submission, and reports whether that succeeded. If not, it
// adds the faulty record to Unread.
func (s *State) decodeJob(id job.ID, submission, progress stream.Record) bool {
	var j UnfinishedJob
	err := json.Unmarshal(submission.Value, &j.Submission)
	if err == nil && j.Submission.Submission.ID != id {
		err = fmt.Errorf("record holds the submission of job %q", j.Submission.Submission.ID)
	}
	if err == nil {
		err = j.Submission.Submission.Check()
	}
	if err != nil {
		s.addUnread(submission.Key, err)
		s.UnreadJobs = append(s.UnreadJobs, UnreadJob{ID: id})
		return false
	}
	if len(progress.Value) > 0 {
		err = json.Unmarshal(progress.Value, &j.Progress)
	}
	if err != nil {
		s.addUnread(progress.Key, err)
		s.UnreadJobs = append(s.UnreadJobs, UnreadJob{ID: id})
		return false
	}
	s.Jobs = append(s.Jobs, j)
	return true
}

// decodeOther decodes a record of an ended job, a worker, recently started tasks or the end of a run,
// and ignores others. The keys of submitted are the jobs with a submission, the values say whether it was
// decoded.
func (s *State) decodeOther(r stream.Record, submitted map[job.ID]bool) {
	if r.IsTombstone() {
		return
	}
	if id, ok := strings.CutPrefix(r.Key, keyProgress); ok {
		decoded, found := submitted[job.ID(id)]
		if !decoded {
			s.decodeEnded(job.ID(id), r, found)
		}
	}
	if strings.HasPrefix(r.Key, keyStarts) {
		s.RecentStarts = append(s.RecentStarts, r.Value)
	}
	if number, ok := strings.CutPrefix(r.Key, keyInTransit); ok {
		s.addStartsInTransit(number, r)
	}
	if strings.HasPrefix(r.Key, keyEnd) {
		s.decodeRunEnd(r)
	}
	if name, ok := strings.CutPrefix(r.Key, keyWorker); ok {
		var w KnownWorker
		err := json.Unmarshal(r.Value, &w)
		if err == nil && w.Name == "" {
			err = fmt.Errorf("name of the worker is empty")
		}
		if err != nil {
			s.addUnread(r.Key, err)
			s.UnreadWorkers = append(s.UnreadWorkers, name)
			return
		}
		s.Workers = append(s.Workers, w)
	}
}

// addStartsInTransit adds a record of starts in transit, given the number in its key.
func (s *State) addStartsInTransit(number string, r stream.Record) {
	n, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		s.addUnread(r.Key, err)
		return
	}
	s.StartsInTransit = append(s.StartsInTransit, StartsInTransit{Number: n, Value: r.Value})
}

// decodeRunEnd decodes the record of the end of a run.
func (s *State) decodeRunEnd(r stream.Record) {
	var e RunEnd
	err := json.Unmarshal(r.Value, &e)
	if err == nil && endKey(e.Run) != r.Key {
		err = fmt.Errorf("record holds the end of run %d of %s", e.Run.Number, e.Run.Task)
	}
	if err != nil {
		s.addUnread(r.Key, err)
		return
	}
	s.Ends = append(s.Ends, e)
}

// decodeEnded decodes the progress of a job that may have ended, and adds the job to Ended if it
// has. An error is added to Unread, unless alreadyUnread says that a record of the job is there.
func (s *State) decodeEnded(id job.ID, r stream.Record, alreadyUnread bool) {
	var p job.Progress
	if err := json.Unmarshal(r.Value, &p); err != nil {
		if !alreadyUnread {
			s.addUnread(r.Key, err)
			s.UnreadJobs = append(s.UnreadJobs, UnreadJob{ID: id, Ended: true})
		}
		return
	}
	if p.State.IsFinal() {
		s.Ended = append(s.Ended, EndedJob{ID: id, Progress: p})
	}
}

// addUnread adds a record that could not be decoded.
func (s *State) addUnread(key string, err error) {
	s.Unread = append(s.Unread, Unread{Key: key, Reason: err.Error()})
}
