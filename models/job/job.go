// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package job defines the jobs that callers submit, their progress and the queues that accept them.
// A job consists of ordered steps, and a step of tasks with the same requirements.
package job

import (
	"errors"
	"fmt"
	"time"

	"saddlevane/models/resource"
)

// Limits of an accepted job. The platform's store accepts records of up to 256 KiB.
const (
	// maxSpecBytes is the size limit of Submission.Spec.
	maxSpecBytes = 4000
	maxSteps     = 64
	// MaxTasks limits the tasks of all steps of one instance of a job.
	MaxTasks = 10_000
	// maxInstances limits the instances of a job.
	maxInstances = 100_000
)

// ID identifies a job. Callers choose it; two submissions with the same ID are the same job.
type ID string

// maxIDBytes is the maximum length of an ID.
const maxIDBytes = 64

// Check returns an error if the ID is not well formed.
func (id ID) Check() error {
	valid := id != "" && len(id) <= maxIDBytes
	for i := 0; valid && i < len(id); i++ {
		valid = isIDByte(id[i])
	}
	if !valid {
		return fmt.Errorf("job id %q: want 1 to %d letters, digits, '-' or '_'", id, maxIDBytes)
	}
	return nil
}

// isIDByte reports whether an ID may contain c.
func isIDByte(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z' || c == '-' || c == '_'
}

// Milliseconds is a duration on the wire.
type Milliseconds int64

// Duration returns m as a time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Step is a group of tasks with the same requirements.
type Step struct {
	// Tasks is the number of tasks.
	Tasks int `json:"tasks"`
	// Need is what each task takes of its worker's capacity.
	Need resource.Vector `json:"need"`
	// Estimate is the run time of a task as its submitter estimated it.
	Estimate Milliseconds `json:"estimate_ms,omitempty"`
	// After lists the indexes of earlier steps that must be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints is set if a stopped task can resume from a checkpoint.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang is set if all tasks must run at the same time.
	Gang bool `json:"gang,omitempty"`
	// OneRack is set if the tasks run slower when they are spread over racks.
	OneRack bool `json:"one_rack,omitempty"`
	// Label is a label that the worker must have, or empty.
	Label string `json:"label,omitempty"`
	// NearRack names the rack that holds the tasks' data, or is empty. The tasks run slower on
	// other racks.
	NearRack string `json:"near_rack,omitempty"`
	// PerWorker limits how many tasks of the step run on one worker; 0 means no limit.
	PerWorker int `json:"per_worker,omitempty"`
	// Copies is set if several runs of a task may be at work at the same time.
	Copies bool `json:"copies,omitempty"`
	// Service is set if the tasks run until the job is cancelled.
	Service bool `json:"service,omitempty"`
	// Image names the image that the tasks run. Tasks of the same image behave alike.
	Image string `json:"image,omitempty"`
	// TailTarget is the tail latency objective of a serving task.
	TailTarget Milliseconds `json:"tail_target_ms,omitempty"`
	// Filler is set if the tasks run only on processors that other tasks leave idle.
	Filler bool `json:"filler,omitempty"`
	// MaxUnavailable is how many serving tasks may be unavailable at the same time.
	MaxUnavailable int `json:"away_most,omitempty"`
}

// MinNeed returns the smallest amount with which the step can start: the need of all tasks for a
// gang, else of one task.
func (s *Step) MinNeed() resource.Vector {
	if s.Gang {
		return s.Need.Times(s.Tasks)
	}
	return s.Need
}

// Reserved returns what a task of the step reserves of its worker's capacity. A filler reserves no
// processors.
func (s *Step) Reserved() resource.Vector {
	if s.Filler {
		return resource.Vector{Memory: s.Need.Memory, Accelerators: s.Need.Accelerators}
	}
	return s.Need
}

// Repeat describes how often and when the steps of a job run. Each repetition is an instance.
type Repeat struct {
	// Times is the number of instances; 0 means one instance, which is due at once.
	Times int `json:"times,omitempty"`
	// FirstUnixMilli is when the first instance is due, in milliseconds since 1970.
	FirstUnixMilli int64 `json:"first_unix_ms,omitempty"`
	// Interval is the time between the due times of two successive instances.
	Interval Milliseconds `json:"interval_ms,omitempty"`
}

// Due returns when the instance with the given index is due.
func (r Repeat) Due(instance int) time.Time {
	return time.UnixMilli(r.FirstUnixMilli + int64(instance)*int64(r.Interval))
}

// Submission is a job as its caller submitted it.
type Submission struct {
	ID    ID     `json:"id"`
	Queue string `json:"queue"`
	// Workspace is the workspace that owns the job, or empty if it was submitted without a key.
	Workspace string `json:"workspace,omitempty"`
	// Spec defines what the workers run. It is passed to them unchanged and is not interpreted here.
	Spec   string `json:"spec"`
	Steps  []Step `json:"steps"`
	Repeat Repeat `json:"repeat,omitzero"`
}

// Check returns an error that names the first invalid field of the submission.
func (s *Submission) Check() error {
	if err := s.ID.Check(); err != nil {
		return err
	}
	switch {
	case len(s.Spec) > maxSpecBytes:
		return fmt.Errorf("spec has %d bytes, the limit is %d", len(s.Spec), maxSpecBytes)
	case len(s.Steps) == 0:
		return errors.New("job has no steps, want at least 1")
	case len(s.Steps) > maxSteps:
		return fmt.Errorf("job has %d steps, the limit is %d", len(s.Steps), maxSteps)
	case s.Repeat.Times < 0 || s.Repeat.Times > maxInstances:
		return fmt.Errorf("repeat.times is %d, want 0 to %d", s.Repeat.Times, maxInstances)
	case s.Repeat.Interval < 0:
		return errors.New("repeat.interval_ms is negative, want 0 or more")
	}
	total := 0
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		total += s.Steps[i].Tasks
	}
	if total > MaxTasks {
		return fmt.Errorf("job has %d tasks per instance, the limit is %d", total, MaxTasks)
	}
	return nil
}

// check returns an error that names the first invalid field of the step at index.
func (s *Step) check(index int) error {
	switch {
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return fmt.Errorf("tasks is %d, want 1 to %d", s.Tasks, MaxTasks)
	case s.Need.IsNegative():
		return errors.New("need is negative in some resource, want 0 or more")
	case s.Estimate < 0 || s.TailTarget < 0 || s.PerWorker < 0 || s.MaxUnavailable < 0:
		return errors.New("estimate_ms, tail_target_ms, per_worker or away_most is negative, want 0 or more")
	}
	if len(s.After) > index {
		return fmt.Errorf("after lists %d steps, want at most the %d earlier ones", len(s.After), index)
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			return fmt.Errorf("after lists step %d, want an earlier step", before)
		}
	}
	return nil
}

// Instances returns how many times the steps run.
func (s *Submission) Instances() int { return max(1, s.Repeat.Times) }

// State is the state of a job as reported to callers.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Succeeded State = "succeeded"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// IsFinal reports whether a job never leaves the state.
func (s State) IsFinal() bool { return s == Succeeded || s == Failed || s == Cancelled }
