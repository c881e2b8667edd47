// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package jobrun runs the reducer for submitted jobs as a process: one loop
// feeds it events with the present time, and adapters carry out its effects.
package jobrun

import (
	"context"
	"sync"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/stream"
	"saddlevane/modules/clock"
	"saddlevane/services/dispatch"
	"saddlevane/services/overload"
	"saddlevane/services/relay"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// Log is the platform's log.
type Log struct {
	Append func(ctx context.Context, a stream.Append) (offset int64, err error)
	// Read waits for records from an offset on.
	Read func(ctx context.Context, name stream.Name, from int64, wait time.Duration) (stream.Page, error)
	// Newest returns the newest record of each key.
	Newest func(ctx context.Context, name stream.Name) (stream.Page, error)
}

// Platform is what the process reaches outside the cell's entry boxes.
type Platform struct {
	Log     Log
	Workers relay.WorkerCalls
	Advise  func(ctx context.Context, step job.StepID, workers []string) ([]order.Ticket, error)
	// Config returns the configuration that the records hold, if any does.
	Config func(records []stream.Record) (job.Config, bool, error)
	// Listing returns what records say of workers.
	Listing func(records []stream.Record) order.Listing
}

// Settings of the process.
type Settings struct {
	Dispatch dispatch.Settings
	// Tick is the time between two ticks of the reducer.
	Tick time.Duration
	// ReadWait is how long a read of the log waits for records.
	ReadWait time.Duration
	// WorkersInterval is the time between two reads of the list of workers.
	WorkersInterval time.Duration
	// CallTimeout bounds a call to the log.
	CallTimeout time.Duration
	// PeerTimeout bounds a call to another entry box.
	PeerTimeout time.Duration
	// Relays say from when on other boxes carry orders to workers.
	Relays relay.Limits
	// Probe and Answer bound the silence of links to other entry boxes.
	Probe, Answer time.Duration
}

// eventQueueSize is how many events may wait for the loop.
const eventQueueSize = 4096

// queuedEvent is an event and when it began to wait for the loop.
type queuedEvent struct {
	event    exchange.Event
	queuedAt time.Time
}

// Loop runs the reducer. Close ends it.
type Loop struct {
	settings  Settings
	core      *dispatch.Core
	self      claim.Member
	platform  Platform
	log       *logrus.Entry
	logWriter *logWriter
	clock     *clock.Clock
	now       func() time.Time
	events    chan queuedEvent
	queries   chan func(now time.Time, c *dispatch.Core)
	metrics   *Metrics
	load      loadStats
	// gate says which new jobs are taken while this box holds the cell and is behind.
	gate  overload.Gate
	peers *Peers
	// relays says which boxes carry orders to workers, carrier gives them.
	relays      *relay.Selector
	relayClient *relay.Client
	// workers gives orders through relays.
	workers  relay.WorkerCalls
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    conc.WaitGroup
	stopped  chan struct{}
	stopOnce sync.Once

	mu sync.Mutex
	// calls are the callers that wait for an answer.
	calls    map[exchange.CallID]chan exchange.Answer
	lastCall exchange.CallID
	view     view
	// told is the newest claim that another box has told of. A box that the log does
	// not answer learns from it who holds the cell.
	reportedClaim claim.Claim
	// stopFollowWorkers ends the following of the list of workers.
	stopFollowWorkers context.CancelFunc
}

// view is what the callers' side knows of the reducer.
type view struct {
	config *job.Config
	// configCurrentUntil is until when the configuration is known to be the newest.
	configCurrentUntil time.Time
	holder             claim.Claim
	holdsCell          bool
	// logReadAt is when the log last answered.
	logReadAt time.Time
	// epoch is the claim under which orders may be given until orderUntil.
	epoch      int64
	orderUntil time.Time
}

// NewLoop returns a loop that does not run yet.
func NewLoop(s Settings, self claim.Member, p Platform, log *logrus.Entry, c *clock.Clock) *Loop {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Loop{
		settings: s, core: dispatch.New(s.Dispatch, self), self: self, platform: p, log: log, logWriter: newLogWriter(log, c.Now), clock: c, now: c.Now,
		events: make(chan queuedEvent, eventQueueSize), queries: make(chan func(time.Time, *dispatch.Core)),
		metrics: newMetrics(), ctx: ctx, cancel: cancel,
		stopped: make(chan struct{}), calls: map[exchange.CallID]chan exchange.Answer{},
		relays: relay.NewSelector(s.Relays, self.Box),
	}
	l.relayClient = relay.NewClient(self, l.now, l.relays, p.Workers, l.batchSender(methodCarry))
	l.workers = l.relayClient.WorkerCalls()
	return l
}

// Run starts the loop and all that feeds it.
func (l *Loop) Run(peers *Peers) {
	l.peers = peers
	l.tasks.Go(l.run)
	l.tasks.Go(l.followConfig)
	l.tasks.Go(l.followClaims)
	l.tasks.Go(l.followMembers)
}

// Stop begins a planned stop.
func (l *Loop) Stop() { l.post(exchange.Stop{}) }

// Stopped is closed when a planned stop is complete.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Close ends the loop and waits for it.
func (l *Loop) Close() {
	l.cancel()
	l.relayClient.Close()
	l.tasks.Wait()
	l.logWriter.close()
}

// post gives the reducer an event.
func (l *Loop) post(e exchange.Event) {
	select {
	case l.events <- queuedEvent{event: e, queuedAt: l.now()}:
	case <-l.ctx.Done():
	}
}

// Query runs f beside the reducer. It returns false if the loop has ended.
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

// Metrics returns the counters of the process.
func (l *Loop) Metrics() *Metrics { return l.metrics }

// run is the only goroutine that calls the reducer.
func (l *Loop) run() {
	ticker := time.NewTicker(l.settings.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case e := <-l.events:
			l.handle(e)
			l.handleQueued()
			l.decide(l.now())
		case f := <-l.queries:
			f(l.now(), l.core)
		case <-ticker.C:
			now := l.now()
			l.core.SetSuspendOffset(l.clock.Suspended())
			l.core.Handle(now, exchange.Tick{})
			l.handleQueued()
			l.decide(l.now())
			l.logLoad(l.now())
			l.updateGate(l.now())
		}
	}
}

