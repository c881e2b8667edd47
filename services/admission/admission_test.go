// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/services/admission"

	"gotest.tools/v3/assert"
)

// cell is a pool of processors that is shared by the jobs of the tests. Accepted jobs start in the
// order in which they were accepted, those within their share first.
type cell struct {
	now      time.Time
	capacity int
	running  []*load
	waiting  []*load
	accepted map[job.ID]*load
	control  *admission.Controller
}

// load is one job of a cell.
type load struct {
	admission.Job
	within              bool
	acceptedAt, startAt time.Time
}

// step is the time between two events of a cell.
const step = 10 * time.Millisecond

// newCell returns an empty cell.
func newCell(processors int) *cell {
	return &cell{
		now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), capacity: processors,
		accepted: map[job.ID]*load{}, control: admission.New(),
	}
}

// lookup is a short job that takes 3 processors for half a second.
func lookup(workspace string, number int) admission.Job {
	return admission.Job{
		ID: job.ID(fmt.Sprintf("%s-%d", workspace, number)), Workspace: workspace, Queue: "lookup", Pool: "p", Weight: 10,
		Need: resource.Vector{Processors: 3 * resource.Processor}, SuitableShare: 1,
		CriticalPath: 500 * time.Millisecond, Objective: time.Second, UsefulTime: 3 * time.Second,
	}
}

// free returns the processors that nothing uses.
func (c *cell) free() int {
	free := c.capacity
	for _, l := range c.running {
		free -= processors(l.Job)
	}
	return free
}

func processors(j admission.Job) int { return int(j.Need.Processors / resource.Processor) }

// advance ends and starts jobs, and refreshes the sums of the pool when they are due.
func (c *cell) advance() {
	c.now = c.now.Add(step)
	still := c.running[:0]
	for _, l := range c.running {
		if c.now.Sub(l.startAt) < l.CriticalPath {
			still = append(still, l)
		}
	}
	c.running = still
	c.start(true)
	c.start(false)
	if c.control.NeedsRefresh(c.now) {
		c.refresh(true)
	}
}

// start starts the waiting jobs for which there is capacity.
func (c *cell) start(within bool) {
	left := c.waiting[:0]
	blocked := false
	for _, l := range c.waiting {
		if l.within != within || blocked || processors(l.Job) > c.free() {
			blocked = blocked || l.within == within
			left = append(left, l)
			continue
		}
		l.startAt = c.now
		c.running = append(c.running, l)
		c.control.Started(c.now, l.ID)
	}
	c.waiting = left
}

// refresh computes the sums of the pool.
func (c *cell) refresh(complete bool) {
	p := admission.NewPool()
	p.AddFree(resource.Vector{Processors: resource.Millis(max(0, c.free())) * resource.Processor})
	for _, l := range c.running {
		p.AddRunning(l.Need, l.CriticalPath)
	}
	for _, l := range c.waiting {
		p.AddWaiting(l.Need, l.Priority, !l.within)
	}
	c.control.Refresh(c.now, map[string]*admission.Pool{"p": p}, complete)
}

// add makes an accepted job wait.
func (c *cell) add(j admission.Job, within bool) {
	l := &load{Job: j, within: within, acceptedAt: c.now}
	c.accepted[j.ID] = l
	c.waiting = append(c.waiting, l)
}

// submitWithin submits a job that is within its share.
func (c *cell) submitWithin(j admission.Job) {
	c.control.AcceptedWithinShare(c.now, j)
	c.add(j, true)
}

// submit submits a job beyond its share.
func (c *cell) submit(j admission.Job) admission.Decision {
	d := c.control.Decide(c.now, j)
	if d.Accepted {
		c.add(j, false)
	}
	return d
}

