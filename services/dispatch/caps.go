// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/models/workspace"
	"saddlevane/services/shares"
)

// isWithinShare reports whether a new job is within its workspace's share: within its rate of jobs,
// to which the job is charged then, or while the workspace takes less of the workers than its share.
func (h *holderState) isWithinShare(now time.Time, ws workspace.Workspace) bool {
	return h.workspaceShares.TakeToken(now, ws) || h.shares.IsUnder(ws.Name, ws.Weight)
}

// placeable returns how many of a step's waiting tasks that are not suspects may be placed under
// the workspace's cap.
func (h *holderState) placeable(s *step) int { return min(h.unsuspectedWaiting(s), h.slotsUnderCap(s)) }

// slotsUnderCap returns how many more tasks of a step fit under its workspace's cap.
func (h *holderState) slotsUnderCap(s *step) int {
	if s.job.workspace == "" {
		return job.MaxTasks
	}
	return h.usage.Remaining(h.workspaceOf(s.job)).FitCount(s.spec.Need, job.MaxTasks)
}

// workspaceOf returns the job's workspace in the current configuration.
func (h *holderState) workspaceOf(j *trackedJob) workspace.Workspace {
	return h.core.config.Workspace(j.workspace)
}

// placedNeed returns the resources of a job's placed tasks.
func (j *trackedJob) placedNeed() resource.Vector {
	return j.sumNeeds(func(s *step) int { return s.placedTasks })
}

// waitingNeed returns the resources of a job's tasks that are neither done nor known to be placed.
func (j *trackedJob) waitingNeed() resource.Vector {
	return j.sumNeeds(func(s *step) int { return s.unplacedTasks })
}

// sumNeeds returns the total resources of a job, with the number of tasks of each step given by a
// function.
func (j *trackedJob) sumNeeds(tasks func(*step) int) resource.Vector {
	var all resource.Vector
	for _, in := range j.instances {
		for _, s := range in.steps {
			all = all.Plus(s.spec.Need.Times(tasks(s)))
		}
	}
	return all
}

// recordLeftoverUsage counts the tasks that may still be running of a job that ended under an earlier
// holder.
func (h *holderState) recordLeftoverUsage(now time.Time, p job.Progress) {
	ended := job.Milliseconds(h.core.unixMilli(now) - p.EndedUnixMilli)
	h.usage.AddLeftover(p.Workspace, p.LeftoverUsage, ended.Duration())
}

// setUnreportedUsage sets, for each workspace, the resources of tasks that may run on workers whose
// running tasks are not all known. They are at most the resources of the tasks whose worker is not
// known, and at most the capacity of these workers.
func (h *holderState) setUnreportedUsage() {
	var capacity resource.Vector
	for name := range h.unreportedWorkers {
		if w := h.workers[name]; w != nil {
			capacity = capacity.Plus(w.Capacity)
		}
	}
	for w := range h.workersWithOrphans {
		if !h.unreportedWorkers[w.Name] {
			capacity = capacity.Plus(w.free)
		}
	}
	if capacity.IsZero() {
		h.usage.SetUnreported(nil)
		return
	}
	unreported := map[string]resource.Vector{}
	for _, j := range h.jobs {
		if j.inherited && j.workspace != "" {
			unreported[j.workspace] = unreported[j.workspace].Plus(j.waitingNeed())
		}
	}
	h.usage.SetUnreportedWithin(unreported, capacity)
}

// shareStep describes what a step takes and waits for. The capacity that is reserved for a gang counts
// as taken.
func (s *step) shareStep() shares.Step {
	taking := s.placedTasks
	if s.reservation != nil {
		taking = len(s.tasks)
	}
	return shares.Step{Workspace: s.job.workspace, Need: s.spec.Need, Taking: taking, Waiting: s.unplacedTasks, Capped: s.capReached}
}

// observeShares updates the shares of the workspaces from the open steps.
func (h *holderState) observeShares(now time.Time) {
	h.shares.Observe(now, shares.Cell{
		Capacity: h.capacity, Workspace: h.core.config.Workspace, InUse: h.usage.Of, Complete: len(h.unreportedWorkers) == 0,
	}, shares.Steps(h.openSteps, (*step).shareStep))
}

// workspaceStatus returns the share and the resource usage of each workspace.
func (h *holderState) workspaceStatus() []job.WorkspaceStatus {
	return h.shares.Status(h.core.config.Workspaces, h.usage.Of)
}
