// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"net/http"
	"sync"
	"time"

	"saddlevane/modules/httpjson"
)

// faults are the faults to inject. Each POST /admin/faults replaces all of them.
type faults struct {
	// Down answers every call with status 503 without running it.
	Down bool `json:"down"`
	// Drop closes the connection of every call without running it.
	Drop bool `json:"drop"`
	// LoseAnswers runs calls and closes the connection instead of answering.
	LoseAnswers bool `json:"lose_answers"`
	// Truncate makes a target send only the first half of a response.
	Truncate bool `json:"truncate"`
	// Slow is a delay before each call in milliseconds.
	Slow int64 `json:"slow_ms"`
	// FailAll makes a worker fail all tasks that it starts.
	FailAll bool `json:"fail_all"`
	// Leaving makes a worker or target report that it is leaving.
	Leaving bool `json:"leaving"`
}

// faultState holds the faults in force.
type faultState struct {
	mu      sync.Mutex
	current faults
}

// get returns the faults in force.
func (b *faultState) get() faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current
}

// serve answers POST /admin/faults.
func (b *faultState) serve(w http.ResponseWriter, r *http.Request) {
	var f faults
	if !httpjson.Decode(w, r, 1<<16, &f) {
		return
	}
	b.mu.Lock()
	b.current = f
	b.mu.Unlock()
	httpjson.Write(w, http.StatusOK, f)
}

// beforeCall applies the faults that precede a call. It returns false if the call must not run; the
// response is then already sent or the connection closed.
func (b *faultState) beforeCall(w http.ResponseWriter) bool {
	f := b.get()
	if f.Slow > 0 {
		time.Sleep(time.Duration(f.Slow) * time.Millisecond)
	}
	if f.Drop {
		closeConnection(w)
		return false
	}
	if f.Down {
		httpjson.Error(w, http.StatusServiceUnavailable, "down")
		return false
	}
	return true
}

// writeAnswer writes v as JSON, or closes the connection if LoseAnswers is set.
func (b *faultState) writeAnswer(w http.ResponseWriter, v any) {
	if b.get().LoseAnswers {
		closeConnection(w)
		return
	}
	httpjson.Write(w, http.StatusOK, v)
}

// closeConnection closes the connection of a call without a response.
func closeConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}