// lateness returns how many of the accepted jobs there are and how many started too late.
func (c *cell) lateness(within bool) (all, late int) {
	for _, l := range c.accepted {
		if l.within != within {
			continue
		}
		all++
		end := l.startAt.Add(l.CriticalPath)
		if l.startAt.IsZero() {
			end = c.now.Add(l.CriticalPath)
		}
		// A cell starts jobs one step after they are accepted.
		if end.Sub(l.acceptedAt) > l.Objective+step {
			late++
		}
	}
	return all, late
}

// callers submit jobs beyond the share of their workspace, and return as the behavior says.
type callers struct {
	c *cell
	// returns has the jobs that come back, by time.
	returns map[time.Time][]admission.Job
	first   map[job.ID]time.Time
	// refusals counts the refusals of each job.
	refusals map[job.ID]int
	// wait returns when a caller returns that was refused, or false if it does not.
	wait func(d admission.Decision) (time.Duration, bool)
}

// patience is how long after its first try a caller gives up.
const patience = 3 * time.Second

func newCallers(c *cell) *callers {
	return &callers{
		c: c, returns: map[time.Time][]admission.Job{}, first: map[job.ID]time.Time{}, refusals: map[job.ID]int{},
		wait: func(d admission.Decision) (time.Duration, bool) { return d.RetryAfter, true },
	}
}

// submit submits a job and plans its return if it is refused. A caller never waits for more than
// half of the time that it has left.
func (a *callers) submit(t *testing.T, j admission.Job) admission.Decision {
	t.Helper()
	now := a.c.now
	if _, known := a.first[j.ID]; !known {
		a.first[j.ID] = now
	}
	d := a.c.submit(j)
	if d.Accepted {
		return d
	}
	assert.Check(t, d.RetryAfter >= time.Second, "%v", d)
	a.refusals[j.ID]++
	left := patience - now.Sub(a.first[j.ID])
	if wait, comes := a.wait(d); comes && a.refusals[j.ID] <= 4 {
		at := now.Add(min(wait, left/2)).Truncate(step)
		if at.After(now) {
			a.returns[at] = append(a.returns[at], j)
		}
	}
	return d
}

// advance advances the cell and submits the jobs that return.
func (a *callers) advance(t *testing.T) {
	t.Helper()
	a.c.advance()
	due := a.returns[a.c.now]
	delete(a.returns, a.c.now)
	for _, j := range due {
		a.submit(t, j)
	}
}

// run advances for a time; every period, submit gets the number of the next job.
func (a *callers) run(t *testing.T, d, period time.Duration, submit func(number int)) {
	t.Helper()
	begin, number := a.c.now, len(a.first)+len(a.c.accepted)
	var submitted time.Duration
	for a.c.now.Sub(begin) < d {
		a.advance(t)
		for ; period > 0 && submitted < a.c.now.Sub(begin); submitted += period {
			submit(number)
			number++
		}
	}
}

// refusedJobs returns how many jobs were refused, how often in all, and how many never got in.
func (a *callers) refusedJobs() (jobs, refusals, never int) {
	for id, n := range a.refusals {
		jobs++
		refusals += n
		if a.c.accepted[id] == nil {
			never++
		}
	}
	return jobs, refusals, never
}

// usual is the time between two lookups at which 60 processors are half in use.
const usual = 50 * time.Millisecond

func TestWorkspaceAtEightTimesItsUsualRate(t *testing.T) {
	c := newCell(60)
	a := newCallers(c)
	n := 0
	others := func() {
		n++
		c.submitWithin(lookup("calm", n))
	}
	a.run(t, 3*time.Second, usual, func(int) { others() })
	a.run(t, 7*time.Second, usual/8, func(i int) {
		if i%8 == 0 {
			others()
		}
		a.submit(t, lookup("hot", i))
	})
	a.run(t, 3*time.Second, usual, func(int) { others() })
	within, lateWithin := c.lateness(true)
	beyond, lateBeyond := c.lateness(false)
	jobs, refusals, never := a.refusedJobs()
	t.Logf("within %d late %d, beyond %d late %d, refused %d refusals %d never %d", within, lateWithin, beyond, lateBeyond, jobs, refusals, never)
	assert.Equal(t, lateWithin, 0)
	// Half of the capacity is left, for 20 jobs a second.
	assert.Check(t, beyond >= 7*20*8/10, "%d jobs beyond the share were accepted", beyond)
	assert.Check(t, lateBeyond*10 <= beyond, "%d of %d accepted jobs are late", lateBeyond, beyond)
}

