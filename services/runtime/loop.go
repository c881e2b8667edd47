// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package runtime runs the core reducer as a process: a single loop passes events with the current
// time to the reducer, and adapters execute the effects it returns and post their results as
// events.
package runtime

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"saddlevane/models/effect"
	"saddlevane/models/event"
	"saddlevane/services/core"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// tickInterval is the time between two ticks of the reducer, and thus the maximum delay of a
// decision that no event triggers.
const tickInterval = 25 * time.Millisecond

// eventBufferSize is the number of events that are buffered for the loop.
const eventBufferSize = 1024

// Adapters holds the adapters that execute effects. Their methods must not block the loop: an
// adapter runs slow work in goroutines of its own.
type Adapters struct {
	Requests *Requests
	Log      *Log
	Workers  *Workers
	Peers    *Peers
}

// Loop runs a reducer. Close terminates it.
type Loop struct {
	core *core.Core
	// now returns the current time for the reducer and the adapters.
	now            func() time.Time
	log            logrus.FieldLogger
	adapters       Adapters
	publishWaiters publishWaiters
	events         chan event.Event
	queries        chan func(time.Time, *core.Core)
	ctx            context.Context
	cancel         context.CancelFunc
	goroutines     conc.WaitGroup
	stopping       atomic.Bool
	stopped        chan struct{}
	stopOnce       sync.Once
}

// NewLoop returns a loop for c that Run starts. now returns the current time.
func NewLoop(c *core.Core, log logrus.FieldLogger, now func() time.Time) *Loop {
	ctx, cancel := context.WithCancel(context.Background())
	return &Loop{
		core: c, log: log, now: now, events: make(chan event.Event, eventBufferSize),
		queries: make(chan func(time.Time, *core.Core)),
		ctx:     ctx, cancel: cancel, stopped: make(chan struct{}),
		publishWaiters: newPublishWaiters(),
	}
}

// Run starts the loop with its adapters.
func (l *Loop) Run(a Adapters) {
	l.adapters = a
	l.goroutines.Go(l.run)
}

// Post sends an event to the reducer. It blocks while the event buffer is full and drops the event
// if the loop has terminated.
func (l *Loop) Post(e event.Event) {
	select {
	case l.events <- e:
	case <-l.ctx.Done():
	}
}

// Query runs f in the loop's goroutine, between events, and waits for it. It returns false without
// running f if the loop has terminated.
func (l *Loop) Query(f func(now time.Time, c *core.Core)) bool {
	done := make(chan struct{})
	wrapped := func(now time.Time, c *core.Core) {
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

// Stop starts a planned shutdown. Stopped reports its end.
func (l *Loop) Stop() {
	l.stopping.Store(true)
	l.Post(event.Stop{})
}

// IsStopping reports whether a planned shutdown has started.
func (l *Loop) IsStopping() bool { return l.stopping.Load() }

// Stopped returns a channel that is closed when a planned shutdown is complete.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Close terminates the loop and waits for it.
func (l *Loop) Close() {
	l.cancel()
	l.goroutines.Wait()
}

// run processes events, queries and ticks until the loop is closed.
func (l *Loop) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case e := <-l.events:
			l.handle(e)
		case f := <-l.queries:
			f(l.now(), l.core)
		case <-ticker.C:
			l.handle(event.Tick{})
		}
	}
}

// handle passes an event to the reducer and executes the resulting effects.
func (l *Loop) handle(e event.Event) {
	for _, eff := range l.core.Handle(l.now(), e) {
		l.apply(eff)
	}
}

// apply passes an effect to the adapter that executes it.
func (l *Loop) apply(e effect.Effect) {
	switch e := e.(type) {
	case effect.SendRequest:
		l.adapters.Requests.send(e)
	case effect.Deliver:
		l.adapters.Requests.deliver(e)
	case effect.Refuse:
		l.adapters.Requests.refuse(e)
	case effect.Forget:
		l.adapters.Requests.forget(e.ID)
	case effect.Forward:
		l.adapters.Peers.forward(e)
	case effect.ReadLog:
		l.adapters.Log.read(e)
	case effect.Append:
		l.adapters.Log.append(e)
	case effect.SyncWorker:
		l.adapters.Workers.sync(e)
	case effect.SendHello:
		l.adapters.Peers.sendHello(e)
	case effect.FetchSnapshot:
		l.adapters.Peers.fetchSnapshot(e)
	case effect.AnswerPublish:
		l.publishWaiters.answer(e)
	case effect.Stopped:
		l.stopOnce.Do(func() { close(l.stopped) })
	}
}
