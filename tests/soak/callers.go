// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"sync"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/platform/standin"

	"github.com/sourcegraph/conc"
)

// queues are those of the soak's configuration.
var queues = []standin.Queue{
	{Name: "urgent", Host: "u.example", Prefix: "/u/", Priority: 0, Attempts: 3},
	{Name: "wide", Host: "w.example", Prefix: "/w/", Priority: 1, Attempts: 3, Advised: true},
	{Name: "batch", Host: "b.example", Prefix: "/b/", Priority: 2, Attempts: 2},
}

const (
	// CallTimeout bounds one call; a box answers or refuses well before.
	CallTimeout = 3 * time.Second
	// maxSubmitTries is how often a caller hands a job in.
	maxSubmitTries = 8
	// retryDelay is the pause between two tries, statePollInterval that between two questions
	// about a job.
	retryDelay        = 250 * time.Millisecond
	statePollInterval = 200 * time.Millisecond
	// maxVisibilityDelay is how long after its acceptance a job is known at every box.
	maxVisibilityDelay = 3 * time.Second
	// maxIdleConns is how many connections callers keep open to a box that carry no call.
	maxIdleConns = 8
	// crashingTaskDuration is how long the tasks would work that crash their workers, crashingJobInterval
	// the time between the end of one and the next.
	crashingTaskDuration = time.Second
	crashingJobInterval  = time.Second
	// minWideTasks to maxWideTasks tasks have the jobs whose tasks are many; they work for wideTaskDuration,
	// and wideJobInterval is the time from one to the next.
	minWideTasks, maxWideTasks = 20, 40
	wideTaskDuration           = 400 * time.Millisecond
	wideJobInterval            = 2 * time.Second
	// cancelShare of the jobs are cancelled.
	cancelShare = 0.1
)

// Callers hand jobs in and watch them.
type Callers struct {
	rig *Rig
	// clients keep connections open to each box.
	clients map[*box]*http.Client
	tasks   conc.WaitGroup

	mu  sync.Mutex
	rng *rand.Rand
	// made counts the jobs made up.
	created int
	// broken lists the promises that were broken, the others count jobs by what
	// became of them.
	violations []string
	accepted   int
	refused    int
	uncertain  int
	ended      map[job.State]int
	// times tells of each job handed in how it was served.
	times []*jobTimes
}

// NewCallers returns callers of a rig. They keep connections open.
func NewCallers(r *Rig, seed int64) *Callers {
	c := &Callers{
		rig: r, clients: map[*box]*http.Client{}, rng: rand.New(rand.NewSource(seed)), ended: map[job.State]int{},
	}
	for _, b := range r.boxes {
		c.clients[b] = &http.Client{Timeout: CallTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}}
	}
	return c
}

// Run hands jobs in at some rate until leave ends, and watches them until ctx does.
func (c *Callers) Run(ctx, leave context.Context, perSecond float64) {
	for leave.Err() == nil {
		s, q, work := c.newJob()
		c.rig.platform.ExpectJob(s, q, work)
		c.tasks.Go(func() { c.submitAndWatch(ctx, s, work) })
		sleep(leave, time.Duration(c.expFloat()/perSecond*float64(time.Second)))
	}
}

// RunCrashingJobs hands in some jobs, one after the other, that have a task which crashes each
// worker that starts it. Jobs beside them must not be given up for it.
func (c *Callers) RunCrashingJobs(ctx context.Context, jobs int) {
	c.tasks.Go(func() {
		for i := range jobs {
			s := job.Submission{ID: job.ID(fmt.Sprintf("crashing%d", i)), Queue: queues[0].Name, Spec: standin.CrashSpecPrefix}
			need := resource.Vector{Processors: 2 * resource.Processor, Memory: resource.GiB}
			s.Steps = []job.Step{{Tasks: 1, Need: need, Estimate: job.Milliseconds(crashingTaskDuration.Milliseconds())}}
			c.rig.platform.ExpectJob(s, queues[0], crashingTaskDuration)
			if c.submit(ctx, s) {
				c.pollUntilFinal(ctx, s, time.Now())
			}
			sleep(ctx, crashingJobInterval)
		}
	})
}

// RunWideJobs hands in some jobs, one after the other, with many tasks that start together or
// each for itself.
func (c *Callers) RunWideJobs(ctx context.Context, jobs int) {
	c.tasks.Go(func() {
		for i := range jobs {
			s := job.Submission{ID: job.ID(fmt.Sprintf("wide%d", i)), Queue: queues[1+i%2].Name, Spec: fmt.Sprintf("spec of wide %d", i)}
			need := resource.Vector{Processors: 500, Memory: 256 * resource.MiB}
			s.Steps = []job.Step{{
				Tasks: minWideTasks + c.intn(maxWideTasks-minWideTasks+1), Need: need, Gang: i%2 == 0, Estimate: job.Milliseconds(wideTaskDuration.Milliseconds()),
			}}
			c.rig.platform.ExpectJob(s, queues[1+i%2], wideTaskDuration)
			if c.submit(ctx, s) {
				at := time.Now()
				c.tasks.Go(func() {
					if state := c.pollUntilFinal(ctx, s, at); state.IsFinal() {
						c.checkFinalState(ctx, s, state)
					}
				})
			}
			sleep(ctx, wideJobInterval)
		}
	})
}

// Submit hands in a job of which the stand-in was told, and says whether it was
// accepted.
func (c *Callers) Submit(ctx context.Context, s job.Submission) bool { return c.submit(ctx, s) }

// WaitForEnd waits until a job that was accepted has ended.
func (c *Callers) WaitForEnd(ctx context.Context, s job.Submission) {
	c.pollUntilFinal(ctx, s, time.Now())
}

