// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand"
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/mechanism"
	"saddlevane/models/order"
	"saddlevane/models/stream"
	"saddlevane/services/authority"
	"saddlevane/services/dispatch"
)

// A world is some reducers, a log and workers in virtual time. Calls take time,
// are lost, answered late or carried out late; boxes are killed and paused. The
// workers check what must hold whenever they start a task.

// maxTraceLines is how many lines of the reducers are shown of a world that failed.
const maxTraceLines = 400

const (
	lease               = 6 * time.Second
	defaultStopDuration = 200 * time.Millisecond
	gangStartTimeout    = 3 * time.Second
	pool                = "pool"
)

func settings() dispatch.Settings {
	return dispatch.Settings{
		Authority: authority.Settings{RenewInterval: 400 * time.Millisecond, HoldFor: 1400 * time.Millisecond, ClaimAfter: 1550 * time.Millisecond},
		Lease:     lease, RenewWait: time.Second, OrderTimeout: 300 * time.Millisecond, AppendInterval: 12 * time.Millisecond,
		EndedRetention: 150 * time.Second, StopGrace: 1500 * time.Millisecond,
		ConfigPropagation: 3 * time.Second, ShareWindow: 5 * time.Second,
	}
}

func config() job.Config {
	advice := &job.Advice{BaseTime: 50 * time.Millisecond, TimePerWorker: time.Millisecond, TicketLifetime: 1500 * time.Millisecond}
	return job.Config{Version: 1, Queues: map[string]job.Queue{
		"wide":  {Name: "wide", Pool: pool, Priority: 1, Attempts: 3, Stretch: 2.2, Latency: time.Second, Advice: advice},
		"quick": {Name: "quick", Pool: pool, Priority: 0, Attempts: 2, Stretch: 1.5, Latency: 250 * time.Millisecond},
	}}
}

// timer is something that happens at a time.
type timer struct {
	at  time.Time
	seq int
	do  func()
}

type timerHeap []timer

func (q timerHeap) Len() int { return len(q) }

func (q timerHeap) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}

func (q timerHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *timerHeap) Push(x any) { *q = append(*q, x.(timer)) }

func (q *timerHeap) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

type world struct {
	t              *testing.T
	seed           int64
	rng            *rand.Rand
	now            time.Time
	startedAt      time.Time
	timers         timerHeap
	seq            int
	streams        map[stream.Name]*fakeStream
	writerEpoch    int64
	writerSequence int64
	boxes          []*fakeBox
	workers        []*fakeWorker
	jobs           map[job.ID]*submittedJob
	jobIDs         []job.ID
	// config is what boxes read when they start.
	config     job.Config
	violations []string
	// alone counts ends of gangs that started incomplete.
	incompleteGangEnds int
	// without is what the boxes' policy does without.
	disabled map[mechanism.Mechanism]bool
	// adviserFreeAt is when the advice service has answered all calls of a box.
	adviserFreeAt map[string]time.Time
	// starts counts the starts of each task.
	starts map[job.TaskID]int
	trace  []string

	// logDown makes the log answer nobody; unansweredAppendShare is the share of appends that
	// are done without an answer.
	logDown bool
	// dropsJournalAppends makes it take appends to the stream of jobs without an answer.
	dropsJournalAppends bool
	// appendDelay is how much longer appends take.
	appendDelay time.Duration
	// answers counts answers to the calls of a test.
	answerCount           int
	unansweredAppendShare float64
	// stopDuration is how long a stop takes, or 0 for defaultStopDuration.
	stopDuration time.Duration
	// lateAnswerShare is the share of looks whose answers come only after they are overdue, in
	// bunches.
	lateAnswerShare float64
	// guilty has the tasks that crash each worker that starts them, and after how long at
	// work; crashes says what became of them. A worker's crash is seen at once where
	// crashesVisible is set: its machine refuses calls and breaks those under way.
	guiltyTasks    map[job.TaskID]time.Duration
	crashRecords   map[job.TaskID]*crashRecord
	crashesVisible bool
	// onGuiltyStart is called whenever a worker starts a task that crashes its workers.
	onGuiltyStart func()
	// workspaces are those that random jobs may be of, formerCaps the caps that they had.
	workspaces []string
	formerCaps []formerCaps
	// lateOrderShare is the share of orders that get no answer and are carried out
	// seconds later.
	lateOrderShare float64
	// executingLateOrder says that an order is carried out late just now, unreachedStarts counts the
	// tasks that were started so on a life that no holder had reached.
	executingLateOrder bool
	unreachedStarts    int
	// noRandomFailures keeps tasks from failing by themselves.
	noRandomFailures bool
	// lateOrdersIncludeRenewals makes looks be among those orders.
	lateOrdersIncludeRenewals bool
	// renames gives each life of a worker a name of its own and tells of no life when it
	// began, as the platform once did.
	uniqueIncarnationNames bool
}

