// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package job

// Progress is what the log keeps of a job besides its submission. It only
// grows, and a later one replaces an earlier one whole.
type Progress struct {
	State State `json:"state,omitempty"`
	// Started says that some task of the job was seen at work.
	Started bool           `json:"started,omitempty"`
	Steps   []StepProgress `json:"steps,omitempty"`
	// Queue is kept once the submission is dropped, for counting.
	Queue string `json:"queue,omitempty"`
	// Ended is when the job reached a final state, in milliseconds since 1970.
	Ended int64 `json:"ended_unix_ms,omitempty"`
}

// StepProgress is the progress of one step of one instance.
type StepProgress struct {
	Instance int `json:"k,omitempty"`
	Step     int `json:"s,omitempty"`
	// Done has a bit for each task that has ended well.
	Done []byte `json:"d,omitempty"`
	// Failed counts the failed ends of tasks, by index.
	Failed map[int]int `json:"f,omitempty"`
	// FailedRun is the last run counted in Failed, by index. Workers tell an end
	// again to the next holder until it is acknowledged.
	FailedRun map[int]int64 `json:"r,omitempty"`
	// Saved holds checkpoints of tasks that were stopped, by index.
	Saved map[int]string `json:"c,omitempty"`
}