func TestThreeWorkspacesAtOnce(t *testing.T) {
	c := newCell(60)
	a := newCallers(c)
	accepted := map[string]int{}
	a.run(t, 7*time.Second, usual/8, func(i int) {
		j := lookup([]string{"a", "b", "c"}[i%3], i)
		j.Weight = []float64{1, 1, 2}[i%3]
		a.submit(t, j)
	})
	for _, l := range c.accepted {
		accepted[l.Workspace]++
	}
	all, late := c.lateness(false)
	t.Logf("%v late %d", accepted, late)
	assert.Check(t, late*10 <= all)
	assert.Check(t, all >= 7*40*8/10, "%d accepted", all)
	for _, name := range []string{"a", "b", "c"} {
		assert.Check(t, accepted[name]*8 >= all, "%s got %d of %d", name, accepted[name], all)
	}
}

// fill makes the cell full with tasks that end one by one within a second. They were accepted long
// before.
func fill(c *cell) {
	all := c.capacity / 3
	for i := range all {
		j := lookup("full", i)
		j.CriticalPath = time.Second
		c.add(j, true)
	}
	c.advance()
	for i, l := range c.running {
		l.startAt = l.startAt.Add(-time.Second * time.Duration(i) / time.Duration(all))
	}
}

func TestAllRefusedAtOnceAndReturning(t *testing.T) {
	c := newCell(60)
	fill(c)
	c.refresh(true)
	a := newCallers(c)
	waits := map[time.Duration]int{}
	for i := range 200 {
		if d := a.submit(t, lookup("hot", i)); !d.Accepted {
			waits[d.RetryAfter]++
		}
	}
	a.run(t, 4*time.Second, 0, nil)
	jobs, refusals, never := a.refusedJobs()
	t.Logf("waits %v; refused %d refusals %d never %d", waits, jobs, refusals, never)
	assert.Check(t, len(waits) > 1, "all are to return at the same time")
	for wait, n := range waits {
		assert.Check(t, wait == 3*time.Second || n <= 60, "%d are to return in %v", n, wait)
	}
	all, late := c.lateness(false)
	assert.Check(t, late*10 <= all, "%d of %d accepted jobs are late", late, all)
	for range 500 {
		c.advance()
	}
	assert.Equal(t, c.control.Places(), 0)
}

func TestCallersThatNeverReturn(t *testing.T) {
	c := newCell(60)
	fill(c)
	c.refresh(true)
	a := newCallers(c)
	a.wait = func(admission.Decision) (time.Duration, bool) { return 0, false }
	for i := range 200 {
		a.submit(t, lookup("gone", i))
	}
	// All of them lose their places, and newcomers then get all capacity.
	var last time.Time
	a.run(t, 8*time.Second, usual, func(i int) {
		if d := a.submit(t, lookup("new", i)); !d.Accepted {
			last = c.now
		}
	})
	assert.Check(t, c.now.Sub(last) > time.Second, "refused until %v", last)
	assert.Equal(t, c.control.Places(), 0)
}

