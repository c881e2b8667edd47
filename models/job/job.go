// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package job holds the work that callers submit: a job of steps in order,
// each of tasks that are alike, and what is known of its progress.
package job

import (
	"errors"
	"fmt"
	"regexp"
	"time"

	"saddlevane/models/resource"
)

// Bounds of what is accepted. The platform's store takes records of 256 KiB.
const (
	// maxSpecBytes bounds what the workers are told to run, in bytes.
	maxSpecBytes = 4000
	maxSteps     = 64
	// MaxTasks is how many tasks all steps of one instance of a job have at most.
	MaxTasks = 10_000
	// maxInstances is how many instances a job has at most.
	maxInstances = 100_000
)

// ID names a job. Callers choose it; the same ID is the same job everywhere.
type ID string

var idPattern = regexp.MustCompile(`^[0-9A-Za-z_-]{1,64}$`)

// Check returns an error if the ID is not well formed.
func (id ID) Check() error {
	if !idPattern.MatchString(string(id)) {
		return fmt.Errorf("job id %q: want 1 to 64 letters, digits, '-' or '_'", id)
	}
	return nil
}

// Milliseconds is a length of time on the wire.
type Milliseconds int64

// Duration returns the length of time.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Step is a group of tasks that are alike.
type Step struct {
	// Tasks is how many there are.
	Tasks int `json:"tasks"`
	// Need is what each task takes of its worker.
	Need resource.Vector `json:"need"`
	// Estimate is the submitter's guess of a task's run time.
	Estimate Milliseconds `json:"estimate_ms,omitempty"`
	// After names earlier steps that must be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints says that a task which is stopped can resume.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang says that the tasks only work together.
	Gang bool `json:"gang,omitempty"`
	// OneRack says that the tasks are slower when spread over racks.
	OneRack bool `json:"one_rack,omitempty"`
	// Label is one that the worker must have.
	Label string `json:"label,omitempty"`
	// NearRack holds the tasks' data; they are slower elsewhere.
	NearRack string `json:"near_rack,omitempty"`
	// PerWorker is how many tasks of the step one worker may hold; 0 means any.
	PerWorker int `json:"per_worker,omitempty"`
	// Copies says that a task may run more than once at a time.
	Copies bool `json:"copies,omitempty"`
	// Service says that the tasks run until the job is cancelled.
	Service bool `json:"service,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TailTarget is the latency objective of a serving task.
	TailTarget Milliseconds `json:"tail_target_ms,omitempty"`
	// Filler says that the tasks live on processors that others leave idle.
	Filler bool `json:"filler,omitempty"`
	// MaxUnavailable is how many serving tasks may be disrupted at once.
	MaxUnavailable int `json:"away_most,omitempty"`
}

// MinNeed returns what a step takes at least once any of it runs.
func (s *Step) MinNeed() resource.Vector {
	if s.Gang {
		return s.Need.Times(s.Tasks)
	}
	return s.Need
}

// Reserved returns what a task of the step takes of its worker's capacity.
func (s *Step) Reserved() resource.Vector {
	if s.Filler {
		return resource.Vector{Memory: s.Need.Memory, Accelerators: s.Need.Accelerators}
	}
	return s.Need
}

// Repeat says that the steps run several times; each time is an instance.
type Repeat struct {
	// Times is how many instances there are; 0 means one, at once.
	Times int `json:"times,omitempty"`
	// First is when the first instance falls due, in milliseconds since 1970.
	FirstUnixMilli int64 `json:"first_unix_ms,omitempty"`
	// Interval is the time from one instance falling due to the next.
	Interval Milliseconds `json:"interval_ms,omitempty"`
}

// Due returns when an instance falls due.
func (r Repeat) Due(instance int) time.Time {
	return time.UnixMilli(r.FirstUnixMilli + int64(instance)*int64(r.Interval))
}

// Submission is a job as its caller hands it in.
type Submission struct {
	ID    ID     `json:"id"`
	Queue string `json:"queue"`
	// Workspace is whose job it is, or empty if it was handed in without a key.
	Workspace string `json:"workspace,omitempty"`
	// Spec is what the workers are told to run; saddlevane does not look into it.
	Spec   string `json:"spec"`
	Steps  []Step `json:"steps"`
	Repeat Repeat `json:"repeat,omitzero"`
}

// Check returns an error that says what a caller has to mend.
func (s *Submission) Check() error {
	if err := s.ID.Check(); err != nil {
		return err
	}
	switch {
	case len(s.Spec) > maxSpecBytes:
		return fmt.Errorf("spec of %d bytes, the limit is %d", len(s.Spec), maxSpecBytes)
	case len(s.Steps) == 0:
		return errors.New("a job needs a step")
	case len(s.Steps) > maxSteps:
		return fmt.Errorf("%d steps, the limit is %d", len(s.Steps), maxSteps)
	case s.Repeat.Times < 0 || s.Repeat.Times > maxInstances:
		return fmt.Errorf("%d times, want 0 to %d", s.Repeat.Times, maxInstances)
	case s.Repeat.Interval < 0:
		return errors.New("the interval is negative")
	}
	total := 0
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		total += s.Steps[i].Tasks
	}
	if total > MaxTasks {
		return fmt.Errorf("%d tasks, the limit is %d", total, MaxTasks)
	}
	return nil
}

func (s *Step) check(index int) error {
	switch {
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return fmt.Errorf("%d tasks, want 1 to %d", s.Tasks, MaxTasks)
	case s.Need.IsNegative():
		return errors.New("the need is negative")
	case s.Estimate < 0 || s.TailTarget < 0 || s.PerWorker < 0 || s.MaxUnavailable < 0:
		return errors.New("a number is negative")
	}
	if len(s.After) > index {
		return fmt.Errorf("comes after %d steps, and there are %d before it", len(s.After), index)
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			return fmt.Errorf("comes after step %d, want an earlier step", before)
		}
	}
	return nil
}

// Instances is how many times the steps run.
func (s *Submission) Instances() int { return max(1, s.Repeat.Times) }

// State is what a caller is told of a job.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Succeeded State = "succeeded"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// IsFinal says whether the state stands for good.
func (s State) IsFinal() bool { return s == Succeeded || s == Failed || s == Cancelled }
