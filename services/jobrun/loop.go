// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package jobrun runs the reducer for submitted jobs (package dispatch) as a process. A single
// event loop feeds it events with the current time, and adapters carry out the effects that it
// returns: appends to the log, orders to workers, calls to other entry boxes.
package jobrun

import (
	"context"
	"sync"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/evacuation"
	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/stream"
	"saddlevane/modules/clock"
	"saddlevane/modules/loglimit"
	"saddlevane/services/dispatch"
	"saddlevane/services/logfeed"
	"saddlevane/services/overload"
	"saddlevane/services/presence"
	"saddlevane/services/relay"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// Log holds the calls to the platform's log.
type Log struct {
	Append func(ctx context.Context, a stream.Append) (offset int64, err error)
	// Read returns the records from an offset on and waits up to wait if there are none.
	Read func(ctx context.Context, name stream.Name, from int64, wait time.Duration) (stream.Page, error)
	// Newest returns the newest record of each key.
	Newest func(ctx context.Context, name stream.Name) (stream.Page, error)
}

// Platform holds the calls to everything outside the cell's entry boxes, and the decoders of
// the platform's records.
type Platform struct {
	Log     Log
	Workers relay.WorkerCalls
	Advise  func(ctx context.Context, step job.StepID, workers []string) ([]order.Ticket, error)
	// Config returns the configuration that the records contain, and whether they contain one.
	Config func(records []stream.Record) (job.Config, bool, error)
	// Evacuations returns what a page of the stream of configurations contains about evacuations.
	// complete is set if the page has the newest record of each key.
	Evacuations func(page stream.Page, complete bool) evacuation.Update
	// EvacuationRecord returns the record that requests the evacuation of a failure domain, or
	// withdraws the request.
	EvacuationRecord func(domain string, requested bool) stream.Record
	// Listing returns what the records report about workers.
	Listing func(records []stream.Record) order.Listing
}

// Settings are the settings of a Loop.
type Settings struct {
	Dispatch dispatch.Settings
	// Tick is the interval between two Tick events for the reducer.
	Tick time.Duration
	// ReadWait is how long a read of the claims waits for new records.
	ReadWait time.Duration
	// WorkersInterval is the wait between two reads of the list of workers.
	WorkersInterval time.Duration
	// CallTimeout bounds a call to the log. A read may take this long in addition to its wait.
	CallTimeout time.Duration
	// PeerTimeout bounds a call to another entry box.
	PeerTimeout time.Duration
	// Relays limits the use of other boxes as relays of orders: the number of workers from which
	// on they are used, and the number of workers per box.
	Relays relay.Limits
	// ProbeAfter is how long a link to another entry box may receive nothing before it is probed,
	// AnswerTimeout how long it may then receive nothing before it is closed.
	ProbeAfter, AnswerTimeout time.Duration
}

// eventQueueSize is how many events may wait for the loop. It also bounds the events that are
// handled before one decision.
const eventQueueSize = 4096

// queuedEvent is an event and the time at which it was posted.
type queuedEvent struct {
	event    exchange.Event
	queuedAt time.Time
}

// Loop runs the reducer and carries out its effects. Close ends it.
type Loop struct {
	settings  Settings
	core      *dispatch.Core
	self      claim.Member
	platform  Platform
	log       *logrus.Entry
	logWriter *logWriter
	// expectedRefusals chooses which calls for queues that do not exist are logged.
	expectedRefusals *loglimit.Limiter
	clock            *clock.Clock
	now              func() time.Time
	events           chan queuedEvent
	queries          chan func(now time.Time, c *dispatch.Core)
	metrics          *Metrics
	load             loadStats
	work             loopWork
	// gate decides which new jobs are admitted while this box holds the cell and is overloaded.
	gate  overload.Gate
	peers *Peers
	// relays determines which box relays the orders for a worker, relayClient sends them.
	relays      *relay.Selector
	relayClient *relay.Client
	// readers chooses the box through which this one reads the log. windows keep what this box has
	// read, by stream, for boxes that read through it.
	readers *logfeed.Selector
	windows map[stream.Name]*logfeed.Window
	// workers gives orders to workers, through relays where there are any, and direct without them.
	workers, direct relay.WorkerCalls
	ctx             context.Context
	cancel          context.CancelFunc
	tasks           conc.WaitGroup
	stopped         chan struct{}
	stopOnce        sync.Once

	mu sync.Mutex
	// calls holds the channels of the goroutines that wait for a reply of the reducer.
	calls    map[exchange.CallID]chan exchange.Answer
	lastCall exchange.CallID
	view     view
	// reportedClaim is the newest claim that another box has reported. A box that cannot read
	// the log learns from it which box holds the cell.
	reportedClaim claim.Claim
	// inquiry tracks the inquiries of this box after the holder.
	inquiry inquiry
	// stopFollowWorkers stops following the list of workers, nil if it isn't followed. Only
	// the goroutine of Loop.run uses it.
	stopFollowWorkers context.CancelFunc
}

// view is the part of the reducer's state that other goroutines read.
type view struct {
	config *job.Config
	// configCurrentUntil is until when config is known to be the newest configuration.
	configCurrentUntil time.Time
	holder             claim.Claim
	holdsCell          bool
	// logReadAt is when the log last answered.
	logReadAt time.Time
	// mustReadLog is set if this box may not read the log through another one.
	mustReadLog bool
	// epoch is the epoch of the claim under which orders may be given until orderUntil.
	epoch      int64
	orderUntil time.Time
}

// NewLoop returns a loop that is not running yet. self describes this entry box.
func NewLoop(s Settings, self claim.Member, p Platform, log *logrus.Entry, c *clock.Clock) *Loop {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Loop{
		settings: s, core: dispatch.New(s.Dispatch, self), self: self, platform: p, log: log, logWriter: newLogWriter(log, c.Now), clock: c, now: c.Now,
		events: make(chan queuedEvent, eventQueueSize), queries: make(chan func(time.Time, *dispatch.Core)),
		expectedRefusals: loglimit.New(expectedRefusalInterval, expectedRefusalQueues),
		metrics:          newMetrics(), ctx: ctx, cancel: cancel,
		stopped: make(chan struct{}), calls: map[exchange.CallID]chan exchange.Answer{},
		relays: relay.NewSelector(s.Relays, self.Box), readers: logfeed.NewSelector(self), windows: map[stream.Name]*logfeed.Window{},
	}
	l.work, l.load.countedFrom = newLoopWork(l.metrics), l.now()
	l.metrics.registerQueueLength(func() int { return len(l.events) })
	for _, name := range []stream.Name{stream.Config, stream.Claims, stream.Boxes} {
		l.windows[name] = logfeed.NewWindow(l.now)
	}
	l.relayClient = relay.NewClient(self, l.now, l.relays, p.Workers, l.mayOrder, l.batchSender(methodCarry))
	l.workers, l.direct = l.relayClient.WorkerCalls(), l.relayClient.Direct()
	return l
}

// Run starts the event loop and the goroutines that follow the log. It does not block.
func (l *Loop) Run(peers *Peers) {
	l.peers = peers
	l.tasks.Go(l.run)
	l.tasks.Go(l.followConfig)
	l.tasks.Go(l.followClaims)
	l.tasks.Go(l.followMembers)
}

// Stop starts a planned shutdown, in which the cell is handed over. Stopped reports its end.
func (l *Loop) Stop() { l.post(exchange.Stop{}) }

// Stopped returns a channel that is closed when a planned shutdown is complete.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Close ends the loop, waits for its goroutines and writes the remaining log lines.
func (l *Loop) Close() {
	l.cancel()
	l.relayClient.Close()
	// A call that is still served must not start a goroutine while the others are waited for.
	l.mu.Lock()
	l.inquiry.stopped = true
	l.mu.Unlock()
	l.tasks.Wait()
	l.logWriter.close()
}

// post queues an event for the reducer. It blocks while the queue is full, until the loop ends.
func (l *Loop) post(e exchange.Event) {
	select {
	case l.events <- queuedEvent{event: e, queuedAt: l.now()}:
	case <-l.ctx.Done():
	}
}

// Query runs f in the goroutine of the event loop, between two events, and waits for it. It
// returns false without a call if the loop has ended.
func (l *Loop) Query(f func(now time.Time, c *dispatch.Core)) bool {
	done := make(chan struct{})
	wrapped := func(now time.Time, c *dispatch.Core) {
		defer close(done)
		f(now, c)
	}
	select {
	case l.queries <- wrapped:
	case <-l.ctx.Done():
		return false
	}
	<-done
	return true
}

// Metrics returns the metrics of the process.
func (l *Loop) Metrics() *Metrics { return l.metrics }

// run is the event loop. No other goroutine may call the reducer.
func (l *Loop) run() {
	ticker := time.NewTicker(l.settings.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case e := <-l.events:
			l.recordQueued(len(l.events) + 1)
			l.handle(e)
			l.handleQueued()
			l.decide(l.now())
		case f := <-l.queries:
			startedAt := clock.Monotonic()
			f(l.now(), l.core)
			l.work.record(workQuery, clock.Monotonic()-startedAt)
		case <-ticker.C:
			l.recordQueued(len(l.events))
			startedAt := clock.Monotonic()
			now := l.now()
			l.core.SetSuspendOffset(l.clock.Suspended())
			l.core.Handle(now, exchange.Tick{})
			l.work.record(workTick, clock.Monotonic()-startedAt)
			l.handleQueued()
			l.decide(l.now())
			l.logLoad(l.now())
			l.updateGate(l.now())
		}
	}
}

