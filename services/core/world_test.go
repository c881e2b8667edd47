// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package core_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"saddlevane/models/box"
	"saddlevane/models/effect"
	"saddlevane/models/event"
	"saddlevane/models/peer"
	"saddlevane/models/record"
	"saddlevane/models/resource"
	"saddlevane/models/task"
	"saddlevane/modules/ordered"
	"saddlevane/services/core"
	"saddlevane/services/journal"
	"saddlevane/services/membership"
	"saddlevane/services/routing"
	"saddlevane/services/shard"
	"saddlevane/tests/fake"

	"github.com/oklog/ulid/v2"
)

// Intervals and limits of the world.
const (
	step        = 50 * time.Millisecond
	taskLease   = 3 * time.Second
	callTimeout = 500 * time.Millisecond
)

func settings() core.Settings {
	return core.Settings{
		Journal:    journal.Settings{Interval: 50 * time.Millisecond, RetryAfter: 200 * time.Millisecond, Limit: 1000},
		Membership: membership.Settings{HeartbeatInterval: 200 * time.Millisecond, DeadAfter: time.Second},
		Routing:    routing.Settings{KeyTTL: time.Minute, MaxKeys: 10, EjectAfter: 3, EjectFor: time.Second, MaxEjectFor: time.Second},
		Shard: shard.Settings{
			Lease: 1500 * time.Millisecond, RenewInterval: 300 * time.Millisecond, ClockMargin: 100 * time.Millisecond, TaskLease: taskLease,
			SettleTime: time.Second, GoneAfter: time.Hour, Backoff: 100 * time.Millisecond, MaxBackoff: time.Second, GangOvertakeTimeout: time.Second,
			QuarantineAfter: 3, QuarantineFor: time.Second, PlacementsPerTick: 100, StopsPerTick: 20,
		},
		Retention: time.Hour, StopGrace: 0, MaxStopTime: 10 * time.Second,
	}
}

func policies() core.Policies {
	return core.Policies{Routing: routing.DefaultPolicy(), Shard: shard.DefaultPolicy()}
}

// node is one entry box of the world.
type node struct {
	name        string
	incarnation int
	core        *core.Core
	paused      bool
	// delayed holds the events that arrived during a pause.
	delayed []event.Event
	// dropsLogCalls and dropsPeerCalls are set while the calls of this node to the log and to its
	// peers are dropped.
	dropsLogCalls, dropsPeerCalls bool
	// dropsLogReads is set while reads of the log by this node are dropped, but not its appends.
	dropsLogReads bool
	// unreachableWorkers names the workers that this node cannot reach.
	unreachableWorkers map[string]bool
	// highestRevision is the highest revision of each file that was in force at this node.
	highestRevision map[string]int64
}

// message is a call or answer in transit.
type message struct {
	at  time.Time
	seq int
	run func()
}

// messages is a heap of messages, ordered by time of arrival.
type messages []message

func (m messages) Len() int { return len(m) }
func (m messages) Less(i, j int) bool {
	if m[i].at.Equal(m[j].at) {
		return m[i].seq < m[j].seq
	}
	return m[i].at.Before(m[j].at)
}
func (m messages) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *messages) Push(x any)   { *m = append(*m, x.(message)) }
func (m *messages) Pop() any {
	old := *m
	last := old[len(old)-1]
	*m = old[:len(old)-1]
	return last
}

// world simulates a cell with reducers, a log and workers in one goroutine. It delays,
// loses, repeats and reorders messages between them. It does not simulate load.
type world struct {
	now        time.Time
	random     *rand.Rand
	nodes      []*node
	workers    map[string]*fake.Worker
	log        []event.LogRecord
	logDown    bool
	loss       float64
	queue      messages
	seq        int
	dead       map[string]bool
	events     int
	violations []string
	// results holds the results of publications by waiter.
	results map[uint64]effect.PublishResult
	// intercept takes a Sync out of transit if it returns true. The call then fails.
	intercept func(effect.SyncWorker) bool
	// stopped holds the nodes whose planned stop is complete.
	stopped map[*node]bool
}

func newWorld(seed uint64, nodes, workers int) *world {
	w := &world{
		now: time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC), random: rand.New(rand.NewPCG(seed, 7)),
		workers: map[string]*fake.Worker{}, dead: map[string]bool{}, results: map[uint64]effect.PublishResult{}, stopped: map[*node]bool{},
	}
	for i := range workers {
		name := fmt.Sprintf("w%d", i+1)
		w.workers[name] = fake.NewWorker(name, "1", resource.Vector{Processors: 4000, Memory: 8 * resource.GiB}, taskLease)
	}
	for i := range nodes {
		n := &node{name: fmt.Sprintf("e%d", i+1), highestRevision: map[string]int64{}, unreachableWorkers: map[string]bool{}}
		w.nodes = append(w.nodes, n)
		w.boot(n)
	}
	return w
}

