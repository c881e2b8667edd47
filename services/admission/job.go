// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/models/workspace"
	"saddlevane/services/ranking"
)

// Job is a new job.
type Job struct {
	ID               job.ID
	Workspace, Queue string
	Pool             string
	Weight           float64
	Priority         int
	// Need is what the first steps need, SuitableShare the share of the pool's workers that suit
	// them.
	Need          resource.Vector
	SuitableShare float64
	// CriticalPath is the expected time of the longest chain of steps.
	CriticalPath time.Duration
	// Objective is the time within which the job is to be done, UsefulTime that within which it is
	// of use to its caller.
	Objective, UsefulTime time.Duration
}

// NewJob returns a submitted job. runTime returns the expected run time for an estimate.
func NewJob(sub *job.Submission, q job.Queue, ws workspace.Workspace, suitableShare float64, runTime func(time.Duration) time.Duration) Job {
	j := Job{
		ID: sub.ID, Workspace: ws.Name, Queue: sub.Queue, Pool: q.Pool, Weight: ws.Weight, Priority: q.Priority,
		Need: FirstNeed(sub), SuitableShare: suitableShare,
	}
	length := func(s job.Step) time.Duration { return runTime(s.Estimate.Duration()) }
	for i, after := range ranking.CriticalPathAfter(sub.Steps, length, func(s job.Step) []int { return s.After }) {
		j.CriticalPath = max(j.CriticalPath, after+length(sub.Steps[i]))
	}
	j.Objective = time.Duration(q.Stretch*float64(j.CriticalPath)) + q.Latency
	j.UsefulTime = ranking.MaxLateFactor * j.Objective
	return j
}

// FirstNeed returns what the steps of a job need that depend on no others.
func FirstNeed(sub *job.Submission) resource.Vector {
	var need resource.Vector
	for i := range sub.Steps {
		if s := &sub.Steps[i]; len(s.After) == 0 {
			need = need.Plus(s.Reserved().Times(s.Tasks))
		}
	}
	return need
}

// class returns the class of a job beyond its share.
func (j Job) class() class { return class{beyondShare: true, priority: j.Priority} }

// slack returns the longest wait with which the job is in time.
func (j Job) slack() time.Duration { return j.Objective - j.CriticalPath }
