// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/mechanism"
	"saddlevane/models/resource"
	"saddlevane/models/workspace"
	"saddlevane/modules/ordered"
	"saddlevane/services/workspaces"
)

// checkAdmission says whether a new job is within its workspace's share, or returns the answer by
// which it is refused: its cap could never hold it, or it is beyond its share while the
// workers have little room.
func (h *holderState) checkAdmission(now time.Time, sub *job.Submission) (within bool, refusal *exchange.Answer) {
	if sub.Workspace == "" {
		return true, nil
	}
	ws := h.core.config.Workspace(sub.Workspace)
	for i := range sub.Steps {
		if need := sub.Steps[i].MinNeed(); !workspaces.FitsCap(ws, need) {
			return false, &exchange.Answer{
				Outcome: exchange.OverLimit, Reason: fmt.Sprintf("step %d needs %v at a time, and the workspace may have %v", i, need, ws.Cap),
			}
		}
	}
	if h.workspaceShares.TakeToken(now, ws) {
		return true, nil
	}
	if !h.hasAmpleRoom && h.isEnabled(mechanism.RefusedShares) {
		return false, &exchange.Answer{
			Outcome: exchange.OverLimit, Reason: "the workspace has sent more than its share, and there is little room",
			RetryAfter: job.Milliseconds(h.workspaceShares.TimeToToken(now, ws).Milliseconds()),
		}
	}
	return false, nil
}

// placeable returns how many of the waiting tasks of a step may be placed that need not be
// tried apart: no more than its workspace may take.
func (h *holderState) placeable(s *step) int { return min(h.unsuspectedWaiting(s), h.slotsUnderCap(s)) }

// slotsUnderCap returns how many more tasks of a step its workspace may take.
func (h *holderState) slotsUnderCap(s *step) int {
	if s.job.workspace == "" {
		return job.MaxTasks
	}
	return h.usage.Remaining(h.workspaceOf(s.job)).FitCount(s.spec.Need, job.MaxTasks)
}

// workspaceOf returns the workspace of a job as it is in force.
func (h *holderState) workspaceOf(j *trackedJob) workspace.Workspace {
	return h.core.config.Workspace(j.workspace)
}

// placedNeed returns what the tasks of a job take that have a place, unplaced what those would
// that are neither done nor known to have one.
func (j *trackedJob) placedNeed() resource.Vector {
	return j.sumNeeds(func(s *step) int { return s.placedTasks })
}

func (j *trackedJob) waitingNeed() resource.Vector {
	return j.sumNeeds(func(s *step) int { return s.unplacedTasks })
}

// sumNeeds returns what some tasks of each step of a job need together.
func (j *trackedJob) sumNeeds(tasks func(*step) int) resource.Vector {
	var all resource.Vector
	for _, in := range j.instances {
		for _, s := range in.steps {
			all = all.Plus(s.spec.Need.Times(tasks(s)))
		}
	}
	return all
}

// recordLeftover notes what tasks may still run of a job that ended under an earlier holder.
func (h *holderState) recordLeftover(now time.Time, p job.Progress) {
	if p.Workspace != "" && h.core.unixMilli(now)-p.EndedUnixMilli < leftoverLifetime.Milliseconds() {
		h.leftoverUsage[p.Workspace] = h.leftoverUsage[p.Workspace].Plus(p.LeftoverUsage)
	}
}

// leftoverLifetime is how long after the end of its job a task may run of which nothing was heard: as
// long as the longest lease that platforms grant, and a takeover.
const leftoverLifetime = 30 * time.Second

// setUnreportedUsage tells the usage what tasks of each workspace may run on workers that have not
// told what they run: no more than there is room for, and no more than the tasks of which it
// is not known where they are.
func (h *holderState) setUnreportedUsage() {
	var room resource.Vector
	for _, w := range h.workersByName() {
		switch {
		case h.unreportedWorkers[w.Name]:
			room = room.Plus(w.Capacity)
		case len(w.orphans) > 0:
			room = room.Plus(w.free)
		}
	}
	if room.IsZero() {
		h.usage.SetUnreported(nil)
		return
	}
	unheard := map[string]resource.Vector{}
	for name, v := range ordered.Map(h.leftoverUsage) {
		unheard[name] = v
	}
	for _, j := range h.jobs {
		if j.inherited && j.workspace != "" {
			unheard[j.workspace] = unheard[j.workspace].Plus(j.waitingNeed())
		}
	}
	h.usage.SetUnreportedWithin(unheard, room)
}

// workspaceStatus says what the tasks of each workspace take and which of its jobs wait.
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