// boot restarts a node without any of its state.
func (w *world) boot(n *node) {
	n.incarnation++
	n.paused, n.delayed, n.highestRevision = false, nil, map[string]int64{}
	delete(w.stopped, n)
	self := peer.Hello{Box: n.name, Incarnation: fmt.Sprintf("i%d", n.incarnation), Domain: "a", Address: n.name}
	n.core = core.New(w.now, settings(), policies(), self, func(now time.Time) ulid.ULID { return ulid.ULID{} })
}

func (w *world) boxes() box.List {
	var l box.List
	for _, n := range w.nodes {
		l.Boxes = append(l.Boxes, box.Box{Name: n.name, Role: box.Entry, Domain: "a", Address: n.name, State: box.Live})
	}
	for name := range ordered.Map(w.workers) {
		state := box.Live
		if w.dead[name] {
			state = box.Dead
		}
		l.Boxes = append(l.Boxes, box.Box{Name: name, Role: box.Worker, Domain: "a", Address: name, State: state})
	}
	return l
}

// schedule runs a function after d.
func (w *world) schedule(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, message{at: w.now.Add(d), seq: w.seq, run: run})
}

func (w *world) delay() time.Duration { return time.Duration(1+w.random.IntN(30)) * time.Millisecond }

// isLost decides at random whether a message is lost.
func (w *world) isLost() bool { return w.random.Float64() < w.loss }

// run advances the world by d.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		next := w.now.Add(step)
		for len(w.queue) > 0 && !w.queue[0].at.After(next) {
			m := heap.Pop(&w.queue).(message)
			w.now = m.at
			m.run()
		}
		w.now = next
		for _, n := range w.nodes {
			w.deliver(n, n.incarnation, event.Tick{})
			if w.random.IntN(10) == 0 {
				w.deliver(n, n.incarnation, event.BoxesRead{List: w.boxes()})
			}
		}
		w.checkInvariants()
	}
}

// deliver passes an event to a node, unless the node has restarted since the given
// incarnation.
func (w *world) deliver(n *node, incarnation int, e event.Event) {
	if n.incarnation != incarnation {
		return
	}
	if n.paused {
		if _, tick := e.(event.Tick); !tick {
			n.delayed = append(n.delayed, e)
		}
		return
	}
	w.events++
	for _, eff := range n.core.Handle(w.now, e) {
		w.execute(n, eff)
	}
}

// resume ends a pause and handles the events that arrived during it.
func (w *world) resume(n *node) {
	n.paused = false
	held := n.delayed
	n.delayed = nil
	for _, e := range held {
		w.deliver(n, n.incarnation, e)
	}
}

// execute carries out an effect of a node.
func (w *world) execute(n *node, e effect.Effect) {
	incarnation := n.incarnation
	switch e := e.(type) {
	case effect.ReadLog:
		w.readLog(n, incarnation, e.From)
	case effect.Append:
		w.append(n, incarnation, e.Envelope)
	case effect.SyncWorker:
		w.sync(n, incarnation, e)
	case effect.SendHello:
		w.sendHello(n, e)
	case effect.FetchSnapshot:
		w.fetchSnapshot(n, incarnation, e)
	case effect.AnswerPublish:
		w.results[e.Waiter] = e.Result
	case effect.Stopped:
		w.stopped[n] = true
	}
}

func (w *world) readLog(n *node, incarnation int, from int64) {
	if n.dropsLogReads || n.dropsLogCalls || w.logDown || w.isLost() {
		w.schedule(callTimeout, func() { w.deliver(n, incarnation, event.LogFailed{Reason: "cut"}) })
		return
	}
	w.schedule(2*w.delay(), func() {
		read := event.LogRead{AtEnd: true}
		if from < int64(len(w.log)) {
			read.Records = append(read.Records, w.log[from:]...)
		}
		w.deliver(n, incarnation, read)
	})
}

func (w *world) append(n *node, incarnation int, e record.Envelope) {
	ended := event.AppendEnded{ID: e.ID}
	if n.dropsLogCalls || w.logDown || w.isLost() {
		ended.Failure = "cut"
		w.schedule(callTimeout, func() { w.deliver(n, incarnation, ended) })
		return
	}
	w.schedule(w.delay(), func() {
		ended.Offset = int64(len(w.log))
		w.log = append(w.log, event.LogRecord{Offset: int64(len(w.log)), At: w.now, Envelope: e})
		if w.isLost() {
			ended.Failure = "the answer was lost"
		}
		w.schedule(w.delay(), func() { w.deliver(n, incarnation, ended) })
	})
}

