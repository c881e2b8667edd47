// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package job

import (
	"saddlevane/models/evacuation"
	"saddlevane/models/resource"
)

// Explanation reports the state of a job and, for each of its steps, why tasks wait.
type Explanation struct {
	ID    ID     `json:"id"`
	Queue string `json:"queue"`
	// Workspace is the workspace that owns the job, or empty if it was submitted without a key.
	Workspace string `json:"workspace,omitempty"`
	State     State  `json:"state"`
	// FailureReason says why a failed job has failed.
	FailureReason string `json:"why,omitempty"`
	// Slack is the time between the expected end of the job and its deadline, in milliseconds.
	// It is negative if the job is expected to be late.
	Slack Milliseconds      `json:"slack_ms"`
	Steps []StepExplanation `json:"steps,omitempty"`
}

// StepExplanation counts the tasks of one step by state.
type StepExplanation struct {
	Step    string `json:"step"`
	Tasks   int    `json:"tasks"`
	Done    int    `json:"done"`
	Placed  int    `json:"placed"`
	Waiting int    `json:"waiting"`
	// Reason is one sentence on why tasks wait and for what.
	Reason string `json:"reason,omitempty"`
}

// CellStatus is the state of the cell as one entry box sees it.
type CellStatus struct {
	Box    string `json:"box"`
	Holder string `json:"holder"`
	Claim  int64  `json:"claim"`
	// Holds is set if this box is the holder and schedules the cell's jobs.
	Holds bool `json:"holds"`
	// LogAnswers is set if this box can reach the log.
	LogAnswers bool     `json:"log_answers"`
	Config     int64    `json:"config"`
	Members    []string `json:"members"`
	// Evacuations lists the failure domains on whose workers no task may be started.
	Evacuations []evacuation.Status `json:"evacuations,omitempty"`
	// The fields below are set by the holder only. OpenSteps counts the steps that are not done,
	// UnsettledWorkers the workers of earlier holders that have not reported their runs yet, and
	// AppendsFailing is set while appends to the log fail.
	Jobs             map[State]int  `json:"jobs,omitempty"`
	OpenSteps        int            `json:"open_steps,omitempty"`
	UnsettledWorkers int            `json:"unsettled_workers,omitempty"`
	AppendsFailing   bool           `json:"log_keeps_nothing,omitempty"`
	Workers          []WorkerStatus `json:"workers,omitempty"`
	Processors       string         `json:"processors,omitempty"`
	ProcessorsUsed   string         `json:"processors_used,omitempty"`
	// Relays maps each entry box to the number of workers to which it relays orders.
	Relays map[string]int `json:"relays,omitempty"`
	// Workspaces lists the usage and the cap of each workspace.
	Workspaces []WorkspaceStatus `json:"workspaces,omitempty"`
}

// WorkspaceStatus is the state of a workspace as the holder sees it.
type WorkspaceStatus struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
	// Entitled is the part of the workers that the workspace may take while others wait, 0 if it
	// neither runs nor waits for anything. InUse is the part that its tasks take, averaged over the
	// share window, and Borrowed how much that is above Entitled.
	Entitled float64 `json:"entitled"`
	InUse    float64 `json:"in_use"`
	Borrowed float64 `json:"borrowed"`
	// Refused counts the jobs that this holder refused because the workspace exceeded its share.
	Refused int `json:"refused"`
	// Used is what its tasks take, including tasks that may still run on unreachable workers. Cap
	// is the limit of that; a resource whose cap is 0 is not limited.
	Used resource.Vector `json:"used"`
	Cap  resource.Vector `json:"most"`
	// Waiting counts the steps with waiting tasks, Capped those of them that wait because the
	// workspace has reached its cap.
	Waiting int `json:"waiting"`
	Capped  int `json:"capped"`
}

// WorkerStatus is the state of a worker as the holder sees it. AcceptsTasks is set if the holder
// may place new tasks on the worker.
type WorkerStatus struct {
	ID             string `json:"id"`
	Domain         string `json:"domain"`
	AcceptsTasks   bool   `json:"takes"`
	Tasks          int    `json:"tasks"`
	FreeProcessors string `json:"free_processors"`
	Failures       int    `json:"failures,omitempty"`
	Leaving        bool   `json:"leaving,omitempty"`
	// Evacuated is set if the worker's failure domain is evacuated.
	Evacuated bool `json:"evacuated,omitempty"`
	// Speed is how fast tasks run on the worker, compared with the mean of all workers, with its
	// range of one standard deviation.
	Speed string `json:"speed,omitempty"`
}
