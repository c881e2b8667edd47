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

// queues are the job queues of the soak's configuration.
var queues = []standin.Queue{
	{Name: "urgent", Host: "u.example", Prefix: "/u/", Priority: 0, Attempts: 3},
	{Name: "wide", Host: "w.example", Prefix: "/w/", Priority: 1, Attempts: 3, Advised: true},
	{Name: "batch", Host: "b.example", Prefix: "/b/", Priority: 2, Attempts: 2},
}

const (
	// CallTimeout bounds one call. It is longer than a box takes to respond or refuse.
	CallTimeout = 3 * time.Second
	// maxSubmitTries is how often a caller tries to submit a job.
	maxSubmitTries = 8
	// retryDelay is the pause between two tries of a call, statePollInterval the pause
	// between two requests for the state of a job.
	retryDelay        = 250 * time.Millisecond
	statePollInterval = 200 * time.Millisecond
	// maxVisibilityDelay is the time after its acceptance by which every box must be able to
	// report a job.
	maxVisibilityDelay = 3 * time.Second
	// maxIdleConns is the number of idle connections that callers keep open to each box.
	maxIdleConns = 8
	// crashingTaskDuration is how long a task that crashes its worker would run otherwise.
	// crashingJobInterval is the pause between the end of one such job and the submission of
	// the next.
	crashingTaskDuration = time.Second
	crashingJobInterval  = time.Second
	// Wide jobs have minWideTasks to maxWideTasks tasks that run for wideTaskDuration each;
	// wideJobInterval is the pause between two submissions.
	minWideTasks, maxWideTasks = 20, 40
	wideTaskDuration           = 400 * time.Millisecond
	wideJobInterval            = 2 * time.Second
	// cancelShare is the share of jobs that are cancelled.
	cancelShare = 0.1
)

// Callers submits jobs, polls their states and records each violated guarantee.
type Callers struct {
	rig *Rig
	// clients holds one client per box, which keeps connections open.
	clients map[*box]*http.Client
	tasks   conc.WaitGroup

	mu  sync.Mutex
	rng *rand.Rand
	// created is the number of random jobs created so far.
	created int
	// violations describes each violated guarantee. The counters below it count jobs by the
	// outcome of their submission and by their final state.
	violations []string
	accepted   int
	refused    int
	uncertain  int
	ended      map[job.State]int
	// times holds the times of each submitted random job.
	times []*jobTimes
}

// NewCallers returns callers of a rig, which draw their jobs from seed.
func NewCallers(r *Rig, seed int64) *Callers {
	c := &Callers{
		rig: r, clients: map[*box]*http.Client{}, rng: rand.New(rand.NewSource(seed)), ended: map[job.State]int{},
	}
	for _, b := range r.boxes {
		c.clients[b] = &http.Client{Timeout: CallTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}}
	}
	return c
}

// Run submits random jobs at perSecond on average until submitCtx ends. Their states are
// polled in the background until they have ended or ctx ends; see Wait.
func (c *Callers) Run(ctx, submitCtx context.Context, perSecond float64) {
	for submitCtx.Err() == nil {
		s, q, work := c.newJob()
		c.rig.platform.ExpectJob(s, q, work)
		c.tasks.Go(func() { c.submitAndWatch(ctx, s, work) })
		sleep(submitCtx, time.Duration(c.expFloat()/perSecond*float64(time.Second)))
	}
}

// RunCrashingJobs submits jobs one after the other, each with a task that crashes every
// worker which starts it. Other jobs must not be given up because of these crashes.
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

// RunWideJobs submits jobs with many tasks one after the other, every second one as a gang.
func (c *Callers) RunWideJobs(ctx context.Context, jobs int) {
	c.tasks.Go(func() {
		for i := range jobs {
			s := job.Submission{ID: job.ID(fmt.Sprintf("wide%d", i)), Queue: queues[1+i%2].Name, Spec: fmt.Sprintf("spec of wide %d", i)}
			need := resource.Vector{Processors: 500, Memory: 256 * resource.MiB}
			s.Steps = []job.Step{{
				Tasks: minWideTasks + c.intn(maxWideTasks-minWideTasks+1), Need: need, Gang: i%2 == 0,
				Estimate: job.Milliseconds(wideTaskDuration.Milliseconds()),
			}}
			c.rig.platform.ExpectJob(s, queues[1+i%2], wideTaskDuration)
			if c.submit(ctx, s) {
				acceptedAt := time.Now()
				c.tasks.Go(func() {
					if state := c.pollUntilFinal(ctx, s, acceptedAt); state.IsFinal() {
						c.checkFinalState(ctx, s, state)
					}
				})
			}
			sleep(ctx, wideJobInterval)
		}
	})
}

