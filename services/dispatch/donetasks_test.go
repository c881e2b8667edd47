// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/resource"

	"gotest.tools/v3/assert"
)

// restartedGang is a holder that has restarted a gang because the lease of a member's worker has expired.
// The worker has ended its run successfully, but the answer that reports this is still on its way.
type restartedGang struct {
	*harness
	// lateRenewal is the renewal whose answer is on its way, firstRun the run that it reports.
	lateRenewal exchange.Renew
	firstRun    order.Run
	// renewals are the pending renewals of the other workers, by name, starts the orders of the second
	// run, which have no answer yet.
	renewals map[string]exchange.Renew
	starts   []exchange.StartRun
}

// startGang returns a holder with three workers on which a gang of two members runs as the first of the
// given number of steps, the orders of its members and the pending renewals.
func startGang(t *testing.T, steps int) (*harness, []exchange.StartRun, map[string]exchange.Renew) {
	t.Helper()
	var workers []order.Worker
	for _, name := range []string{"w0", "w1", "w2"} {
		workers = append(workers, order.Worker{Incarnation: order.Incarnation{Name: name}, Address: name, Pool: pool, Capacity: workerCapacity})
	}
	d, renewals := newHolder(t, workers...)
	s := oneStep("j", "quick", 2, true)
	s.Steps[0].PerWorker = 1
	s.Steps[0].Need.Processors = 40 * resource.Processor
	for i := 1; i < steps; i++ {
		s.Steps = append(s.Steps, job.Step{Tasks: 1, Need: defaultNeed, Estimate: 1000, After: []int{0}})
	}
	starts := effectsOf[exchange.StartRun](d.submitAndLog(s))
	assert.Equal(t, len(starts), 2)
	for _, start := range starts {
		d.startAnswered(start, order.CarriedOut)
	}
	return d, starts, renewals
}

// startAnswered ends the call of a start with an outcome.
func (d *harness) startAnswered(s exchange.StartRun, outcome order.Outcome) []exchange.Effect {
	return d.handle(exchange.StartEnded{Worker: s.Worker, Epoch: s.Epoch, Run: s.Order.Run, Answer: order.Answer{Outcome: outcome}})
}

// restartGang returns a gang of a job with the given number of steps, in the state that restartedGang describes.
func restartGang(t *testing.T, steps int) *restartedGang {
	t.Helper()
	d, first, renewals := startGang(t, steps)
	lost, other := first[0], first[1]
	g := &restartedGang{harness: d, lateRenewal: renewals[lost.Worker.Name], firstRun: lost.Order.Run, renewals: renewals}
	delete(renewals, lost.Worker.Name)
	d.handle(exchange.RenewEnded{Worker: lost.Worker, Epoch: 1, Renewal: g.lateRenewal.Renewal, Answer: order.Answer{Outcome: order.Unknown}})
	running := map[string][]order.Run{other.Worker.Name: {other.Order.Run}}
	stopped := false
	for deadline := d.now.Add(2 * lease); len(g.starts) < 2; {
		assert.Assert(t, d.now.Before(deadline), "the gang was not restarted")
		effects := d.advance(20 * time.Millisecond)
		d.confirmClaimRenewal(effects)
		for name, r := range renewals {
			answer := renewAnswer(r, running[name]...)
			if stopped && name == other.Worker.Name {
				answer.Report.Ended = []order.End{{Number: 1, Run: other.Order.Run, Status: order.Stopped}}
			}
			effects = append(effects, d.handle(answer)...)
		}
		for _, r := range effectsOf[exchange.Renew](effects) {
			if r.Worker.Name != lost.Worker.Name {
				renewals[r.Worker.Name] = r
			}
		}
		for _, s := range effectsOf[exchange.StopRun](effects) {
			d.handle(exchange.StopEnded{Worker: s.Worker, Epoch: 1, Run: s.Order.Run, Answer: order.Answer{Outcome: order.CarriedOut}})
			stopped = true
			clear(running)
		}
		effects = append(effects, d.confirmAnyAppend(effects)...)
		g.starts = append(g.starts, effectsOf[exchange.StartRun](effects)...)
	}
	return g
}

// reportLateEnd delivers the answer that reports the success of the first run, confirms that the log has
// it, and returns all effects.
func (g *restartedGang) reportLateEnd() []exchange.Effect {
	effects := g.handle(doneAnswer(g.lateRenewal, g.firstRun))
	effects = append(effects, g.advance(20*time.Millisecond)...)
	return append(effects, g.confirmAnyAppend(effects)...)
}

// TestMembersOfGangThatIsDoneAreNotStartedAgain guards against a task that is started again after its success
// was acknowledged. A gang was restarted because the lease of a member's worker had expired, and the success of
// the first run was known only then, from a late answer. The start orders of the second run that had no
// answer were sent again.
func TestMembersOfGangThatIsDoneAreNotStartedAgain(t *testing.T) {
	g := restartGang(t, 2)
	g.reportLateEnd()
	for _, start := range g.starts {
		again := effectsOf[exchange.StartRun](g.startAnswered(start, order.Unknown))
		for _, s := range again {
			assert.Check(t, s.Order.Run.Task.Step != 0, "%v is ordered again as run %d although the gang is done", s.Order.Run.Task, s.Order.Run.Number)
		}
	}
}

// TestLaterRunOfGangThatIsDoneIsStopped guards against runs of a task that is done: the members of a gang's second
// run were left to run to their end when the success of the first run became known.
func TestLaterRunOfGangThatIsDoneIsStopped(t *testing.T) {
	for _, steps := range []int{1, 2} {
		g := restartGang(t, steps)
		g.startAnswered(g.starts[0], order.CarriedOut)
		stops := effectsOf[exchange.StopRun](g.reportLateEnd())
		assert.Equal(t, len(stops), 2, "with %d steps", steps)
		for i, s := range stops {
			assert.Check(t, s.Order.Run.Number > g.firstRun.Number, "stop %d is for run %d", i, s.Order.Run.Number)
		}
	}
}

// The members of the run that was successful end by themselves.
func TestSuccessOfMemberStopsNoMemberOfItsRun(t *testing.T) {
	d, starts, renewals := startGang(t, 2)
	effects := d.handle(doneAnswer(renewals[starts[0].Worker.Name], starts[0].Order.Run))
	effects = append(effects, d.advance(20*time.Millisecond)...)
	assert.Equal(t, len(effectsOf[exchange.StopRun](effects)), 0)
}

// TestEndOfEarlierRunStopsNoMemberOfRestartedGang guards against the waste of a gang's second run: the worker whose
// lease had expired answered again and reported that its member of the first run had ended with the lease,
// whereupon the members of the second run were stopped.
func TestEndOfEarlierRunStopsNoMemberOfRestartedGang(t *testing.T) {
	for _, status := range []order.EndStatus{order.LeaseExpired, order.Failed} {
		g := restartGang(t, 2)
		for _, start := range g.starts {
			g.startAnswered(start, order.CarriedOut)
		}
		answer := doneAnswer(g.lateRenewal, g.firstRun)
		answer.Report.Ended[0].Status = status
		effects := append(g.handle(answer), g.advance(20*time.Millisecond)...)
		assert.Equal(t, len(effectsOf[exchange.StopRun](effects)), 0, "after an end with %s", status)
	}
}
