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

// traceShown is how many lines of the reducers are shown of a world that failed.
const traceShown = 400

const (
	lease    = 6 * time.Second
	stopTime = 200 * time.Millisecond
	gangWait = 3 * time.Second
	pool     = "pool"
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

// item is something that happens at a time.
type item struct {
	at  time.Time
	seq int
	do  func()
}

type queue []item

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(item)) }

func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

type world struct {
	t       *testing.T
	seed    int64
	rng     *rand.Rand
	now     time.Time
	begin   time.Time
	queue   queue
	seq     int
	log     map[stream.Name]*fakeStream
	epoch   int64
	lastSeq int64
	boxes   []*fakeBox
	workers []*fakeWorker
	jobs    map[job.ID]*asked
	order   []job.ID
	// config is what boxes read when they start.
	config job.Config
	broken []string
	// alone counts ends of gangs that started incomplete.
	alone int
	// without is what the boxes' policy does without.
	without map[mechanism.Mechanism]bool
	// adviserFree is when the advice service has answered all calls of a box.
	adviserFree map[string]time.Time
	// starts counts the starts of each task.
	starts map[job.TaskID]int
	trace  []string

	// logDown makes the log answer nobody; logLoses is the share of appends that
	// are done without an answer.
	logDown bool
	// logSilent makes it take appends to the stream of jobs without an answer.
	logSilent bool
	// logSlow is how much longer appends take.
	logSlow time.Duration
	// answers counts answers to the calls of a test.
	answers  int
	logLoses float64
	// stopTakes is how long a stop takes, or 0 for stopTime.
	stopTakes time.Duration
	// lateLooks is the share of looks whose answers come only after they are overdue, in
	// bunches.
	lateLooks float64
	// guilty has the tasks that crash each worker that starts them, and after how long at
	// work; crashes says what became of them. A worker's crash is seen at once where
	// crashesSeen is set: its machine refuses calls and breaks those under way.
	guilty      map[job.TaskID]time.Duration
	crashes     map[job.TaskID]*crashRecord
	crashesSeen bool
	// guiltyBegins is called whenever a worker starts a task that crashes its workers.
	guiltyBegins func()
	// workspaces are those that random jobs may be of, formerCaps the caps that they had.
	workspaces []string
	formerCaps []formerCaps
	// lateShare is the share of orders that get no answer and are carried out
	// seconds later.
	lateShare float64
	// carriesLate says that an order is carried out late just now, startedUnreached counts the
	// tasks that were started so on a life that no holder had reached.
	carriesLate      bool
	startedUnreached int
	// neverFails keeps tasks from failing by themselves.
	neverFails bool
	// lateHolds makes looks be among those orders.
	lateHolds bool
	// renames gives each life of a worker a name of its own and tells of no life when it
	// began, as the platform once did.
	renames bool
}

// asked is a job as its caller knows it.
type asked struct {
	sub       job.Submission
	accepted  bool
	mayRun    bool
	cancelled time.Time
	state     job.State
	done      map[job.TaskID]bool
	noted     map[job.TaskID]bool
	failures  map[job.TaskID]int
	// failedRuns counts runs that ended failed, also those whose end was never noted.
	failedRuns map[job.TaskID]int
}

func newWorld(t *testing.T, seed int64, boxes, workers int) *world {
	begin := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	w := &world{
		t: t, seed: seed, rng: rand.New(rand.NewSource(seed)), now: begin, begin: begin,
		log: map[stream.Name]*fakeStream{}, config: config(), jobs: map[job.ID]*asked{}, starts: map[job.TaskID]int{},
		adviserFree: map[string]time.Time{}, guilty: map[job.TaskID]time.Duration{}, crashes: map[job.TaskID]*crashRecord{},
	}
	for _, name := range []stream.Name{stream.Claims, stream.Boxes, stream.Jobs} {
		w.log[name] = &fakeStream{}
	}
	for i := range workers {
		w.workers = append(w.workers, newFakeWorker(w, fmt.Sprintf("w%02d", i), fmt.Sprintf("r%d", i/3)))
	}
	for i := range boxes {
		b := &fakeBox{w: w, name: fmt.Sprintf("box-%d", i)}
		w.boxes = append(w.boxes, b)
		b.start()
	}
	w.after(10*time.Millisecond, w.runWorkers)
	return w
}

func (w *world) at(at time.Time, do func()) {
	w.seq++
	heap.Push(&w.queue, item{at: at, seq: w.seq, do: do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(item)
		w.now = next.at
		next.do()
	}
	w.now = end
}

func (w *world) until(most time.Duration, what string, holds func() bool) {
	w.t.Helper()
	for end := w.now.Add(most); w.now.Before(end); {
		w.run(20 * time.Millisecond)
		if holds() {
			return
		}
	}
	w.fail("not within %v: %s", most, what)
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
	begins := w.adviserFree[e.Box]
	if begins.Before(w.now) {
		begins = w.now
	}
	done := begins.Add(q.BaseTime + time.Duration(len(e.Workers))*q.TimePerWorker)
	w.adviserFree[e.Box] = done
	a := exchange.Advised{Step: e.Step, Box: e.Box, Epoch: e.Epoch, Number: e.Number}
	for _, id := range e.Workers {
		if suits(e.Step, id) {
			a.Tickets = append(a.Tickets, order.Ticket{Worker: id, Ticket: ticketOf(e.Step, id, done)})
		}
	}
	back(done.Sub(w.now), a)
}

// suits says whether a worker may run a step: each second worker may, so that
// there is always room for a gang.
func suits(s job.StepID, worker string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.String()))
	return (h.Sum32()+uint32(worker[2]))%2 == 0
}

func ticketOf(s job.StepID, worker string, at time.Time) string {
	return fmt.Sprintf("%s/%s/%d", s, worker, at.UnixMilli())
}