// Submit submits a job that was announced with [Rig.Expect], and reports whether it was
// accepted.
func (c *Callers) Submit(ctx context.Context, s job.Submission) bool { return c.submit(ctx, s) }

// WaitForEnd waits until an accepted job has ended, and records a violation if it has not
// when ctx ends.
func (c *Callers) WaitForEnd(ctx context.Context, s job.Submission) {
	c.pollUntilFinal(ctx, s, time.Now())
}

// Wait waits until every job has ended or was not accepted, or the context passed to Run has
// ended.
func (c *Callers) Wait() { c.tasks.Wait() }

// Violations returns the guarantees that were violated from the callers' point of view.
func (c *Callers) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations
}

// String summarizes the outcomes of the jobs.
func (c *Callers) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d jobs accepted, %d refused, %d uncertain; ended %v", c.accepted, c.refused, c.uncertain, c.ended)
}

// recordViolation records a violated guarantee.
func (c *Callers) recordViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// expFloat returns an exponentially distributed random number with mean 1, used for the times
// between submissions.
func (c *Callers) expFloat() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.ExpFloat64()
}

// intn returns a random number in [0, n).
func (c *Callers) intn(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Intn(n)
}

// newJob returns a random job, its queue and the run time of each of its tasks.
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

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// call sends one request to a random box. Status 0 means that there was no complete response.
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
		// The idle connections may have stalled as well, so the next call must open a new
		// one.
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

// submitAndWatch submits a job, polls it until it has ended and checks its final state. It
// cancels a random share of the jobs, cancelShare, soon after their acceptance.
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

// submit tries up to maxSubmitTries times to submit a job and reports whether it was
// accepted. If every try was refused, it reports the job to the stand-in as one that must
// never run. If a try had no clear outcome, the job may run.
func (c *Callers) submit(ctx context.Context, s job.Submission) bool {
	allRefused := true
	for range maxSubmitTries {
		status, _ := c.call(ctx, http.MethodPost, "/v1/jobs", s)
		switch status {
		case http.StatusOK:
			c.count(&c.accepted)
			return true
		case http.StatusServiceUnavailable:
		default:
			allRefused = false
		}
		sleep(ctx, retryDelay)
	}
	if !allRefused {
		c.count(&c.uncertain)
		return false
	}
	c.count(&c.refused)
	c.rig.platform.RecordRefusal(s.ID)
	return false
}

// count increments one of the counters under the lock.
func (c *Callers) count(n *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*n++
}

// cancel cancels a job, retrying until the cancellation is confirmed or ctx ends.
func (c *Callers) cancel(ctx context.Context, id job.ID) {
	for ctx.Err() == nil {
		if status, _ := c.call(ctx, http.MethodDelete, "/v1/jobs/"+string(id), nil); status == http.StatusOK {
			c.rig.platform.RecordCancellation(id, time.Now())
			return
		}
		sleep(ctx, retryDelay)
	}
}

// pollUntilFinal polls a job until its state is final, and returns that state. It records a
// violation and returns a non-final state if the job is unknown later than maxVisibilityDelay
// after its acceptance, or has not ended when ctx ends.
func (c *Callers) pollUntilFinal(ctx context.Context, s job.Submission, acceptedAt time.Time) job.State {
	for ctx.Err() == nil {
		status, a := c.call(ctx, http.MethodGet, "/v1/jobs/"+string(s.ID), nil)
		switch {
		case status == http.StatusGone && time.Since(acceptedAt) > maxVisibilityDelay:
			c.recordViolation("%s was accepted but is unknown %v later", s.ID, time.Since(acceptedAt))
			return a.State
		case status == http.StatusOK && a.State.IsFinal():
			return a.State
		}
		sleep(ctx, statePollInterval)
	}
	c.recordViolation("%s has not ended", s.ID)
	return ""
}

// checkFinalState checks that the final state of a job agrees with what the workers ran, and
// that it is still the same up to 1 s later.
func (c *Callers) checkFinalState(ctx context.Context, s job.Submission, state job.State) {
	c.mu.Lock()
	c.ended[state]++
	c.mu.Unlock()
	switch {
	case state == job.Succeeded && !c.rig.platform.AllTasksDone(s):
		c.recordViolation("%s is reported as succeeded before all its tasks are done", s.ID)
	case state == job.Failed && !c.rig.platform.MayEndFailed(s.ID):
		c.recordViolation("%s is reported as failed, but no task has used up its attempts", s.ID)
	}
	sleep(ctx, time.Duration(c.intn(1000))*time.Millisecond)
	if status, a := c.call(ctx, http.MethodGet, "/v1/jobs/"+string(s.ID), nil); status == http.StatusOK && a.State != state {
		c.recordViolation("%s was reported as %s and later as %s", s.ID, state, a.State)
	}
}
