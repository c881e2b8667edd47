// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"slices"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/modules/ordered"
)

// Status returns what this process knows about the cell.
func (c *Core) Status(now time.Time) job.CellStatus {
	s := job.CellStatus{
		Box: c.self.Box, Holder: c.Holder().Box, Claim: c.Holder().Epoch, Holds: c.IsServing(now), LogAnswers: c.IsLogReachable(),
	}
	if c.config != nil {
		s.Config = c.config.Version
	}
	s.Evacuations = c.evacuationStatus()
	for name := range ordered.Map(c.members) {
		s.Members = append(s.Members, name)
	}
	if c.holding != nil {
		c.holding.addHolderStatus(now, &s)
	}
	return s
}

// addHolderStatus adds the parts of the status that only the holder has.
func (h *holderState) addHolderStatus(now time.Time, s *job.CellStatus) {
	s.Jobs = map[job.State]int{}
	for _, j := range h.jobs {
		s.Jobs[j.reportedState]++
	}
	s.OpenSteps, s.UnsettledWorkers, s.AppendsFailing = len(h.openSteps), len(h.unreportedWorkers), h.journal.isFailing(now)
	var capacity, used resource.Vector
	for id, w := range ordered.Map(h.workers) {
		s.Workers = append(s.Workers, job.WorkerStatus{
			ID: id, Domain: w.Domain, AcceptsTasks: h.isSchedulable(now, w), Tasks: len(w.attempts), FreeProcessors: w.free.Processors.String(),
			Failures: w.failedRenewals, Leaving: w.Leaving, Evacuated: h.isEvacuated(w), Speed: h.speeds.Of(now, id).String(),
		})
		capacity = capacity.Plus(w.Capacity)
		used = used.Plus(w.Capacity.Minus(w.free))
	}
	s.Workspaces = h.workspaceStatus()
	s.Processors, s.ProcessorsUsed = capacity.Processors.String(), used.Processors.String()
}

// explainJob replies with the state of a job, its slack and the reasons why its tasks wait.
func (h *holderState) explainJob(now time.Time, e exchange.ExplanationAsked) {
	if h.replyUndecodable(e.Call, e.Job, false) {
		return
	}
	j := h.jobs[e.Job]
	if j == nil {
		h.core.reply(e.Call, exchange.Answer{Outcome: exchange.NoJob})
		return
	}
	x := job.Explanation{ID: j.id, Queue: j.queue, Workspace: j.workspace, State: j.reportedState, FailureReason: j.failReason}
	for _, in := range ordered.Map(j.instances) {
		x.Slack = job.Milliseconds(in.dueAt.Add(objective(in, h.queueOf(j))).Sub(now).Milliseconds())
		for _, s := range in.steps {
			x.Steps = append(x.Steps, h.explainStep(now, s))
		}
	}
	h.core.reply(e.Call, exchange.Answer{Outcome: exchange.OK, State: j.reportedState, Explanation: &x})
}

// explainStep returns the task counts of a step and why tasks of it wait.
func (h *holderState) explainStep(now time.Time, s *step) job.StepExplanation {
	x := job.StepExplanation{Step: s.id.String(), Tasks: len(s.tasks), Done: s.doneTasks, Placed: s.placedTasks, Waiting: s.unplacedTasks}
	switch {
	case s.job.state.IsFinal():
	case s.unplacedTasks > 0:
		x.Reason = h.waitReason(now, s)
	default:
		x.Reason = h.suspectReason(s)
	}
	return x
}

// waitReason explains in one sentence what a step's waiting tasks wait for.
func (h *holderState) waitReason(now time.Time, s *step) string {
	q := h.queueOf(s.job)
	set := h.workersFor(newPass(now), s, q.Pool)
	switch {
	case h.startsWithheld:
		return "the log has not confirmed for some time which failure domains are evacuated"
	case h.blame.SuspectCount(s.id) > 0 && h.unsuspectedWaiting(s) <= 0:
		return h.suspectReason(s)
	case !s.job.accepted:
		return "the log has not confirmed the job yet"
	case !s.instance.isReady(s):
		return fmt.Sprintf("it depends on steps %v, which are not all done", s.spec.After)
	case q.Pool == "":
		return "the configuration no longer names a pool of workers for the queue"
	case s.job.inherited && len(h.unreportedWorkers) > 0:
		return fmt.Sprintf("%d workers of an earlier holder have not reported their running tasks yet", len(h.unreportedWorkers))
	case s.spec.Gang && s.placedTasks > 0:
		return fmt.Sprintf("%d members of the gang's last run have not ended yet", s.placedTasks)
	case h.placeable(s) == 0 || s.spec.Gang && h.slotsUnderCap(s) < len(s.tasks):
		return fmt.Sprintf("%d tasks need %v each; tasks of workspace %q use or may use %v of its cap of %v",
			s.unplacedTasks, s.spec.Need, s.job.workspace, h.usage.Of(s.job.workspace), h.workspaceOf(s.job).Cap)
	case len(set.workers) == 0:
		return "no worker of the pool accepts new tasks at present" + h.evacuatedNote()
	case !slices.ContainsFunc(set.workers, func(w *worker) bool { return s.spec.Reserved().Fits(w.Capacity) }):
		return fmt.Sprintf("no worker is large enough for %v%s", s.spec.Need, h.evacuatedNote())
	case s.advice.hasCalls():
		return "the advice service has not answered yet"
	case q.Advice != nil && s.advice.knownCount() == 0:
		return "the advice service has not been asked about any worker yet"
	case len(rankedStep{step: s, queue: q}.eligibleWorkers(set)) == 0:
		return fmt.Sprintf("the advice service allows none of the %d workers it was asked about%s", s.advice.knownCount(), h.evacuatedNote())
	default:
		_, placed := h.fit(now, s, rankedStep{step: s, queue: q}.eligibleWorkers(set))
		return fmt.Sprintf("%d tasks need %v each, and the workers have room for %d%s", s.unplacedTasks, s.spec.Need, placed, h.evacuatedNote())
	}
}