func (w *world) sync(n *node, incarnation int, e effect.SyncWorker) {
	sentAt := w.now
	failed := event.WorkerAnswered{Worker: e.Worker, Seq: e.Sync.Seq, SentAt: sentAt, Failure: "cut"}
	taken := w.intercept != nil && w.intercept(e)
	if taken || n.unreachableWorkers[e.Worker] || w.isLost() || w.dead[e.Worker] {
		w.schedule(callTimeout, func() { w.deliver(n, incarnation, failed) })
		return
	}
	arrives := w.delay()
	if w.random.IntN(50) == 0 && w.loss > 0 {
		// The message may be delayed beyond the timeout of the call.
		arrives += time.Duration(w.random.IntN(4000)) * time.Millisecond
	}
	answered := false
	w.schedule(arrives, func() {
		if w.dead[e.Worker] {
			return
		}
		report := w.workers[e.Worker].Apply(w.now, e.Sync)
		if w.isLost() || n.unreachableWorkers[e.Worker] {
			return
		}
		w.schedule(w.delay(), func() {
			if !answered {
				answered = true
				w.deliver(n, incarnation, event.WorkerAnswered{Worker: e.Worker, Seq: e.Sync.Seq, SentAt: sentAt, Report: report})
			}
		})
	})
	w.schedule(callTimeout, func() {
		if !answered {
			answered = true
			w.deliver(n, incarnation, failed)
		}
	})
}

func (w *world) sendHello(n *node, e effect.SendHello) {
	to := w.node(e.Address)
	if to == nil || n.dropsPeerCalls || to.dropsPeerCalls || w.isLost() {
		return
	}
	incarnation := to.incarnation
	w.schedule(w.delay(), func() { w.deliver(to, incarnation, event.HelloReceived{Hello: e.Hello}) })
}

func (w *world) fetchSnapshot(n *node, incarnation int, e effect.FetchSnapshot) {
	from := w.node(e.Box)
	if from == nil || n.dropsPeerCalls || from.dropsPeerCalls || from.paused || w.isLost() {
		return
	}
	s := from.core.Snapshot()
	w.schedule(2*w.delay(), func() { w.deliver(n, incarnation, event.SnapshotRead{From: e.Box, Snapshot: s}) })
}

func (w *world) node(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// recordViolation records that an invariant was violated.
func (w *world) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// checkInvariants checks what must hold after every step: no task runs on two workers, no
// worker is given more than its capacity, and no file goes back to an older revision.
func (w *world) checkInvariants() {
	places := map[task.Key]string{}
	for name, wk := range ordered.Map(w.workers) {
		if w.dead[name] {
			continue
		}
		wk.Advance(w.now)
		for _, id := range wk.Running() {
			if other, twice := places[id.Key()]; twice {
				w.recordViolation("%s: %s runs on %s and on %s", w.now.Format("05.000"), id.Key(), other, name)
			}
			places[id.Key()] = name
		}
		if wk.ExcessStarts() > 0 {
			w.recordViolation("%s was sent starts that exceed its capacity", name)
		}
	}
	for _, n := range w.nodes {
		w.checkRevisions(n)
	}
}

// checkRevisions checks that no file in force goes back to an older revision or is lost.
func (w *world) checkRevisions(n *node) {
	for _, name := range []string{"cell", "work"} {
		f, ok := n.core.File(name)
		if !ok {
			if n.highestRevision[name] > 0 {
				w.recordViolation("%s lost file %s", n.name, name)
			}
			continue
		}
		if f.Revision < n.highestRevision[name] {
			w.recordViolation("%s went back from revision %d of %s to %d", n.name, n.highestRevision[name], name, f.Revision)
		}
		n.highestRevision[name] = f.Revision
	}
}

// startCounts returns how often each task of an object was started, on all workers.
func (w *world) startCounts(object string) map[task.Key]int {
	n := map[task.Key]int{}
	for _, wk := range w.workers {
		for _, s := range wk.History() {
			if s.Task.Object.Name == object {
				n[s.Task.Key()]++
			}
		}
	}
	return n
}

// publish publishes a file through a node and returns the result.
func (w *world) publish(n *node, id, file string, replaces int64, data string) effect.PublishResult {
	waiter := uint64(len(w.results) + 1000)
	p := record.Publish{ID: id, File: file, Replaces: replaces, Data: data}
	w.deliver(n, n.incarnation, event.PublishAsked{Waiter: waiter, Publish: p, Timeout: 5 * time.Second})
	for range 200 {
		if r, ok := w.results[waiter]; ok {
			return r
		}
		w.run(step)
	}
	return effect.PublishResult{Outcome: effect.Unknown}
}