// Wait waits until every job has ended or was refused, or ctx has ended.
func (c *Callers) Wait() { c.tasks.Wait() }

// Violations returns the promises that were broken.
func (c *Callers) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations
}

// String sums up what became of the jobs.
func (c *Callers) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d jobs accepted, %d refused, %d unsure; ended %v", c.accepted, c.refused, c.uncertain, c.ended)
}

// recordViolation notes a promise that was broken.
func (c *Callers) recordViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// expFloat draws a number with the mean 1, as the times between callers have.
func (c *Callers) expFloat() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.ExpFloat64()
}

// intn draws a number below n.
func (c *Callers) intn(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Intn(n)
}

// newJob makes a job up.
func (c *Callers) newJob() (job.Submission, standin.Queue, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.created++
	q := queues[c.rng.Intn(len(queues))]
	work := time.Duration(50+c.rng.Intn(600)) * time.Millisecond
	s := job.Submission{ID: job.ID(fmt.Sprintf("job%d", c.created)), Queue: q.Name, Spec: fmt.Sprintf("spec of %d", c.created)}
	for i := range 1 + c.rng.Intn(3) {
		step := job.Step{
			Tasks: 1 + c.rng.Intn(4), Estimate: job.Milliseconds(work.Milliseconds()),
			Need: resource.Vector{Processors: resource.Millis(500 * (1 + c.rng.Intn(8))), Memory: resource.GiB},
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		s.Steps = append(s.Steps, step)
	}
	return s, q, work
}

// sleep lets time pass, or less if ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// call makes one call at some box; status 0 means that there was no whole answer.
func (c *Callers) call(ctx context.Context, method, path string, body any) (int, exchange.Answer) {
	b := c.rig.boxes[c.intn(len(c.rig.boxes))]
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+b.callers+path, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	resp, err := c.clients[b].Do(req)
	if err != nil {
		// The other connections may be silent too, so the next call gets a new one.
		c.clients[b].CloseIdleConnections()
		return 0, exchange.Answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err = io.ReadAll(resp.Body)
	var a exchange.Answer
	if err != nil || json.Unmarshal(data, &a) != nil {
		return 0, exchange.Answer{}
	}
	return resp.StatusCode, a
}

// submitAndWatch hands a job in and watches it until it has ended.
func (c *Callers) submitAndWatch(ctx context.Context, s job.Submission, work time.Duration) {
	t := c.recordSubmitted(s, work)
	if !c.submit(ctx, s) {
		return
	}
	acceptedAt := time.Now()
	c.recordAccepted(t)
	if c.intn(100) < 100*cancelShare {
		sleep(ctx, time.Duration(c.intn(1500))*time.Millisecond)
		c.cancel(ctx, s.ID)
	}
	if state := c.pollUntilFinal(ctx, s, acceptedAt); state.IsFinal() {
		c.recordEnded(t)
		c.checkFinalState(ctx, s, state)
	}
}

// submit hands a job in until it is accepted. It returns false if it was not; a job
// of which every try was refused must never run.
func (c *Callers) submit(ctx context.Context, s job.Submission) bool {
	sure := true
	for range maxSubmitTries {
		status, _ := c.call(ctx, http.MethodPost, "/v1/jobs", s)
		switch status {
		case http.StatusOK:
			c.count(&c.accepted)
			return true
		case http.StatusServiceUnavailable:
		default:
			sure = false
		}
		sleep(ctx, retryDelay)
	}
	if !sure {
		c.count(&c.uncertain)
		return false
	}
	c.count(&c.refused)
	c.rig.platform.RecordRefusal(s.ID)
	return false
}

// count adds to one of the counts of jobs.
func (c *Callers) count(n *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*n++
}

// cancel ends a job, with as many tries as that takes.
func (c *Callers) cancel(ctx context.Context, id job.ID) {
	for ctx.Err() == nil {
		if status, _ := c.call(ctx, http.MethodDelete, "/v1/jobs/"+string(id), nil); status == http.StatusOK {
			c.rig.platform.RecordCancellation(id, time.Now())
			return
		}
		sleep(ctx, retryDelay)
	}
}

// pollUntilFinal asks for a job's state until it is a final one, and returns that. Another one
// means that a promise was broken.
func (c *Callers) pollUntilFinal(ctx context.Context, s job.Submission, acceptedAt time.Time) job.State {
	for ctx.Err() == nil {
		status, a := c.call(ctx, http.MethodGet, "/v1/jobs/"+string(s.ID), nil)
		switch {
		case status == http.StatusGone && time.Since(acceptedAt) > maxVisibilityDelay:
			c.recordViolation("%s was accepted and is not known %v later", s.ID, time.Since(acceptedAt))
			return a.State
		case status == http.StatusOK && a.State.IsFinal():
			return a.State
		}
		sleep(ctx, statePollInterval)
	}
	c.recordViolation("%s has not ended", s.ID)
	return ""
}

// checkFinalState checks a final state, once more after a while.
func (c *Callers) checkFinalState(ctx context.Context, s job.Submission, state job.State) {
	c.mu.Lock()
	c.ended[state]++
	c.mu.Unlock()
	switch {
	case state == job.Succeeded && !c.rig.platform.AllTasksDone(s):
		c.recordViolation("%s is shown as succeeded before all its tasks are done", s.ID)
	case state == job.Failed && !c.rig.platform.MayEndFailed(s.ID):
		c.recordViolation("%s is shown as failed, and no task failed often enough", s.ID)
	}
	sleep(ctx, time.Duration(c.intn(1000))*time.Millisecond)
	if status, a := c.call(ctx, http.MethodGet, "/v1/jobs/"+string(s.ID), nil); status == http.StatusOK && a.State != state {
		c.recordViolation("%s was shown as %s and then as %s", s.ID, state, a.State)
	}
}
