// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/models/workspace"
	"saddlevane/modules/ordered"
)

// isWithinShare reports whether a new job is within its workspace's share, and charges the job to it.
func (h *holderState) isWithinShare(now time.Time, ws workspace.Workspace) bool {
	return h.workspaceShares.TakeToken(now, ws)
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
	if p.Workspace != "" && h.core.unixMilli(now)-p.EndedUnixMilli < leftoverLifetime.Milliseconds() {
		h.leftoverUsage[p.Workspace] = h.leftoverUsage[p.Workspace].Plus(p.LeftoverUsage)
	}
}

// leftoverLifetime is how long after the end of its job a task may still run on a worker that has
// not reported: the longest lease that platforms grant, plus a takeover.
const leftoverLifetime = 30 * time.Second

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
	for name, v := range ordered.Map(h.leftoverUsage) {
		unreported[name] = v
	}
	for _, j := range h.jobs {
		if j.inherited && j.workspace != "" {
			unreported[j.workspace] = unreported[j.workspace].Plus(j.waitingNeed())
		}
	}
	h.usage.SetUnreportedWithin(unreported, capacity)
}

// workspaceStatus returns the resource usage of each workspace and how many of its steps wait, in
// all and for its cap.
func (h *holderState) workspaceStatus() []job.WorkspaceStatus {
	waiting, capped := map[string]int{}, map[string]int{}
	for _, s := range h.openSteps {
		if s.open && s.unplacedTasks > 0 {
			waiting[s.job.workspace]++
			if s.capReached {
				capped[s.job.workspace]++
			}
		}
	}
	var all []job.WorkspaceStatus
	for name, w := range ordered.Map(h.core.config.Workspaces) {
		all = append(all, job.WorkspaceStatus{
			Name: name, Weight: w.Weight, Used: h.usage.Of(name), Cap: w.Cap, Waiting: waiting[name], Capped: capped[name],
		})
	}
	return all
}