// handle gives the reducer an event.
func (l *Loop) handle(p queuedEvent) {
	now := l.now()
	waited := now.Sub(p.queuedAt)
	l.load.recordEvent(waited)
	l.metrics.queueWait.Observe(waited.Seconds())
	l.gate.RecordQueueAge(waited)
	l.core.SetSuspendOffset(l.clock.Suspended())
	l.core.Handle(now, l.applyOverload(now, waited, p.event))
}

// handleQueued takes the events that came together, so that one decision serves all. Each
// is told with the time at which it is taken: a time from before an answer came
// would make leases seem shorter than they are.
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

// decide has the reducer decide, and carries out its effects; callers see the
// state that came of it.
func (l *Loop) decide(now time.Time) {
	plans := l.core.PlanCount()
	effects := l.core.Decide(now)
	if l.core.PlanCount() != plans {
		took := l.now().Sub(now)
		l.metrics.passTime.Observe(took.Seconds())
		l.load.recordPass(took)
		l.core.Handle(l.now(), exchange.Decided{Took: took})
	}
	l.updateView(now)
	for _, e := range effects {
		l.execute(e)
	}
}

// updateView has callers and the orders under way see the state that the reducer has come to.
func (l *Loop) updateView(now time.Time) {
	v := view{config: l.core.Config(), holder: l.core.Holder(), holdsCell: l.core.IsServing(now), logReadAt: l.core.LogReadAt()}
	v.configCurrentUntil = l.core.ConfigCurrentUntil()
	v.epoch, v.orderUntil = l.core.HoldsUntil()
	l.mu.Lock()
	l.view = v
	l.mu.Unlock()
}

// canOrder says whether an order under a claim may still be written. It was decided by a
// process that had authority; the machine may have been suspended since, and another box
// may hold the cell by now.
func (l *Loop) canOrder(epoch int64) bool {
	l.mu.Lock()
	v := l.view
	l.mu.Unlock()
	return v.epoch == epoch && l.now().Before(v.orderUntil)
}

// answerAuthorityEnded is the answer to an order that was not written.
var answerAuthorityEnded = order.Answer{Outcome: order.NotDone, Problem: "the authority under which it was decided has ended"}

// execute carries out one effect. What takes time runs beside the loop and comes
// back as an event.
func (l *Loop) execute(e exchange.Effect) {
	switch e := e.(type) {
	case exchange.Append:
		l.tasks.Go(func() { l.appendToLog(e) })
	case exchange.LoadJobs:
		l.tasks.Go(func() { l.loadJobs(e) })
	case exchange.FollowWorkers:
		l.setFollowWorkers(e.On)
	case exchange.Renew:
		l.tasks.Go(func() { l.renewLease(e) })
	case exchange.StartRun:
		l.tasks.Go(func() { l.startRun(e) })
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
	case exchange.EntryRefused:
		l.metrics.entriesRefused.Inc()
	case exchange.JobGivenUp:
		l.metrics.jobsGivenUp.Inc()
		l.metrics.crashesBlamed.Add(float64(e.Crashes))
	case exchange.Stopped:
		l.stopOnce.Do(func() { close(l.stopped) })
	}
}
