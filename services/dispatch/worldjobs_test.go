// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/models/stream"
	"saddlevane/services/jobrecords"
)

// submit submits a job, again and again until a box accepts it.
func (w *world) submit(s job.Submission) *submittedJob {
	a := &submittedJob{
		sub: s, done: map[job.TaskID]bool{}, acknowledged: map[job.TaskID]bool{}, acknowledgedFailures: map[job.TaskID]int{},
	}
	w.jobs[s.ID] = a
	w.jobIDs = append(w.jobIDs, s.ID)
	w.trySubmit(a)
	return a
}

// trySubmit submits a job at the holder, or at a random box if there is none. It tries again 200 ms
// after a refusal, and if there is no answer within 2 s.
func (w *world) trySubmit(a *submittedJob) {
	retry := func() { w.after(200*time.Millisecond, func() { w.trySubmit(a) }) }
	b := w.boxes[w.rng.Intn(len(w.boxes))]
	if h := w.holder(); h != nil {
		b = h
	}
	if !b.alive {
		retry()
		return
	}
	// Until the box has answered, it may have accepted the job.
	a.mayRun = true
	answered := false
	w.after(2*time.Second, func() {
		if !answered && !a.accepted {
			answered = true
			retry()
		}
	})
	b.call(func(id exchange.CallID) exchange.Event { return exchange.Submitted{Call: id, Submission: a.sub} },
		func(answer exchange.Answer) {
			if answered {
				return
			}
			answered = true
			if answer.Outcome == exchange.OK {
				a.accepted = true
				return
			}
			retry()
		})
}

// cancel cancels a job at the holder, as soon as there is one.
func (w *world) cancel(a *submittedJob) {
	h := w.holder()
	if h == nil {
		w.after(100*time.Millisecond, func() { w.cancel(a) })
		return
	}
	h.call(func(id exchange.CallID) exchange.Event { return exchange.CancelAsked{Call: id, Job: a.sub.ID} },
		func(answer exchange.Answer) {
			if answer.Outcome == exchange.OK && answer.State == job.Cancelled {
				a.cancelled = w.now
			}
		})
}

// queryStates asks the holder for the states of all jobs and checks the answers.
func (w *world) queryStates() {
	h := w.holder()
	if h == nil {
		return
	}
	for _, id := range w.jobIDs {
		a := w.jobs[id]
		h.call(func(call exchange.CallID) exchange.Event { return exchange.StateAsked{Call: call, Job: id} },
			func(answer exchange.Answer) {
				if answer.Outcome == exchange.NoJob && a.accepted {
					w.violationf("%s was accepted, but the holder does not know it", id)
				}
				a.state = answer.State
				w.checkState(a)
				w.checkFinalState(a)
			})
	}
}

// checkState records a violation if the state that the holder shows for a job cannot be true.
func (w *world) checkState(a *submittedJob) {
	w.checkFailed(a)
	if a.state != job.Succeeded {
		return
	}
	for instance := range a.sub.Instances() {
		for i, s := range a.sub.Steps {
			for index := range s.Tasks {
				if !a.done[job.TaskID{StepID: job.StepID{Job: a.sub.ID, Instance: instance, Step: i}, Index: index}] {
					w.violationf("%s is shown as succeeded, but step %d task %d of instance %d is not done", a.sub.ID, i, index, instance)
				}
			}
		}
	}
}

// checkFinalState records a violation if a job is shown in a final state that the log does not have, or in another state
// after it was shown in a final one.
func (w *world) checkFinalState(a *submittedJob) {
	switch {
	case a.state == "":
		// The box does not hold the cell any more, or has dropped the job.
	case a.finalState != "":
		if a.state != a.finalState {
			w.violationf("%s is shown as %s after it was shown as %s", a.sub.ID, a.state, a.finalState)
		}
	case a.state.IsFinal():
		a.finalState = a.state
		if logged := w.loggedState(a.sub.ID); logged != a.state {
			w.violationf("%s is shown as %s, and the log has it as %q", a.sub.ID, a.state, logged)
		}
	}
}

// loggedState returns the state of a job in the newest record of its progress, or "" if there is none.
func (w *world) loggedState(id job.ID) job.State {
	key := jobrecords.ProgressRecord(id, job.Progress{}).Key
	for _, r := range slices.Backward(w.streams[stream.Jobs].records) {
		if r.Key != key {
			continue
		}
		var p job.Progress
		if err := json.Unmarshal(r.Value, &p); err != nil {
			w.fatalf("the log's record %s: %v", key, err)
		}
		return p.State
	}
	return ""
}

// allEnded queries the states of all jobs and reports whether all accepted jobs have ended.
func (w *world) allEnded() bool {
	w.queryStates()
	for _, a := range w.jobs {
		if a.accepted && !a.state.IsFinal() {
			return false
		}
	}
	return len(w.jobs) > 0
}

// oneStep returns a job of one step whose tasks take about a second.
func oneStep(id string, queue string, tasks int, gang bool) job.Submission {
	return job.Submission{ID: job.ID(id), Queue: queue, Spec: "x", Steps: []job.Step{
		{Tasks: tasks, Need: defaultNeed, Estimate: 1000, Gang: gang},
	}}
}

// randomJob returns a job of one to three random steps, similar to those that users submit.
func (w *world) randomJob(n int) job.Submission {
	s := job.Submission{ID: job.ID(fmt.Sprintf("job%d", n)), Queue: "quick", Spec: "x"}
	if w.rng.Intn(3) == 0 {
		s.Queue = "wide"
	}
	for i := range 1 + w.rng.Intn(3) {
		step := job.Step{
			Tasks: 1 + w.rng.Intn(6), Estimate: job.Milliseconds(200 + w.rng.Intn(3000)),
			Need: resource.Vector{Processors: resource.Millis(1000 + w.rng.Intn(20000)), Memory: resource.GiB},
			Gang: w.rng.Intn(3) == 0, Checkpoints: w.rng.Intn(2) == 0,
		}
		if i > 0 && w.rng.Intn(4) > 0 {
			step.After = []int{i - 1}
		}
		s.Steps = append(s.Steps, step)
	}
	if len(w.workspaces) > 0 {
		s.Workspace = w.workspaces[w.rng.Intn(len(w.workspaces))]
	}
	return s
}
