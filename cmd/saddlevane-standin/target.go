// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"saddlevane/models/request"
	"saddlevane/models/verdict"
	"saddlevane/modules/httpjson"
)

// targetStandin stands in for one target. It echoes requests, a bounded number at a time, and
// counts how often each one ran.
type targetStandin struct {
	*http.ServeMux
	faults      faultState
	name        string
	slots       chan struct{}
	connections chan struct{}

	mu sync.Mutex
	// runs counts the runs of each request by its nonce, served those of all requests.
	runs   map[string]int
	served int64
	// maxConcurrent is the largest number of requests that were in the target at once, with
	// those queued for a slot.
	maxConcurrent int
	queued        int
}

// headerNonce is a header that identifies a request in a test, independent of its idempotency key.
const headerNonce = "Test-Nonce"

// newTarget returns a target with the slots and connections of m.
func newTarget(m member) *targetStandin {
	t := &targetStandin{
		ServeMux: http.NewServeMux(), name: m.Name, runs: map[string]int{},
		slots: make(chan struct{}, max(m.Slots, 1)), connections: make(chan struct{}, max(m.Connections, 1)),
	}
	t.HandleFunc("POST /admin/faults", t.faults.serve)
	t.HandleFunc("GET /admin/runs", t.showRuns)
	t.HandleFunc("/", t.serve)
	return t
}

// serve runs one request: it takes a slot, sleeps for the query parameter ms in milliseconds, and
// echoes the body.
func (t *targetStandin) serve(w http.ResponseWriter, r *http.Request) {
	if t.faults.get().Leaving {
		w.Header().Set(request.HeaderVerdict, string(verdict.NotRun))
		w.Header().Set(request.HeaderLeaving, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.addQueued(1)
	t.slots <- struct{}{}
	t.addQueued(-1)
	defer func() { <-t.slots }()
	if !t.faults.beforeCall(w) {
		return
	}
	t.countRun(r.Header.Get(headerNonce))
	ms, _ := strconv.ParseFloat(r.URL.Query().Get("ms"), 64)
	time.Sleep(time.Duration(ms * float64(time.Millisecond)))
	t.reply(w, body)
}

// reply echoes body, subject to the faults in force.
func (t *targetStandin) reply(w http.ResponseWriter, body []byte) {
	f := t.faults.get()
	if f.LoseAnswers {
		closeConnection(w)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set("Test-Target", t.name)
	if f.Truncate {
		_, _ = w.Write(body[:len(body)/2])
		closeConnection(w)
		return
	}
	_, _ = w.Write(body)
}

// addQueued changes the number of requests that wait for a slot by delta.
func (t *targetStandin) addQueued(delta int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queued += delta
	t.maxConcurrent = max(t.maxConcurrent, len(t.slots)+t.queued)
}

// countRun counts a run of the request with the nonce, which may be empty.
func (t *targetStandin) countRun(nonce string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served++
	if nonce != "" {
		t.runs[nonce]++
	}
}

// runCounts is the answer to GET /admin/runs.
type runCounts struct {
	Target string         `json:"target"`
	Served int64          `json:"served"`
	Runs   map[string]int `json:"runs"`
	// Busiest is the largest number of requests that were in the target at once.
	Busiest int `json:"busiest"`
}

// showRuns answers GET /admin/runs.
func (t *targetStandin) showRuns(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	httpjson.Write(w, http.StatusOK, runCounts{Target: t.name, Served: t.served, Runs: t.runs, Busiest: t.maxConcurrent})
}

// limitConnections returns a listener that closes connections beyond the target's limit.
func (t *targetStandin) limitConnections(l net.Listener) net.Listener {
	return &limitedListener{Listener: l, open: t.connections}
}

// limitedListener is a listener with a limited number of open connections. open holds one element for
// each of them.
type limitedListener struct {
	net.Listener
	open chan struct{}
}

// Accept returns the next connection within the limit. It closes connections beyond the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.open <- struct{}{}:
			return &limitedConn{Conn: c, open: l.open}, nil
		default:
			_ = c.Close()
		}
	}
}

// limitedConn is a connection that counts against the limit until it is closed.
type limitedConn struct {
	net.Conn
	once sync.Once
	open chan struct{}
}

// Close closes the connection and frees its place in the limit.
func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.open })
	return c.Conn.Close()
}
