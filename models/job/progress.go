// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package job

import "saddlevane/models/resource"

// Progress is what the log keeps of a job besides its submission. It only
// grows, and a later one replaces an earlier one whole.
type Progress struct {
	State State `json:"state,omitempty"`
	// Started says that some task of the job was seen at work.
	Started bool           `json:"started,omitempty"`
	Steps   []StepProgress `json:"steps,omitempty"`
	// Why says why the job has failed.
	FailureReason string `json:"why,omitempty"`
	// Queue is kept once the submission is dropped, for counting.
	Queue string `json:"queue,omitempty"`
	// Workspace is kept for the same reason, and Left is what of its tasks had not ended
	// when the job reached its final state.
	Workspace     string          `json:"workspace,omitempty"`
	LeftoverUsage resource.Vector `json:"left,omitzero"`
	// Ended is when the job reached a final state, in milliseconds since 1970.
	EndedUnixMilli int64 `json:"ended_unix_ms,omitempty"`
}

// StepProgress is the progress of one step of one instance.
type StepProgress struct {
	Instance int `json:"k,omitempty"`
	Step     int `json:"s,omitempty"`
	// Done has a bit for each task that has ended well.
	Done []byte `json:"d,omitempty"`
	// Failed lists the runs of tasks that ended failed, by index. A worker tells
	// an end again until it is acknowledged, and perhaps after later ones, so a
	// count would not do.
	FailedRuns map[int][]int64 `json:"f,omitempty"`
	// Blame is what is held against tasks under which workers crashed, by index.
	Blame map[int]Blame `json:"b,omitempty"`
	// Saved holds checkpoints of tasks that were stopped, by index.
	Checkpoints map[int]string `json:"c,omitempty"`
}

// SetDone notes that a task of some number of them has ended well.
func (p *StepProgress) SetDone(index, tasks int) {
	if p.Done == nil {
		p.Done = make([]byte, (tasks+7)/8)
	}
	p.Done[index/8] |= 1 << (index % 8)
}

// IsDone says whether a task has.
func (p *StepProgress) IsDone(index int) bool {
	return index/8 < len(p.Done) && p.Done[index/8]&(1<<(index%8)) != 0
}

// SetFailedRuns notes the runs of a task that ended failed, if there are any.
func (p *StepProgress) SetFailedRuns(index int, runs []int64) {
	if len(runs) > 0 {
		p.FailedRuns = withEntry(p.FailedRuns, index, runs)
	}
}

// SetBlame notes what is held against a task, if anything is.
func (p *StepProgress) SetBlame(index int, b Blame) {
	if b.Crashes > 0 {
		p.Blame = withEntry(p.Blame, index, b)
	}
}

// SetCheckpoint notes the checkpoint of a task, if there is one.
func (p *StepProgress) SetCheckpoint(index int, checkpoint string) {
	if checkpoint != "" {
		p.Checkpoints = withEntry(p.Checkpoints, index, checkpoint)
	}
}

// IsEmpty says whether nothing was noted.
func (p *StepProgress) IsEmpty() bool {
	return len(p.Done)+len(p.FailedRuns)+len(p.Blame)+len(p.Checkpoints) == 0
}

// withEntry returns a map with one more entry.
func withEntry[V any](m map[int]V, index int, v V) map[int]V {
	if m == nil {
		m = map[int]V{}
	}
	m[index] = v
	return m
}
