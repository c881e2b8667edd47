// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/resource"

	"gotest.tools/v3/assert"
)

// Nine tasks crashed every worker that started them, within 10 ms. Each was placed again
// 20 ms after its loss was seen, on a worker full of other jobs' tasks, up to ten times and
// over a takeover; after 80 s they took 2.5 workers a second with all that ran there, and
// a quarter of the jobs were late. Only ends that a worker tells of counted against a
// task, and a crashed worker tells of none: nothing on the task said that it had been lost.
//
// What settled it were these lines of the holder:
//
//	26.782 task lost    run=100004 state=running reason="another life answers at its address"
//	26.806 tasks started run=100005 workers=i-16bb3ba00a:3
//	26.900 worker does not answer worker=i-16bb3ba00a tasks=6 problem="connection refused"
//
// The task was known to be running each time, and the run numbers rose on under the next
// claim (200004 to 200009), so no takeover had to forget anything.
func TestTasksThatCrashTheirWorkers(t *testing.T) {
	t.Run("one by itself", func(t *testing.T) {
		w := newCrashWorld(t, 1, 8)
		a := w.submit(oneStep("guilty", "quick", 1, false))
		w.makeGuilty(a, 0, 0, 10*time.Millisecond)
		told := map[string]bool{}
		w.waitUntil(30*time.Second, "the job is given up", func() bool {
			w.queryStates()
			w.collectReasons(a, told)
			return a.state == job.Failed
		})
		w.collectReasons(a, told)
		w.run(100 * time.Millisecond)
		var all []string
		for why := range told {
			all = append(all, why)
		}
		sentences := strings.Join(all, "; ")
		assert.Check(t, strings.Contains(sentences, "it is tried apart"), sentences)
		assert.Check(t, strings.Contains(sentences, "workers crashed under task guilty.0.0.0"), sentences)
		w.requireNoViolations()
	})
	for seed := range crashSeedCount() {
		t.Run(fmt.Sprint("among others ", seed), func(t *testing.T) {
			t.Parallel()
			runWorldWithGuiltyTasks(t, 9000+seed)
		})
	}
}

// crashSeedCount returns how many worlds are played.
func crashSeedCount() int64 {
	if n, err := strconv.ParseInt(os.Getenv("SADDLEVANE_CRASH_SEEDS"), 10, 64); err == nil {
		return n
	}
	return seedCount()
}

// collectReasons notes what the holder says of why a job and its steps are as they are.
func (w *world) collectReasons(a *submittedJob, told map[string]bool) {
	w.holder().call(func(id exchange.CallID) exchange.Event { return exchange.ExplanationAsked{Call: id, Job: a.sub.ID} }, func(got exchange.Answer) {
		if x := got.Explanation; x != nil {
			told[x.FailureReason] = true
			for _, s := range x.Steps {
				told[s.Reason] = true
			}
		}
	})
}

const (
	// crashThreshold and restartLimit bound how often a task is started that crashes its
	// workers: after this many crashes, fewer than that many times more.
	crashThreshold = 3
	restartLimit   = 3
	// crashDowntime is how long a worker is away that a task has crashed.
	crashDowntime = 1300 * time.Millisecond
)

// crashRecord is what became of a task that crashes its workers.
type crashRecord struct {
	crashes int
	// more counts the starts after crashThreshold crashes.
	restarts int
}

// newCrashWorld returns a world that serves, in which crashes are seen at once.
func newCrashWorld(t *testing.T, seed int64, workers int) *world {
	t.Helper()
	w := newWorld(t, seed, 3, workers)
	w.crashesVisible = true
	w.waitUntilServing()
	return w
}

// makeGuilty makes a task of a job crash each worker some time after it begins there.
func (w *world) makeGuilty(a *submittedJob, step, index int, after time.Duration) {
	w.guiltyTasks[job.TaskID{StepID: job.StepID{Job: a.sub.ID, Step: step}, Index: index}] = after
}

// guiltyTaskStarted crashes a worker that starts a task which crashes its workers, and notes
// what that breaks.
func (w *world) guiltyTaskStarted(f *fakeWorker, run order.Run) {
	after, guilty := w.guiltyTasks[run.Task]
	if !guilty {
		return
	}
	if w.onGuiltyStart != nil {
		w.onGuiltyStart()
	}
	f.runs[run].duration = max(f.runs[run].duration, after+time.Second)
	r := w.crashRecords[run.Task]
	if r == nil {
		r = &crashRecord{}
		w.crashRecords[run.Task] = r
	}
	if r.crashes >= crashThreshold {
		if r.restarts++; r.restarts >= restartLimit {
			w.violationf("%v is started %d times more after %d workers had crashed under it", run.Task, r.restarts, crashThreshold)
		}
	}
	w.after(after, func() {
		if f.alive && f.runs[run] != nil {
			r.crashes++
			w.trace = append(w.trace, fmt.Sprintf("%v %s crashes under %v", w.now.Sub(w.startedAt), f.incarnation, run))
			f.crash(crashDowntime)
		}
	})
}