// handle passes an event to the reducer.
func (l *Loop) handle(q queuedEvent) {
	startedAt := clock.Monotonic()
	now := l.now()
	waited := now.Sub(q.queuedAt)
	l.load.recordEvent(waited)
	l.metrics.queueWait.Observe(waited.Seconds())
	kind := eventWork(q.event)
	if kind == workSubmit {
		l.load.recordSubmit(waited)
		l.metrics.submitWait.Observe(waited.Seconds())
	}
	l.gate.RecordQueueAge(waited)
	l.core.SetSuspendOffset(l.clock.Suspended())
	l.core.Handle(now, l.applyOverload(now, waited, q.event))
	l.work.record(kind, clock.Monotonic()-startedAt)
}

// recordQueued records how many events wait before a group of them is handled.
func (l *Loop) recordQueued(n int) {
	l.load.recordQueued(n)
	l.metrics.queuedEvents.Observe(float64(n))
}

// handleQueued handles the events that are already queued, so that one decision covers all of
// them. Each is passed on with the time at which it is handled: with a time from before an
// answer arrived, leases would appear shorter than they are.
func (l *Loop) handleQueued() {
	for range eventQueueSize {
		select {
		case e := <-l.events:
			l.handle(e)
		default:
			return
		}
	}
}

// decide has the reducer decide, publishes the resulting state to other goroutines and then
// carries out the effects, so that callers who receive a reply already see that state.
func (l *Loop) decide(now time.Time) {
	plans := l.core.PlanCount()
	startedAt := clock.Monotonic()
	effects := l.core.Decide(now)
	kind, workTook := workDecision, clock.Monotonic()-startedAt
	if l.core.PlanCount() != plans {
		kind = workPlan
		took := l.now().Sub(now)
		l.metrics.passTime.Observe(took.Seconds())
		l.load.recordPass(took)
		l.core.Handle(l.now(), exchange.Decided{Took: took})
	}
	l.work.record(kind, workTook)
	l.updateView(now)
	l.executeAll(effects)
}