func TestCallersThatReturnAtOnceWhateverTheyGet(t *testing.T) {
	accepted := func(impatient bool) (patient int, other int) {
		c := newCell(60)
		fill(c)
		c.refresh(true)
		a := newCallers(c)
		a.wait = func(d admission.Decision) (time.Duration, bool) { return d.RetryAfter, true }
		b := newCallers(c)
		b.first, b.returns = a.first, map[time.Time][]admission.Job{}
		if impatient {
			b.wait = func(admission.Decision) (time.Duration, bool) { return step, true }
		}
		a.run(t, 4*time.Second, usual/4, func(i int) {
			b.c = c
			due := b.returns[c.now]
			delete(b.returns, c.now)
			for _, j := range due {
				b.submit(t, j)
			}
			a.submit(t, lookup("patient", i))
			b.submit(t, lookup("impatient", i))
		})
		for _, l := range c.accepted {
			switch l.Workspace {
			case "patient":
				patient++
			case "impatient":
				other++
			}
		}
		return patient, other
	}
	patient, other := accepted(true)
	t.Logf("patient %d impatient %d", patient, other)
	assert.Check(t, patient*4 >= other*3, "%d patient, %d impatient", patient, other)
}

func TestCellLosesThirdOfItsWorkersMeanwhile(t *testing.T) {
	c := newCell(60)
	a := newCallers(c)
	a.run(t, 3*time.Second, usual/4, func(i int) { a.submit(t, lookup("hot", i)) })
	c.capacity = 40
	a.run(t, 4*time.Second, usual/4, func(i int) { a.submit(t, lookup("hot", i)) })
	all, late := c.lateness(false)
	t.Logf("%d late %d", all, late)
	assert.Check(t, late*10 <= all, "%d of %d accepted jobs are late", late, all)
	assert.Check(t, all >= 3*40*8/10+4*26*8/10, "%d accepted", all)
}

func TestNewHolderWhileHundredsReturn(t *testing.T) {
	c := newCell(60)
	for i := range 15 {
		c.submitWithin(lookup("old", i))
	}
	c.advance()
	c.control = admission.New()
	c.refresh(false)
	accepted, waits := 0, map[time.Duration]int{}
	for i := range 300 {
		d := c.submit(lookup("hot", i))
		if d.Accepted {
			accepted++
			continue
		}
		waits[d.RetryAfter]++
	}
	// What is free now is used, and nothing is accepted on a forecast.
	assert.Equal(t, accepted, 5)
	assert.Equal(t, len(waits), 3)
	for _, n := range waits {
		assert.Check(t, n > 295/6, "%v", waits)
	}
	assert.Equal(t, c.control.Places(), 0)
}

// TestCallerAtItsTurnGoesBeforeNewOnes replays a backlog that leaves a new job with more than half of
// its slack, but a returning one in time.
func TestCallerAtItsTurnGoesBeforeNewOnes(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for _, c := range []struct {
		name     string
		after    time.Duration
		accepted bool
	}{
		{"before its turn", 500 * time.Millisecond, false},
		{"at its turn", time.Second, true},
		{"within the grace", 1400 * time.Millisecond, true},
		{"after it lost its place", 1600 * time.Millisecond, false},
	} {
		control := admission.New()
		refresh := func(at time.Time, waiting resource.Millis) {
			p := admission.NewPool()
			p.AddRunning(resource.Vector{Processors: 60 * resource.Processor}, time.Second)
			p.AddWaiting(resource.Vector{Processors: waiting * resource.Processor}, 0, false)
			control.Refresh(at, map[string]*admission.Pool{"p": p}, true)
		}
		refresh(now, 60)
		d := control.Decide(now, lookup("hot", 1))
		assert.Equal(t, d.Accepted, false, c.name)
		assert.Equal(t, d.RetryAfter, time.Second, c.name)
		at := now.Add(c.after)
		refresh(at, 20)
		assert.Equal(t, control.Decide(at, lookup("new", 2)).Accepted, false, c.name)
		assert.Equal(t, control.Decide(at, lookup("hot", 1)).Accepted, c.accepted, c.name)
	}
}

