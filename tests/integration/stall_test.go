// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration_test

import (
	"context"
	"fmt"
	"regexp"
	"sync"
	"testing"
	"time"

	"saddlevane/tests/cell"
	"saddlevane/tests/tcpproxy"

	"gotest.tools/v3/assert"
)

// Settings of the daemons of the fixture; other settings have their defaults.
const (
	// probeAfter and answerTimeout are the settings connections.probe and connections.answer.
	probeAfter    = time.Second
	answerTimeout = 250 * time.Millisecond
	// readTimeout bounds a waiting read of the log that has no response (platform.wait plus
	// platform.timeout), appendTimeout an append (platform.timeout).
	readTimeout   = 1500 * time.Millisecond
	appendTimeout = time.Second
	// deadAfter is the setting peers.dead_after.
	deadAfter = 700 * time.Millisecond
)

const (
	// filesTimeout is the time by which a file that is published after a stall must be in
	// force everywhere. The stalled connections are found one after the other.
	filesTimeout = probeAfter + answerTimeout + appendTimeout + 2*readTimeout
	// liveTimeout is the time after a stall by which all boxes must receive each other's
	// heartbeats again.
	liveTimeout = probeAfter + answerTimeout + deadAfter + readTimeout
	// responsesTimeout is the time after a stall by which requests must be served as before:
	// requests on stalled connections run until their deadline, and their targets may be
	// ejected for twice requests.eject_for.
	responsesTimeout = requestDeadline + 2*ejectFor + probeAfter + answerTimeout
	// requestDeadline is the deadline of the request classes, ejectFor the setting
	// requests.eject_for.
	requestDeadline = 2 * time.Second
	ejectFor        = time.Second
	// measureDuration is the interval in which requests and their complete responses are
	// counted. minServedShare is the least acceptable ratio to the usual share of complete
	// responses; it is the users' requirement for jobs. The absolute number of requests is
	// not compared, since it depends on the load of the machine. It can be as high as before
	// if no target is ejected, which is checked instead.
	measureDuration = 2 * time.Second
	minServedShare  = 0.85
)

// deadlinePattern matches the deadlines of the request classes in the cell's file.
var deadlinePattern = regexp.MustCompile(`deadline: \d+s`)

// stallRounds is how often all open connections stall.
const stallRounds = 3

// forwarders holds one forwarder in front of each address of a cell, by name.
type forwarders struct {
	mu  sync.Mutex
	all map[string]*tcpproxy.Proxy
	// addresses holds the listen address of each forwarder, by name.
	addresses map[string]string
}

// proxyAddress returns a function for cell.Options.ProxyAddress that puts a forwarder in
// front of the address returned by next.
func (f *forwarders) proxyAddress(t *testing.T, next func(name, address string) string) func(name, address string) string {
	return func(name, address string) string {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.all[name] == nil {
			w := tcpproxy.New()
			at, err := w.Forward(next(name, address))
			assert.Check(t, err == nil, "%v", err)
			f.all[name], f.addresses[name] = w, at
			t.Cleanup(w.Close)
		}
		return f.addresses[name]
	}
}

// stallAll stalls all open connections and returns how many there were.
func (f *forwarders) stallAll() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.all {
		n += w.Stall()
	}
	return n
}

