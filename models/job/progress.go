// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package job

import "saddlevane/models/resource"

// Progress is the record of a job's progress in the log, next to its submission. Facts are only
// added, and a later record replaces an earlier one completely.
type Progress struct {
	State State `json:"state,omitempty"`
	// Started is set once a worker has reported some task of the job as running.
	Started bool           `json:"started,omitempty"`
	Steps   []StepProgress `json:"steps,omitempty"`
	// FailureReason says why the job has failed.
	FailureReason string `json:"why,omitempty"`
	// Queue is the job's queue. It is stored here too because ended jobs are still counted by
	// queue after their submission was dropped.
	Queue string `json:"queue,omitempty"`
	// Workspace is stored for the same reason. LeftoverUsage is what the tasks that had not ended
	// when the job reached its final state take.
	Workspace     string          `json:"workspace,omitempty"`
	LeftoverUsage resource.Vector `json:"left,omitzero"`
	// EndedUnixMilli is when the job reached a final state, in milliseconds since 1970.
	EndedUnixMilli int64 `json:"ended_unix_ms,omitempty"`
}

// StepProgress is the progress of one step of one instance.
type StepProgress struct {
	Instance int `json:"k,omitempty"`
	Step     int `json:"s,omitempty"`
	// Done is a bit set of the tasks that have succeeded: task i is bit i%8 of byte i/8.
	Done []byte `json:"d,omitempty"`
	// FailedRuns lists the numbers of the failed runs by task index. It is not a mere count because
	// a worker repeats the report of an end until it is acknowledged, possibly after later ones.
	FailedRuns map[int][]int64 `json:"f,omitempty"`
	// Blame holds the evidence against tasks whose workers crashed, by task index.
	Blame map[int]Blame `json:"b,omitempty"`
	// Checkpoints holds the checkpoints of stopped tasks, by task index.
	Checkpoints map[int]string `json:"c,omitempty"`
}

// SetDone records that the task at index has succeeded. Tasks is the number of tasks in the step.
func (p *StepProgress) SetDone(index, tasks int) {
	if p.Done == nil {
		p.Done = make([]byte, (tasks+7)/8)
	}
	p.Done[index/8] |= 1 << (index % 8)
}

// IsDone reports whether the task at index has succeeded.
func (p *StepProgress) IsDone(index int) bool {
	return index/8 < len(p.Done) && p.Done[index/8]&(1<<(index%8)) != 0
}

// SetFailedRuns records the failed runs of a task, if there are any.
func (p *StepProgress) SetFailedRuns(index int, runs []int64) {
	if len(runs) > 0 {
		p.FailedRuns = withEntry(p.FailedRuns, index, runs)
	}
}

// SetBlame records the blame of a task, if a worker crashed under it.
func (p *StepProgress) SetBlame(index int, b Blame) {
	if b.Crashes > 0 {
		p.Blame = withEntry(p.Blame, index, b)
	}
}

// SetCheckpoint records the checkpoint of a task, if there is one.
func (p *StepProgress) SetCheckpoint(index int, checkpoint string) {
	if checkpoint != "" {
		p.Checkpoints = withEntry(p.Checkpoints, index, checkpoint)
	}
}

// IsEmpty reports whether nothing was recorded.
func (p *StepProgress) IsEmpty() bool {
	return len(p.Done)+len(p.FailedRuns)+len(p.Blame)+len(p.Checkpoints) == 0
}

// withEntry sets m[index] to v and returns m, or a new map if m is nil.
func withEntry[V any](m map[int]V, index int, v V) map[int]V {
	if m == nil {
		m = map[int]V{}
	}
	m[index] = v
	return m
}
