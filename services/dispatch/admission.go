// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"slices"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/mechanism"
	"saddlevane/models/workspace"
	"saddlevane/services/admission"
	"saddlevane/services/ranking"
	"saddlevane/services/workspaces"
)

// checkAdmission reports whether a new job is within its workspace's share. It returns a refusal if
// a step could never fit within the workspace's cap, or if the workspace exceeds its share while the
// workers have little free capacity and, where admission goes by forecast, the job would wait too long.
func (h *holderState) checkAdmission(now time.Time, sub *job.Submission) (within bool, refusal *exchange.Answer) {
	if sub.Workspace == "" {
		return true, nil
	}
	ws := h.core.config.Workspace(sub.Workspace)
	if refusal := checkCap(ws, sub); refusal != nil {
		return false, refusal
	}
	byForecast := h.core.settings.ForecastAdmission
	if h.isWithinShare(now, ws) {
		if byForecast {
			h.admission.AcceptedWithinShare(now, h.admissionJob(sub, ws))
		}
		return true, nil
	}
	switch {
	case h.hasAmpleFreeCapacity || !h.isEnabled(mechanism.RefusedShares):
		return false, nil
	case byForecast:
		return false, h.refusalByForecast(now, h.admissionJob(sub, ws))
	default:
		return false, refusedForShare("", max(admission.ReturnUnit, h.workspaceShares.TimeToToken(now, ws)))
	}
}

// refusedForShare returns the answer to a job that is refused because its workspace exceeds its share.
func refusedForShare(detail string, retryAfter time.Duration) *exchange.Answer {
	return &exchange.Answer{
		Outcome: exchange.OverLimit, Reason: "the workspace exceeds its share while the workers have little free capacity" + detail,
		RetryAfter: job.Milliseconds(retryAfter.Milliseconds()),
	}
}

// refusalByForecast returns the refusal of a job beyond its workspace's share, or nil if it is accepted
// by the forecast of its wait.
func (h *holderState) refusalByForecast(now time.Time, j admission.Job) *exchange.Answer {
	if h.admission.NeedsRefresh(now) {
		h.admission.Refresh(now, h.admissionPools(now), len(h.unreportedWorkers) == 0)
	}
	d := h.admission.Decide(now, j)
	if d.Accepted {
		return nil
	}
	h.logRefusal(now, j, d)
	return refusedForShare(": "+string(d.Reason), d.RetryAfter)
}

// admissionJob returns what decides about the admission of a new job.
func (h *holderState) admissionJob(sub *job.Submission, ws workspace.Workspace) admission.Job {
	q, suitableShare := h.core.config.Queues[sub.Queue], 1.0
	if q.Advice != nil {
		suitableShare = h.estimates.SuitableShare(sub.Queue)
	}
	return admission.NewJob(sub, q, ws, suitableShare, func(estimate time.Duration) time.Duration {
		return h.usualTimeOf(sub.Queue, estimate)
	})
}

// admissionPools sums up what is free, runs and waits in each pool.
func (h *holderState) admissionPools(now time.Time) map[string]*admission.Pool {
	pools := map[string]*admission.Pool{}
	for name := range h.knownPools {
		pools[name] = admission.NewPool()
	}
	for _, w := range h.workersByName() {
		if p := pools[w.Pool]; p != nil && w.healthy && !w.isKeptForSuspect() {
			p.AddFree(w.free.Minus(w.committed))
		}
	}
	for _, s := range h.openSteps {
		if p := pools[h.queueOf(s.job).Pool]; p != nil && s.open && !s.job.state.IsFinal() {
			h.addStepToPool(now, p, s)
		}
	}
	h.addUnloggedJobs(pools)
	return pools
}

// addStepToPool adds what runs and what waits of an open step.
func (h *holderState) addStepToPool(now time.Time, p *admission.Pool, s *step) {
	if !s.spec.Service {
		p.AddRunning(s.spec.Reserved().Times(s.placedTasks), s.criticalPath-s.criticalPathAfter)
	}
	if s.unplacedTasks == 0 || s.reservation != nil || s.advice.holdsCapacity() {
		return
	}
	if r := h.rank(now, s); r.Tier == ranking.OnTime {
		p.AddWaiting(s.spec.Reserved().Times(s.unplacedTasks), r.Priority, h.shares.IsOver(s.job.workspace, r.Work))
	}
}

// addUnloggedJobs adds the new jobs that are not in the log yet, so that their steps are not open.
func (h *holderState) addUnloggedJobs(pools map[string]*admission.Pool) {
	waiting := h.journal.unloggedJobs
	if h.journal.batch != nil {
		waiting = slices.Concat(waiting, h.journal.batch.newJobs)
	}
	for _, j := range waiting {
		if q := h.queueOf(j); pools[q.Pool] != nil && j.submission != nil {
			pools[q.Pool].AddWaiting(admission.FirstNeed(j.submission), q.Priority, j.beyondShare)
		}
	}
}

// logRefusal logs why a job was refused, for some jobs of each second.
func (h *holderState) logRefusal(now time.Time, j admission.Job, d admission.Decision) {
	omitted, ok := h.admission.TakeLogLine(now)
	if !ok {
		return
	}
	h.core.logEvent("job refused for its workspace's share", logField("job", string(j.ID)), logField("queue", j.Queue), logField("workspace", j.Workspace),
		logField("reason", string(d.Reason)), logField("forecast", d.Forecast.String()), logField("objective", j.Objective.String()),
		logField("critical_path", j.CriticalPath.String()), logField("place", d.Place), logField("rate", d.Rate),
		logField("retry_after", d.RetryAfter.String()), logField("lines_omitted", omitted), logField("claim", h.epoch))
}

// checkForecast compares the forecast of a job that starts with the time that it waited.
func (h *holderState) checkForecast(now time.Time, j *trackedJob) {
	if s, known := h.admission.Started(now, j.id); known {
		h.core.emit(exchange.ForecastChecked{Queue: s.Queue, Error: s.Error})
	}
}

// checkCap returns a refusal if some step of a job could never fit within the workspace's cap.
func checkCap(ws workspace.Workspace, sub *job.Submission) *exchange.Answer {
	for i := range sub.Steps {
		if need := sub.Steps[i].MinNeed(); !workspaces.FitsCap(ws, need) {
			return &exchange.Answer{
				Outcome: exchange.OverLimit, Reason: fmt.Sprintf("step %d needs %v at a time, which exceeds the workspace cap of %v", i, need, ws.Cap),
			}
		}
	}
	return nil
}