// TestJobThatIsOfNoUseAtItsReturnIsRefused replays a caller that returns while all capacity is free,
// so late that its job would end after its useful time.
func TestJobThatIsOfNoUseAtItsReturnIsRefused(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for after, accepted := range map[time.Duration]bool{2 * time.Second: true, 2600 * time.Millisecond: false} {
		control := admission.New()
		p := admission.NewPool()
		p.AddWaiting(resource.Vector{Processors: 60 * resource.Processor}, 0, false)
		control.Refresh(now, map[string]*admission.Pool{"p": p}, true)
		assert.Equal(t, control.Decide(now, lookup("hot", 1)).Accepted, false)
		free := admission.NewPool()
		free.AddFree(resource.Vector{Processors: 60 * resource.Processor})
		control.Refresh(now.Add(after), map[string]*admission.Pool{"p": free}, true)
		assert.Equal(t, control.Decide(now.Add(after), lookup("hot", 1)).Accepted, accepted, "%v", after)
	}
}

// TestWorkspaceWithoutWeightGetsWhatOthersLeave replays a workspace with weight and one without that
// are refused at the same time.
func TestWorkspaceWithoutWeightGetsWhatOthersLeave(t *testing.T) {
	c := newCell(60)
	fill(c)
	c.refresh(true)
	places := map[string]int{}
	for i := range 200 {
		j := lookup([]string{"with", "without"}[i%2], i)
		if i%2 == 1 {
			j.Weight = 0
		}
		if d := c.submit(j); d.Place > 0 {
			places[j.Workspace]++
		}
	}
	assert.Check(t, places["with"] > 10*places["without"], "%v", places)
	assert.Check(t, places["without"] > 0, "%v", places)
}

// TestForecastsThatAreTooLongDoNotRefuse replays a pool in which nothing seems to end although all
// jobs start at once.
func TestForecastsThatAreTooLongDoNotRefuse(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	control := admission.New()
	accepted := 0
	var lastRefused time.Time
	for i := range 1000 {
		now = now.Add(step)
		control.Refresh(now, map[string]*admission.Pool{"p": admission.NewPool()}, true)
		j := lookup("hot", i)
		if d := control.Decide(now, j); !d.Accepted {
			lastRefused = now
			continue
		}
		accepted++
		control.Started(now.Add(step), j.ID)
	}
	assert.Check(t, now.Sub(lastRefused) > 4*time.Second, "still refused after %v", lastRefused)
	assert.Check(t, accepted > 400)
}

// TestForecastsThatAreTooShortAreCorrected replays a pool of which the free capacity suits no job.
func TestForecastsThatAreTooShortAreCorrected(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	control := admission.New()
	accepted := 0
	for i := range 1000 {
		now = now.Add(step)
		p := admission.NewPool()
		p.AddFree(resource.Vector{Processors: 60 * resource.Processor})
		control.Refresh(now, map[string]*admission.Pool{"p": p}, true)
		if control.Decide(now, lookup("hot", i)).Accepted {
			accepted++
		}
	}
	assert.Check(t, accepted < 300, "%d of 1000 jobs were accepted", accepted)
}

// TestSameEventsGiveSameDecisions replays jobs with different forecasts that all wait too long.
func TestSameEventsGiveSameDecisions(t *testing.T) {
	decide := func() []admission.Decision {
		now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		control := admission.New()
		for i := range 40 {
			p := admission.NewPool()
			p.AddFree(resource.Vector{Processors: 200 * resource.Processor})
			p.AddRunning(resource.Vector{Processors: 60 * resource.Processor}, time.Second)
			p.AddWaiting(resource.Vector{Processors: resource.Millis(200+i/2) * resource.Processor}, 0, false)
			control.Refresh(now, map[string]*admission.Pool{"p": p}, true)
			control.Decide(now, lookup("hot", i))
		}
		now = now.Add(600 * time.Millisecond)
		p := admission.NewPool()
		p.AddRunning(resource.Vector{Processors: 60 * resource.Processor}, time.Second)
		p.AddWaiting(resource.Vector{Processors: 60 * resource.Processor}, 0, false)
		control.Refresh(now, map[string]*admission.Pool{"p": p}, true)
		var all []admission.Decision
		for i := range 3 {
			all = append(all, control.Decide(now, lookup("new", i)))
		}
		return all
	}
	first := decide()
	for range 50 {
		assert.DeepEqual(t, decide(), first)
	}
}

