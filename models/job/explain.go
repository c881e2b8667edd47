// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package job

import "saddlevane/models/resource"

// Explanation says of each part of a job why it is as it is.
type Explanation struct {
	ID    ID     `json:"id"`
	Queue string `json:"queue"`
	// Workspace is whose job it is, if it is anyone's.
	Workspace string `json:"workspace,omitempty"`
	State     State  `json:"state"`
	// Why says of a job that has failed why it has.
	FailureReason string `json:"why,omitempty"`
	// Slack is how much later the job could finish and be on time, in
	// milliseconds; below zero it is late.
	Slack Milliseconds      `json:"slack_ms"`
	Steps []StepExplanation `json:"steps,omitempty"`
}

// StepExplanation says what became of the tasks of one step.
type StepExplanation struct {
	Step    string `json:"step"`
	Tasks   int    `json:"tasks"`
	Done    int    `json:"done"`
	Placed  int    `json:"placed"`
	Waiting int    `json:"waiting"`
	// Reason says in one sentence why tasks wait and for what.
	Reason string `json:"reason,omitempty"`
}

// CellStatus is what one entry box knows of the cell.
type CellStatus struct {
	Box    string `json:"box"`
	Holder string `json:"holder"`
	Claim  int64  `json:"claim"`
	// Holds says that this box serves the cell's jobs.
	Holds bool `json:"holds"`
	// LogAnswers says whether the log answers this box.
	LogAnswers bool     `json:"log_answers"`
	Config     int64    `json:"config"`
	Members    []string `json:"members"`
	// What follows is known to the holder only.
	Jobs             map[State]int  `json:"jobs,omitempty"`
	OpenSteps        int            `json:"open_steps,omitempty"`
	UnsettledWorkers int            `json:"unsettled_workers,omitempty"`
	AppendsFailing   bool           `json:"log_keeps_nothing,omitempty"`
	Workers          []WorkerStatus `json:"workers,omitempty"`
	Processors       string         `json:"processors,omitempty"`
	ProcessorsUsed   string         `json:"processors_used,omitempty"`
	// Relays has how many workers' orders each entry box carries.
	Relays map[string]int `json:"relays,omitempty"`
	// Workspaces says what the tasks of each workspace take, and what its cap is.
	Workspaces []WorkspaceStatus `json:"workspaces,omitempty"`
}

// WorkspaceStatus is what the holder knows of a workspace.
type WorkspaceStatus struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
	// Used is what its tasks take or may take, Most its cap; a part of it that is 0 has no
	// bound.
	Used resource.Vector `json:"used"`
	Cap  resource.Vector `json:"most"`
	// Waiting counts its steps of which some task waits, Capped those that wait for its cap.
	Waiting int `json:"waiting"`
	Capped  int `json:"capped"`
}

// WorkerStatus is what the holder believes of a worker.
type WorkerStatus struct {
	ID             string `json:"id"`
	Domain         string `json:"domain"`
	AcceptsTasks   bool   `json:"takes"`
	Tasks          int    `json:"tasks"`
	FreeProcessors string `json:"free_processors"`
	Failures       int    `json:"failures,omitempty"`
	Leaving        bool   `json:"leaving,omitempty"`
}
