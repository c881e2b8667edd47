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

// A world simulates boxes that run the reducer, a log and workers in virtual time. Calls take time,
// get lost, are answered late or carried out late; boxes are killed and paused. Whenever a worker
// starts a task, the world checks the guarantees of the scheduler and records violations.

// maxTraceLines is how many of the last trace lines are logged when a world fails.
const maxTraceLines = 400

// Lease duration and pool of the simulated cell. A run takes defaultStopDuration to stop, and a
// gang member gives up after gangStartTimeout if the gang is incomplete.
const (
	lease               = 6 * time.Second
	defaultStopDuration = 200 * time.Millisecond
	gangStartTimeout    = 3 * time.Second
	pool                = "pool"
	// defaultFailurePercent is how many of 100 runs of a simulated worker fail.
	defaultFailurePercent = 4
)

// settings returns the scheduler settings of the boxes, with intervals short enough for tests.
func settings() dispatch.Settings {
	return dispatch.Settings{
		Authority: authority.Settings{RenewInterval: 400 * time.Millisecond, HoldFor: 1400 * time.Millisecond, ClaimAfter: 1550 * time.Millisecond, OutsiderClaimAfter: 10 * time.Second},
		Lease:     lease, RenewWait: time.Second, OrderTimeout: 300 * time.Millisecond, AppendInterval: 12 * time.Millisecond,
		EndedRetention: 150 * time.Second, StopGrace: 1500 * time.Millisecond,
		ConfigPropagation: 3 * time.Second, EvacuationPropagation: evacuationBound, ShareWindow: 5 * time.Second,
	}
}

// config returns a configuration with two queues: "wide", whose tasks need advice, and "quick".
func config() job.Config {
	advice := &job.Advice{BaseTime: 50 * time.Millisecond, TimePerWorker: time.Millisecond, TicketLifetime: 1500 * time.Millisecond}
	return job.Config{Version: 1, Queues: map[string]job.Queue{
		"wide":  {Name: "wide", Pool: pool, Priority: 1, Attempts: 3, Stretch: 2.2, Latency: time.Second, Advice: advice},
		"quick": {Name: "quick", Pool: pool, Priority: 0, Attempts: 2, Stretch: 1.5, Latency: 250 * time.Millisecond},
	}}
}

// timer is a function that is called at a point of the virtual time. Timers of the same time run in
// the order of seq.
type timer struct {
	at  time.Time
	seq int
	do  func()
}

// timerHeap is a heap of timers, the earliest first.
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

// world is the state of a simulation. All randomness comes from rng, so that a seed reproduces a
// world.
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
	// config is the configuration that boxes read when they start.
	config     job.Config
	violations []string
	// incompleteGangEnds counts the gang runs that ended because the other members had not arrived
	// within gangStartTimeout.
	incompleteGangEnds int
	// disabled is the set of mechanisms that are disabled in the settings of all boxes.
	disabled map[mechanism.Mechanism]bool
	// adviserFreeAt is the time, by box, at which the advice service has answered all calls that
	// the box has made.
	adviserFreeAt map[string]time.Time
	// withoutForecast is set if boxes that start admit jobs without a forecast.
	withoutForecast bool
	// starts counts the starts of each task.
	starts map[job.TaskID]int
	trace  []string
	// lostAt has the time at which a holder recorded the loss of each task that has not started since,
	// and lossWaits the times from each loss to the next start.
	lostAt    map[string]time.Time
	lossWaits []time.Duration

	// evacuatedAt has the time at which each evacuated failure domain was requested to be.
	evacuatedAt map[string]time.Time
	// configReadsStopped keeps boxes from reading the stream of configurations.
	configReadsStopped bool

	// renewalsSent counts the renewals that boxes have sent to workers.
	renewalsSent int
	// acknowledgedEnds counts the ends that workers have dropped because they were acknowledged, and
	// lateAcknowledgements those of them that had ended more than acknowledgeLimit before.
	acknowledgedEnds, lateAcknowledgements int
	// pledgesAsked counts the requests for pledges.
	pledgesAsked int
	// logDown makes the log reject all reads and appends.
	logDown bool
	// dropsJournalAppends makes the log drop appends to the stream of jobs without an answer.
	dropsJournalAppends bool
	// appendDelay is added to the time after which an append is answered.
	appendDelay time.Duration
	// answerCount counts the answers to calls that a test makes itself. unansweredAppendShare is the
	// share of appends that get no answer, although they are carried out.
	answerCount           int
	unansweredAppendShare float64
	// stopDuration is how long a run takes to stop; 0 means defaultStopDuration.
	stopDuration time.Duration
	// lateAnswerShare is the share of renewals whose answers arrive only after their timeout,
	// several answers at once.
	lateAnswerShare float64
	// guiltyTasks maps each task that crashes its worker to the time after which it does so, and
	// crashRecords counts what it caused. If crashesVisible is set, the machine of a crashed worker
	// refuses new calls and closes the connections of pending ones, so that a holder detects the
	// crash at once.
	guiltyTasks    map[job.TaskID]time.Duration
	crashRecords   map[job.TaskID]*crashRecord
	crashesVisible bool
	// onGuiltyStart, if not nil, is called whenever a worker starts a guilty task.
	onGuiltyStart func()
	// crashUnderGuiltyTask, if not nil, crashes a worker because of a guilty task. Otherwise it is down for
	// crashDowntime.
	crashUnderGuiltyTask func(*fakeWorker)
	// workspaces are the workspaces that random jobs are submitted for. formerCaps holds the caps
	// of earlier configurations.
	workspaces []string
	formerCaps []formerCaps
	// lateOrderShare is the share of orders that are not answered and are carried out 2 to 12 s
	// later.
	lateOrderShare float64
	// executingLateOrder is set while a late order is carried out. unreachedStarts counts the tasks
	// that a late order started on an incarnation no holder had reached yet.
	executingLateOrder bool
	unreachedStarts    int
	// endedRetention is how long boxes keep ended jobs; 0 means as long as settings says.
	endedRetention time.Duration
	// noRandomFailures disables the random failures of tasks. failurePercent is how many of 100 runs fail; 0 means
	// defaultFailurePercent.
	noRandomFailures bool
	failurePercent   int
	// lateOrdersIncludeRenewals makes lateOrderShare apply to renewals as well.
	lateOrdersIncludeRenewals bool
	// maxListedEnds is how many ends a worker lists in a report; 0 means any number.
	maxListedEnds int
	// uniqueIncarnationNames gives each incarnation of a worker a name of its own and no start
	// time, as the platform formerly did.
	uniqueIncarnationNames bool
}