// executeAll carries out effects and records the time that each takes in this goroutine.
func (l *Loop) executeAll(effects []exchange.Effect) {
	startedAt := clock.Monotonic()
	for _, e := range effects {
		l.execute(e)
		endedAt := clock.Monotonic()
		l.work.record(effectWork(e), endedAt-startedAt)
		startedAt = endedAt
	}
}

// updateView copies the reducer's state to the view that callers and pending orders read.
func (l *Loop) updateView(now time.Time) {
	v := view{config: l.core.Config(), holder: l.core.Holder(), holdsCell: l.core.IsServing(now), logReadAt: l.core.LogReadAt()}
	v.configCurrentUntil, v.mustReadLog = l.core.ConfigCurrentUntil(), l.core.MustReadLog(now)
	v.epoch, v.orderUntil = l.core.HoldsUntil()
	l.mu.Lock()
	l.view = v
	l.mu.Unlock()
}

// mayOrder reports whether an order with the given fence number may still be sent. The authority
// existed when the order was decided, but the order may have waited or the machine may have been
// suspended since, and another box may hold the cell by now.
func (l *Loop) mayOrder(fence int64) bool {
	l.mu.Lock()
	v := l.view
	l.mu.Unlock()
	return v.epoch == presence.ClaimOfFence(fence) && l.now().Before(v.orderUntil)
}

// execute carries out one effect. An effect that takes time does not block it: it runs in its own
// goroutine, or it is an order through a relay. Its result is posted as an event.
func (l *Loop) execute(e exchange.Effect) {
	switch e := e.(type) {
	case exchange.Append:
		l.tasks.Go(func() { l.appendToLog(e) })
	case exchange.LoadJobs:
		l.tasks.Go(func() { l.loadJobs(e) })
	case exchange.FollowWorkers:
		l.setFollowWorkers(e.On)
	case exchange.Renew:
		l.beginRenewal(e)
	case exchange.StartRun:
		l.beginStart(e)
	case exchange.StopRun:
		l.tasks.Go(func() { l.stopRun(e) })
	case exchange.ThrottleRun:
		l.tasks.Go(func() { l.throttleRun(e) })
	case exchange.Advise:
		l.tasks.Go(func() { l.advise(e) })
	case exchange.AskPledges:
		l.tasks.Go(func() { l.peers.askPledges(e) })
	case exchange.Invite:
		l.tasks.Go(func() { l.peers.invite(e) })
	case exchange.Reply:
		l.deliverAnswer(e.Call, e.Answer)
	case exchange.LogEvent:
		l.logWriter.write(e)
	case exchange.TasksLost:
		l.metrics.recordLostTasks(e)
	case exchange.WorkspaceUsage:
		l.metrics.setWorkspaces(e.All)
	case exchange.JobOverShare:
		l.metrics.recordOverShare(e.Refused)
	case exchange.ForecastChecked:
		l.metrics.recordForecast(e)
	case exchange.EntryRefused:
		l.metrics.entriesRefused.Inc()
	case exchange.Evacuations:
		l.metrics.recordEvacuations(e)
	case exchange.MissingWorkerResolved:
		l.metrics.recordResolution(e)
	case exchange.JobGivenUp:
		l.metrics.jobsGivenUp.Inc()
		l.metrics.crashesBlamed.Add(float64(e.Crashes))
	case exchange.Stopped:
		l.stopOnce.Do(func() { close(l.stopped) })
	}
}