// staleEntryLifetime is how long the entry of a worker that has crashed is still listed: three
// heartbeats.
const staleEntryLifetime = 1200 * time.Millisecond

// staleEntries returns the entries of workers that have crashed and are still listed.
func (w *world) staleEntries() []order.Worker {
	var all []order.Worker
	for _, f := range w.workers {
		if w.crashesVisible && !f.crashedAt.IsZero() && w.now.Sub(f.crashedAt) < staleEntryLifetime {
			all = append(all, f.formerEntry)
		}
	}
	return all
}

// listedWorkers returns the entries of workers. There is one for each name: the last life's, until
// that of the present one is written.
func (w *world) listedWorkers() []order.Worker {
	var all []order.Worker
	for _, f := range w.workers {
		switch {
		case f.unlisted:
		case f.alive && (w.uniqueIncarnationNames || !w.now.Before(f.listedAt)):
			all = append(all, f.entry())
		case !w.uniqueIncarnationNames && !f.crashedAt.IsZero() && w.now.Sub(f.crashedAt) < staleEntryLifetime:
			all = append(all, f.formerEntry)
		}
	}
	if w.uniqueIncarnationNames {
		all = append(all, w.staleEntries()...)
	}
	return all
}

// entry returns what the list says of a worker.
func (f *fakeWorker) entry() order.Worker {
	return order.Worker{
		Incarnation: f.incarnation, Address: f.name, Pool: pool, Domain: "a", Rack: f.rack, Labels: []string{"a", f.rack},
		Capacity: f.capacity, Leaving: f.leaving,
	}
}

// hasGuiltyTask says whether a task of a job crashes its workers.
func (w *world) hasGuiltyTask(a *submittedJob) bool {
	for task := range w.guiltyTasks {
		if task.Job == a.sub.ID {
			return true
		}
	}
	return false
}

// checkFailed notes a job that is shown as failed although none of its tasks failed too
// often or crashes its workers.
func (w *world) checkFailed(a *submittedJob) {
	if a.state != job.Failed || w.hasGuiltyTask(a) {
		return
	}
	for _, n := range a.failedRuns {
		if n >= w.maxAttempts(a.sub.Queue) {
			return
		}
	}
	w.violationf("%s is shown as failed after %v", a.sub.ID, a.acknowledgedFailures)
}

// runWorldWithGuiltyTasks plays a world in which a few tasks crash their workers, beside many
// that crash nothing, workers that crash by themselves, alone and together, and boxes
// that are killed, one or all.
func runWorldWithGuiltyTasks(t *testing.T, seed int64) {
	w := newCrashWorld(t, seed, 24)
	if dir := os.Getenv("SADDLEVANE_CRASH_TRACE"); dir != "" {
		t.Cleanup(func() { os.WriteFile(fmt.Sprintf("%s/%d", dir, seed), []byte(strings.Join(w.trace, "\n")), 0o600) })
	}
	for i := range 60 {
		w.after(time.Duration(w.rng.Intn(25000))*time.Millisecond, func() { w.submit(w.randomJob(i)) })
	}
	lasts := w.submitService(6)
	for i := range 3 {
		w.after(time.Duration(w.rng.Intn(15000))*time.Millisecond, func() { w.submitGuiltyJob(i) })
	}
	for range 4 {
		w.after(time.Duration(w.rng.Intn(25000))*time.Millisecond, w.injectCrashes)
	}
	w.runChecked(150)
	w.cancel(lasts)
	w.runUntilEnded()
	for task, r := range w.crashRecords {
		assert.Check(t, r.crashes <= crashThreshold+restartLimit-1, "%v crashed %d workers", task, r.crashes)
	}
}

// submitService hands in a job whose tasks run until it is cancelled.
func (w *world) submitService(tasks int) *submittedJob {
	s := oneStep("lasting", "quick", tasks, false)
	s.Steps[0].Service, s.Steps[0].Estimate = true, 600_000
	return w.submit(s)
}

// submitGuiltyJob hands in a job with a task that crashes its workers: one of many, a member
// of a gang, one that lasts, or one of a job with times.
func (w *world) submitGuiltyJob(n int) {
	s := oneStep(fmt.Sprintf("guilty%d", n), "quick", 1+w.rng.Intn(8), false)
	s.Steps[0].Need = resource.Vector{Processors: resource.Millis(2000 + w.rng.Intn(12000)), Memory: resource.GiB}
	switch w.rng.Intn(4) {
	case 0:
		s.Steps[0].Gang = true
	case 1:
		s.Steps[0].Service = true
	case 2:
		s.Repeat = job.Repeat{Times: 2, FirstUnixMilli: w.now.Add(time.Second).UnixMilli(), Interval: 1500}
	}
	after := []time.Duration{10 * time.Millisecond, 10 * time.Millisecond, 600 * time.Millisecond}[w.rng.Intn(3)]
	w.makeGuilty(w.submit(s), 0, w.rng.Intn(s.Steps[0].Tasks), after)
}