// TestWeightChangesWhileCallersWait replays two workspaces of the same weight, of which one gets nine
// times the other's while both have refused jobs.
func TestWeightChangesWhileCallersWait(t *testing.T) {
	c := newCell(60)
	fill(c)
	c.refresh(true)
	places := map[string]int{}
	for i := range 400 {
		j := lookup([]string{"raised", "same"}[i%2], i)
		j.Weight, j.Objective, j.UsefulTime = 1, 2*time.Second, 8*time.Second
		if i >= 60 && i%2 == 0 {
			j.Weight = 9
		}
		if d := c.submit(j); d.Place > 0 {
			places[j.Workspace]++
		}
	}
	assert.Check(t, places["raised"] > 2*places["same"], "%v", places)
}

// TestWorkspaceOfHugeWeightGoes replays a workspace with the largest possible weight that has no
// refused jobs any more, while another one takes all turns that it can get.
func TestWorkspaceOfHugeWeightGoes(t *testing.T) {
	c := newCell(60)
	fill(c)
	c.refresh(true)
	submit := func(workspace string, number int, weight float64) admission.Decision {
		j := lookup(workspace, number)
		j.Weight, j.Objective, j.UsefulTime = weight, 2*time.Second, 8*time.Second
		return c.submit(j)
	}
	for i := range 20 {
		submit("greedy", i, 1)
		submit("other", i, 1)
	}
	assert.Check(t, submit("huge", 0, math.MaxFloat64).Place > 0)
	c.control.AcceptedWithinShare(c.now, lookup("huge", 0))
	c.refresh(true)
	for i := range 400 {
		submit("greedy", 20+i, 1)
	}
	d := submit("other", 20, 1)
	assert.Check(t, d.Place > 0 && d.RetryAfter <= 3*time.Second, "%v", d)
}

// TestJobAcceptedWithoutForecastLosesItsPlace replays a refused caller that returns while it is not
// known what runs on all workers.
func TestJobAcceptedWithoutForecastLosesItsPlace(t *testing.T) {
	c := newCell(60)
	fill(c)
	c.refresh(true)
	for i := range 10 {
		c.submit(lookup("hot", i))
	}
	assert.Check(t, c.control.Places() > 0)
	c.running, c.waiting = nil, nil
	c.refresh(false)
	for i := range 10 {
		assert.Check(t, c.submit(lookup("hot", i)).Accepted)
	}
	assert.Equal(t, c.control.Places(), 0)
}

// TestJobLongerThanItsObjectiveIsAccepted replays a job that is late even if it starts at once, but
// still of use.
func TestJobLongerThanItsObjectiveIsAccepted(t *testing.T) {
	c := newCell(60)
	c.refresh(true)
	j := lookup("hot", 1)
	j.Objective, j.UsefulTime = 400*time.Millisecond, 1200*time.Millisecond
	assert.Check(t, c.submit(j).Accepted)
}

// TestMoreRefusedJobsThanAreRemembered replays a burst of refusals whose callers give up, and a job
// that is refused after them.
func TestMoreRefusedJobsThanAreRemembered(t *testing.T) {
	c := newCell(60)
	fill(c)
	c.refresh(true)
	for i := range 5000 {
		c.submit(lookup("gone", i))
	}
	c.now = c.now.Add(4 * time.Second)
	c.refresh(true)
	assert.Equal(t, c.control.Places(), 0)
	assert.Check(t, c.submit(lookup("new", 1)).Place > 0)
}

