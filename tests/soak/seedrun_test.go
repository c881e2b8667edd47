// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak_test

import (
	"context"
	"testing"
	"time"

	"saddlevane/tests/soak"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

const (
	// crashingJobs is the number of jobs in a run that crash their workers, wideJobs the
	// number of jobs with 20 to 40 tasks.
	crashingJobs = 2
	wideJobs     = 3
	// recoveryTime is the time after a stall of open connections by which jobs must be served
	// as before, and minRecoveredShare the least acceptable ratio of the shares of promptly
	// served jobs after and before. Both are requirements of the users.
	recoveryTime      = 6 * time.Second
	minRecoveredShare = 0.85
	// endTimeout is the time after the last stall by which all jobs that were accepted before
	// it must have ended: each call for a job may time out, and a task that may have been
	// started is started again once its lease has expired.
	endTimeout = serveTimeout + soak.LeaseDuration
	// closeTimeout is how long after its last job a box may keep connections open that are
	// idle or stalled. idleTimeout is the setting connections.unused; 2 s are for the test
	// itself.
	closeTimeout = idleTimeout + probeAfter + answerTimeout + 2*time.Second
	idleTimeout  = 3 * time.Second
	// maxOpenSockets bounds the sockets that a box has open then, without those of callers:
	// three listeners, four waiting reads of the log and two appends, one call for advice,
	// and a connection from and to each other box. The holder of the cell has two orders for
	// each worker in addition.
	maxOpenSockets   = 3 + 4 + 2 + 1 + 2*(boxCount-1)
	maxHolderSockets = maxOpenSockets + 2*workerCount
)

// seedRun is the run of one seed.
type seedRun struct {
	t       *testing.T
	ctx     context.Context
	rig     *soak.Rig
	callers *soak.Callers
	faults  *soak.Faults
	outages *soak.Outages
}

// run submits jobs throughout three phases: without faults, under outages and random faults, and after
// one more stall of all open connections when all other faults have ended.
func (p *seedRun) run() {
	submitCtx, stopSubmitting := context.WithCancel(p.ctx)
	var tasks conc.WaitGroup
	tasks.Go(func() { p.callers.Run(p.ctx, submitCtx, jobsPerSecond) })
	before := p.waitCalm()
	p.wait(calmDrainDuration)
	p.callers.RunLongJobs(p.ctx, p.outages)
	p.faults.ScheduleOutages(p.ctx, p.outages)
	p.wait(p.outages.Lead())
	p.callers.RunCrashingJobs(p.ctx, crashingJobs)
	p.callers.RunWideJobs(p.ctx, wideJobs)
	p.faults.Run(p.ctx, faultsDuration)
	assert.Check(p.t, p.faults.StallAll() > 0, "no connection was open")
	stalledAt := time.Now()
	p.wait(recoveryTime)
	after := p.waitCalm()
	stopSubmitting()
	tasks.Wait()
	p.callers.Wait()
	p.checkSockets()
	p.checkServed(before, after)
	late := p.callers.LateJobs(stalledAt, stalledAt.Add(endTimeout))
	p.t.Run(allEnded, func(t *testing.T) {
		assert.Check(t, len(late) == 0, "accepted before the last stall and not ended %v after it: %v", endTimeout, late)
	})
}

// allEnded is the name of the check that all jobs have ended within endTimeout after the last
// stall. It is a subtest so that the other guarantees of a seed are still checked while it is
// known to fail.
const allEnded = "all jobs have ended"

// window is a time interval.
type window struct{ from, to time.Time }

// waitCalm waits for calmDuration and returns that interval.
func (p *seedRun) waitCalm() window {
	from := time.Now()
	p.wait(calmDuration)
	return window{from: from, to: time.Now()}
}

// wait waits for d, or until the context of the run ends.
func (p *seedRun) wait(d time.Duration) {
	select {
	case <-time.After(d):
	case <-p.ctx.Done():
	}
}

// checkServed checks that nearly as large a share of jobs is served promptly after the last
// stall as before the first.
func (p *seedRun) checkServed(before, after window) {
	shareBefore, jobsBefore := p.callers.PromptShare(before.from, before.to)
	shareAfter, jobsAfter := p.callers.PromptShare(after.from, after.to)
	p.t.Logf("served promptly: %.2f of %d jobs before, %.2f of %d jobs after", shareBefore, jobsBefore, shareAfter, jobsAfter)
	p.t.Run(servedAsBefore, func(t *testing.T) {
		assert.Check(t, shareAfter >= minRecoveredShare*shareBefore, "%.2f of the jobs are served promptly %v after the last stall, %.2f before the first",
			shareAfter, recoveryTime, shareBefore)
	})
}

// servedAsBefore is the name of the check that jobs are served as before the first stall. It
// is a subtest for the same reason as allEnded.
const servedAsBefore = "served as before"

// checkSockets checks that boxes without callers close idle and stalled connections.
func (p *seedRun) checkSockets() {
	idleSince := time.Now()
	open := p.socketCounts()
	for hasTooManySockets(open) && time.Since(idleSince) < closeTimeout && p.ctx.Err() == nil {
		p.wait(100 * time.Millisecond)
		open = p.socketCounts()
	}
	p.t.Logf("open %.1f s after the last job: %v", time.Since(idleSince).Seconds(), open)
	assert.Check(p.t, !hasTooManySockets(open), "open %v after the last job: %v, more than %d at the holder or %d elsewhere", closeTimeout, open, maxHolderSockets, maxOpenSockets)
}

// socketCounts returns the number of open sockets of each box, by name.
func (p *seedRun) socketCounts() map[string]int {
	all, err := p.rig.SocketCounts()
	assert.Check(p.t, err == nil, "%v", err)
	return all
}

// hasTooManySockets reports whether a box has more than maxHolderSockets open, or more than
// one box has more than maxOpenSockets.
func hasTooManySockets(open map[string]int) bool {
	holders := 0
	for _, n := range open {
		if n > maxHolderSockets {
			return true
		}
		if n > maxOpenSockets {
			holders++
		}
	}
	return holders > 1
}