// submittedJob is a job as its caller knows it.
type submittedJob struct {
	sub                  job.Submission
	accepted             bool
	mayRun               bool
	cancelled            time.Time
	state                job.State
	done                 map[job.TaskID]bool
	acknowledged         map[job.TaskID]bool
	acknowledgedFailures map[job.TaskID]int
	// failedRuns counts runs that ended failed, also those whose end was never noted.
	failedRuns map[job.TaskID]int
}

func newWorld(t *testing.T, seed int64, boxes, workers int) *world {
	begin := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	w := &world{
		t: t, seed: seed, rng: rand.New(rand.NewSource(seed)), now: begin, startedAt: begin,
		streams: map[stream.Name]*fakeStream{}, config: config(), jobs: map[job.ID]*submittedJob{}, starts: map[job.TaskID]int{},
		adviserFreeAt: map[string]time.Time{}, guiltyTasks: map[job.TaskID]time.Duration{}, crashRecords: map[job.TaskID]*crashRecord{},
	}
	for _, name := range []stream.Name{stream.Claims, stream.Boxes, stream.Jobs} {
		w.streams[name] = &fakeStream{}
	}
	for i := range workers {
		w.workers = append(w.workers, newFakeWorker(w, fmt.Sprintf("w%02d", i), fmt.Sprintf("r%d", i/3)))
	}
	for i := range boxes {
		b := &fakeBox{w: w, name: fmt.Sprintf("box-%d", i)}
		w.boxes = append(w.boxes, b)
		b.start()
	}
	w.after(10*time.Millisecond, w.advanceWorkers)
	return w
}

func (w *world) at(at time.Time, do func()) {
	w.seq++
	heap.Push(&w.timers, timer{at: at, seq: w.seq, do: do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.timers) > 0 && !w.timers[0].at.After(end) {
		next := heap.Pop(&w.timers).(timer)
		w.now = next.at
		next.do()
	}
	w.now = end
}

func (w *world) waitUntil(most time.Duration, what string, holds func() bool) {
	w.t.Helper()
	for end := w.now.Add(most); w.now.Before(end); {
		w.run(20 * time.Millisecond)
		if holds() {
			return
		}
	}
	w.fatalf("not within %v: %s", most, what)
}

func (w *world) delay() time.Duration {
	return time.Duration(500+w.rng.Intn(3000)) * time.Microsecond
}

// --- boxes

// --- the log

// --- other boxes

// advise answers a call for advice; those of one box are served in turn.
func (w *world) advise(e exchange.Advise, back func(time.Duration, exchange.Event)) {
	q := w.config.Queues[w.jobs[e.Step.Job].sub.Queue].Advice
	if q == nil {
		// The queue is gone.
		q = &job.Advice{BaseTime: 50 * time.Millisecond, TimePerWorker: time.Millisecond}
	}
	begins := w.adviserFreeAt[e.Box]
	if begins.Before(w.now) {
		begins = w.now
	}
	done := begins.Add(q.BaseTime + time.Duration(len(e.Workers))*q.TimePerWorker)
	w.adviserFreeAt[e.Box] = done
	a := exchange.Advised{Step: e.Step, Box: e.Box, Epoch: e.Epoch, Number: e.Number}
	for _, id := range e.Workers {
		if adviserAllows(e.Step, id) {
			a.Tickets = append(a.Tickets, order.Ticket{Worker: id, Ticket: ticketFor(e.Step, id, done)})
		}
	}
	back(done.Sub(w.now), a)
}

// adviserAllows says whether a worker may run a step: each second worker may, so that
// there is always room for a gang.
func adviserAllows(s job.StepID, worker string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.String()))
	return (h.Sum32()+uint32(worker[2]))%2 == 0
}

func ticketFor(s job.StepID, worker string, at time.Time) string {
	return fmt.Sprintf("%s/%s/%d", s, worker, at.UnixMilli())
}