// TestClockIsSetBack replays refused jobs of a workspace whose turns are an hour ahead once the clock
// is set back.
func TestClockIsSetBack(t *testing.T) {
	c := newCell(60)
	fill(c)
	c.refresh(true)
	for i := range 200 {
		c.submit(lookup("hot", i))
	}
	c.now = c.now.Add(-time.Hour)
	c.refresh(true)
	assert.Equal(t, c.control.Places(), 0)
	d := c.submit(lookup("hot", 1000))
	assert.Check(t, d.Place > 0 && d.RetryAfter <= 2*time.Second, "%v", d)
}

// TestReturnsAreDealtWithinRate checks, in random worlds, that the turns of a pool are within the
// rate at which its capacity comes free, and that no place is kept for ever.
func TestReturnsAreDealtWithinRate(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		c := newCell(30 + r.IntN(300))
		fill(c)
		c.refresh(true)
		ending := float64(c.capacity / 3 * 3) // In processors a second: each task runs for a second.
		need := 0
		var last time.Duration
		workspaces := 1 + r.IntN(5)
		for i := range 50 + r.IntN(500) {
			j := lookup(fmt.Sprint("w", r.IntN(workspaces)), i)
			j.Weight = float64(r.IntN(4))
			j.Need.Processors = resource.Millis(1+r.IntN(9)) * resource.Processor
			j.UsefulTime = 8 * time.Second
			d := c.control.Decide(c.now, j)
			if !d.Accepted && d.Place > 0 {
				need += processors(j)
				last = max(last, d.RetryAfter)
			}
		}
		assert.Check(t, float64(need) <= ending*(last.Seconds()+0.2), "seed %d: %d processors until %v at %v a second", seed, need, last, ending)
		for range 1100 {
			c.advance()
		}
		assert.Equal(t, c.control.Places(), 0, "seed %d", seed)
	}
}

// workConservingBound is the longest time for which jobs may be refused while there is free
// capacity for them: a place is kept for the time until its turn, which is rounded up to a second,
// and for the grace of its return; the mean error of forecasts is forgotten meanwhile.
const workConservingBound = 6 * time.Second

// TestNoRefusalWhileSuitableCapacityIsFree checks, in random worlds, that jobs are not refused for
// longer than workConservingBound while more capacity is free than the job needs.
func TestNoRefusalWhileSuitableCapacityIsFree(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 2))
		c := newCell(30 + r.IntN(100))
		a := newCallers(c)
		a.wait = func(d admission.Decision) (time.Duration, bool) {
			return d.RetryAfter, r.IntN(3) > 0
		}
		freeSince := c.now
		number := 0
		for range 2000 {
			a.advance(t)
			if c.free() < 9 || len(c.waiting) > 0 {
				freeSince = c.now
			}
			rate := 1 + int(c.now.UnixMilli()/1500)%4
			if r.IntN(12) >= rate {
				continue
			}
			number++
			if number%3 == 0 {
				c.submitWithin(lookup("within", number))
				continue
			}
			if d := a.submit(t, lookup(fmt.Sprint("w", r.IntN(3)), number)); !d.Accepted {
				assert.Check(t, c.now.Sub(freeSince) < workConservingBound, "seed %d: %v", seed, d)
			}
		}
	}
}

func BenchmarkAdmission(b *testing.B) {
	for _, workspaces := range []int{20, 200, 2000} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			control := admission.New()
			now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Second / 600)
				if control.NeedsRefresh(now) {
					p := admission.NewPool()
					for range 10000 {
						p.AddWaiting(resource.Vector{Processors: resource.Processor}, 1, false)
					}
					p.AddRunning(resource.Vector{Processors: 20000 * resource.Processor}, 500*time.Millisecond)
					control.Refresh(now, map[string]*admission.Pool{"p": p}, true)
				}
				control.Decide(now, lookup(fmt.Sprint("w", i%workspaces), i))
			}
		})
	}
}