// submittedJob is a job with what its caller and the workers know of it. mayRun is set once a box
// may have accepted the job. done holds the tasks whose work is complete; acknowledged and
// acknowledgedFailures count the ends that a holder has acknowledged. The first task of a gang
// stands for all its members in the latter two.
type submittedJob struct {
	sub                  job.Submission
	accepted             bool
	mayRun               bool
	cancelled            time.Time
	state                job.State
	done                 map[job.TaskID]bool
	acknowledged         map[job.TaskID]bool
	acknowledgedFailures map[job.TaskID]int
	// failedRuns has the numbers of the runs that failed, including those whose end no holder acknowledged. The
	// first task of a gang stands for all its members.
	failedRuns map[job.TaskID]map[int64]bool
	// finalState is the final state that a holder has shown, or empty.
	finalState job.State
	// lastStarts has the last start of each task.
	lastStarts map[job.TaskID]taskStart
}

// taskStart is a start of a task on a worker at a time. late is set if the order was carried out late.
type taskStart struct {
	at     time.Time
	number int64
	worker order.Incarnation
	late   bool
}

// newWorld returns a world whose boxes have just started. Three workers each share a rack.
func newWorld(t *testing.T, seed int64, boxes, workers int) *world {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	w := &world{
		t: t, seed: seed, rng: rand.New(rand.NewSource(seed)), now: start, startedAt: start,
		streams: map[stream.Name]*fakeStream{}, evacuatedAt: map[string]time.Time{}, config: config(), jobs: map[job.ID]*submittedJob{}, starts: map[job.TaskID]int{}, lostAt: map[string]time.Time{},
		adviserFreeAt: map[string]time.Time{}, guiltyTasks: map[job.TaskID]time.Duration{}, crashRecords: map[job.TaskID]*crashRecord{},
	}
	for _, name := range []stream.Name{stream.Claims, stream.Boxes, stream.Jobs, stream.Config} {
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

// at schedules a function for a point of the virtual time.
func (w *world) at(at time.Time, do func()) {
	w.seq++
	heap.Push(&w.timers, timer{at: at, seq: w.seq, do: do})
}

// after schedules a function for when d has passed.
func (w *world) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

// run advances the virtual time by d and runs all timers that are due.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.timers) > 0 && !w.timers[0].at.After(end) {
		next := heap.Pop(&w.timers).(timer)
		w.now = next.at
		next.do()
	}
	w.now = end
}

// waitUntil runs the world until a condition holds, and fails the test if it does not within a time
// limit. what describes the condition.
func (w *world) waitUntil(limit time.Duration, what string, condition func() bool) {
	w.t.Helper()
	for end := w.now.Add(limit); w.now.Before(end); {
		w.run(20 * time.Millisecond)
		if condition() {
			return
		}
	}
	w.fatalf("not reached within %v: %s", limit, what)
}

// delay returns a random delay of a message, 0.5 to 3.5 ms.
func (w *world) delay() time.Duration {
	return time.Duration(500+w.rng.Intn(3000)) * time.Microsecond
}

// advise answers a request for advice. Requests of one box are answered one after the other.
func (w *world) advise(e exchange.Advise, respond func(time.Duration, exchange.Event)) {
	advice := w.config.Queues[w.jobs[e.Step.Job].sub.Queue].Advice
	if advice == nil {
		// The queue was removed from the configuration after the request was made.
		advice = &job.Advice{BaseTime: 50 * time.Millisecond, TimePerWorker: time.Millisecond}
	}
	start := w.adviserFreeAt[e.Box]
	if start.Before(w.now) {
		start = w.now
	}
	done := start.Add(advice.BaseTime + time.Duration(len(e.Workers))*advice.TimePerWorker)
	w.adviserFreeAt[e.Box] = done
	answer := exchange.Advised{Step: e.Step, Box: e.Box, Epoch: e.Epoch, Number: e.Number}
	for _, id := range e.Workers {
		if adviserAllows(e.Step, id) {
			answer.Tickets = append(answer.Tickets, order.Ticket{Worker: id, Ticket: ticketFor(e.Step, id, done)})
		}
	}
	respond(done.Sub(w.now), answer)
}

// adviserAllows reports whether the advice service issues a ticket for a step on a worker. It does
// for every second worker, so that there is always room for a gang.
func adviserAllows(step job.StepID, worker string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(step.String()))
	return (h.Sum32()+uint32(worker[2]))%2 == 0
}

// ticketFor returns the ticket for a step on a worker.
func ticketFor(step job.StepID, worker string, at time.Time) string {
	return fmt.Sprintf("%s/%s/%d", step, worker, at.UnixMilli())
}