// injectCrashes crashes workers, or kills boxes.
func (w *world) injectCrashes() {
	back := time.Duration(500+w.rng.Intn(4000)) * time.Millisecond
	switch w.rng.Intn(5) {
	case 0:
		w.workers[w.rng.Intn(len(w.workers))].crash(back)
	case 1:
		for _, f := range w.workers {
			if w.rng.Intn(4) == 0 {
				f.crash(back)
			}
		}
	case 2:
		rack := w.workers[w.rng.Intn(len(w.workers))].rack
		for _, f := range w.workers {
			if f.rack == rack {
				f.crash(back)
			}
		}
	case 3:
		if h := w.holder(); h != nil {
			w.killBox(h, back)
		}
	case 4:
		for _, b := range w.boxes {
			w.killBox(b, back)
		}
	}
}

// Workers that crash by themselves, one after the other, must cost no job that crashes
// nothing: here each does so every 100 or 250 seconds.
func TestJobsSurviveSpontaneousWorkerCrashes(t *testing.T) {
	for seed := range crashSeedCount() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runWorldWithSpontaneousCrashes(t, 50000+seed, []time.Duration{4 * time.Second, 10 * time.Second}[seed%2], 1)
		})
	}
}

// Where each worker crashes every 7, 14, 29 or 60 seconds, a task that crashes nothing may
// be at work at several crashes in a row, and at about the same point of its work. Eight of
// 300 worlds gave up such a job, after five or six crashes at odds of 30 to 400; what
// settled it were lines like these, of a world in which each worker crashed every 7 s:
//
//	19.745 a worker crashed under a task task=job25.0.1.0 crashes=4 guilty=0.679 worked_most=1.33s
//	24.145 a worker crashed under a task task=job25.0.1.0 crashes=5 guilty=0.987 worked_most=1.02s
//	25.240 job ended                     job=job25 outcome=failed
//
// The odds that were enough fell with the number of crashes, and such a number proves
// nothing where workers crash that often anyway.
func TestJobsSurviveFrequentSpontaneousWorkerCrashes(t *testing.T) {
	for seed := range int64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			every := []time.Duration{300, 600, 1200, 2500}[seed%4] * time.Millisecond
			runWorldWithSpontaneousCrashes(t, 50000+seed, every, 2)
		})
	}
}

// runWorldWithSpontaneousCrashes plays a world in which workers crash, some time apart on average, and
// no task is guilty. Tasks take longer than usual by a factor.
func runWorldWithSpontaneousCrashes(t *testing.T, seed int64, every time.Duration, longer job.Milliseconds) {
	w := newCrashWorld(t, seed, 24)
	for i := range 60 {
		w.after(time.Duration(w.rng.Intn(25000))*time.Millisecond, func() {
			s := w.randomJob(i)
			for k := range s.Steps {
				s.Steps[k].Estimate *= longer
			}
			w.submit(s)
		})
	}
	lasts := w.submitService(12)
	w.after(time.Second, func() { w.crashPeriodically(every) })
	w.runChecked(160)
	w.cancel(lasts)
	w.runUntilEnded()
}

// Boxes were lost two or three times while these tasks crashed their workers. A crash that
// falls into a takeover is seen by no holder as long as nothing is known of the task: the
// log names the workers of suspects only.
func TestTasksThatCrashTheirWorkersDuringTakeovers(t *testing.T) {
	for _, seed := range []int64{9121, 9188, 9234, 9315, 9385, 9481, 9570, 9795, 9835} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runWorldWithGuiltyTasks(t, seed)
		})
	}
}

// crashPeriodically crashes a worker now, and others after it, some time apart on average.
func (w *world) crashPeriodically(every time.Duration) {
	if w.now.Sub(w.startedAt) > 30*time.Second {
		return
	}
	w.workers[w.rng.Intn(len(w.workers))].crash(crashDowntime)
	w.after(time.Duration(w.rng.Int63n(int64(2*every))), func() { w.crashPeriodically(every) })
}

// Four tasks of a job were lost with a worker that had crashed by itself. Each was a little
// likely to be guilty, was tried alone on a worker that got nothing else for three
// seconds, and only one of the job at a time: the last began 9 s after the first, and other
// jobs found no room meanwhile.
//
//	00:43:06 a suspected task is tried beside=0 task=job185.0.1.0 worker=worker-0-2
//	00:43:16 a suspected task is tried beside=0 task=job185.0.1.3 worker=worker-4-4
func TestWeaklySuspectedTasksDoNotWaitForEachOther(t *testing.T) {
	w := newCrashWorld(t, 3, 6)
	s := oneStep("j", "quick", 4, false)
	s.Steps[0].Estimate = 4000
	w.submit(s)
	var on *fakeWorker
	w.waitUntil(time.Second, "all tasks run on one worker", func() bool {
		for _, f := range w.workers {
			if len(f.runs) == 4 {
				on = f
			}
		}
		return on != nil
	})
	w.run(400 * time.Millisecond)
	on.crash(crashDowntime)
	w.waitUntil(5*time.Second, "all tasks are at work again", func() bool {
		running := 0
		for _, f := range w.workers {
			running += len(f.runs)
		}
		return running == 4
	})
	w.runUntilEnded()
}