// Guards against a lasting loss of about half of the complete responses, also after all
// request deadlines have passed, when all connections that boxes have opened stall several
// times without a reset: those to peers, the log, the list of boxes, workers and targets. New
// connections and the callers' own connections work.
//
// Requests on stalled connections ran until their deadlines, and the boxes ejected targets
// for seconds, although heartbeats resumed after 1.3 s and files came into force. After a
// request without a response, the other idle connections to the same target were kept, so
// that later requests and probes used further stalled ones. Closing all idle connections to a
// target after the first failed request keeps the number of complete responses as before.
func TestBoxServesAfterOpenConnectionsStall(t *testing.T) {
	fwds := &forwarders{all: map[string]*tcpproxy.Proxy{}, addresses: map[string]string{}}
	f := newFixture(t, func(o *cell.Options) { o.ProxyAddress = fwds.proxyAddress(t, o.ProxyAddress) }, domain("a"), domain("b"))
	f.republish("cell", deadlinePattern.ReplaceAllString(f.CellFile("cell"), "deadline: "+requestDeadline.String()))
	f.waitInForce("cell", f.Entries()...)
	c := newCallers(f)
	c.maxDelayMs = 100
	c.run(40, "preview", "render", "extract")
	f.waitFor("all boxes are live", f.allLive)
	f.waitFor("responses arrive", func() bool { return c.count(callResult.isComplete) >= 200 })
	usualShare := f.completeShare(c, time.Now())
	for round := range stallRounds {
		f.checkServedAfterStall(c, fwds, fmt.Sprint("after", round), usualShare)
	}
	all := c.stopAndCollect()
	f.checkVerdicts(all)
	for _, r := range all {
		assert.Check(t, r.err == nil, "%s got no response: %v", r.nonce, r.err)
	}
	f.checkWorkerInvariants()
}

// checkServedAfterStall stalls all open connections, publishes a file of the given name, and
// checks that nearly as large a share of requests as usual has complete responses.
func (f *fixture) checkServedAfterStall(c *callers, fwds *forwarders, name string, usualShare float64) {
	f.t.Helper()
	assert.Check(f.t, fwds.stallAll() > 0, "no connection was open")
	stalledAt := time.Now()
	f.publish(name, "0", "name: "+name+"\n")
	// After deadAfter, only heartbeats received after the stall count.
	f.waitUntil(stalledAt.Add(liveTimeout), "all boxes are live", func() bool { return time.Since(stalledAt) > deadAfter && f.allLive() })
	f.waitUntil(stalledAt.Add(filesTimeout), name+" is in force", func() bool { return f.isInForce(name) })
	f.waitUntil(stalledAt.Add(responsesTimeout), "no target is ejected", f.noneEjected)
	share := f.completeShare(c, stalledAt.Add(responsesTimeout))
	assert.Check(f.t, f.noneEjected(), "%s: a target is ejected again", name)
	f.t.Logf("%s: %.3f of the requests have complete responses, usually %.3f", name, share, usualShare)
	assert.Check(f.t, share >= minServedShare*usualShare, "%s: %.3f of the requests have complete responses, usually %.3f", name, share, usualShare)
}

// completeShare returns the share of complete responses among the requests sent within
// measureDuration after from.
func (f *fixture) completeShare(c *callers, from time.Time) float64 {
	f.t.Helper()
	to := from.Add(measureDuration)
	f.waitFor("the deadlines of all measured requests have passed", func() bool { return time.Since(to) > requestDeadline })
	sent := func(r callResult) bool { return !r.startedAt.Before(from) && r.startedAt.Before(to) }
	complete := c.count(func(r callResult) bool { return sent(r) && r.isComplete() })
	return float64(complete) / float64(max(1, c.count(sent)))
}

// waitUntil waits until ok returns true and fails the test at the deadline.
func (f *fixture) waitUntil(end time.Time, what string, ok func() bool) {
	f.t.Helper()
	ctx, cancel := context.WithDeadline(f.ctx, end)
	defer cancel()
	assert.NilError(f.t, cell.WaitFor(ctx, what, ok))
}

// allLive reports whether each box receives the heartbeats of all boxes in its domain.
func (f *fixture) allLive() bool {
	for _, e := range f.Entries() {
		if s, err := e.Status(f.ctx); err != nil || len(s.Live) != len(f.EntriesIn(e.Domain)) {
			return false
		}
	}
	return true
}

// noneEjected reports whether no box has ejected a target.
func (f *fixture) noneEjected() bool {
	for _, e := range f.Entries() {
		s, err := e.Status(f.ctx)
		if err != nil {
			return false
		}
		for _, p := range s.Pools {
			for _, t := range p.Targets {
				if t.Ejected {
					return false
				}
			}
		}
	}
	return true
}

// isInForce reports whether any revision of a file is in force on all boxes.
func (f *fixture) isInForce(name string) bool {
	for _, e := range f.Entries() {
		if revisionOn(f.ctx, e, name) == 0 {
			return false
		}
	}
	return true
}
