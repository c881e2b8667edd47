// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"net/http"
	"sync"
	"time"

	"saddlevane/models/box"
	"saddlevane/modules/httpjson"
)

// maxBoxListBytes bounds the request body that sets the list of boxes.
const maxBoxListBytes = 64 << 20

// boxesStandin stands in for the platform's list of boxes. A change is visible only after a lag.
type boxesStandin struct {
	*http.ServeMux
	faults faultState
	lag    time.Duration

	mu sync.Mutex
	// shown is the visible list. pending is the last list set, which is visible from
	// visibleAt on.
	shown     box.List
	pending   box.List
	visibleAt time.Time
}

// newBoxes returns an empty list whose changes are visible after lag.
func newBoxes(lag time.Duration) *boxesStandin {
	b := &boxesStandin{ServeMux: http.NewServeMux(), lag: lag}
	b.HandleFunc("GET /v1/boxes", b.read)
	b.HandleFunc("POST /admin/boxes", b.set)
	b.HandleFunc("POST /admin/faults", b.faults.serve)
	return b
}

// read answers GET /v1/boxes.
func (b *boxesStandin) read(w http.ResponseWriter, _ *http.Request) {
	if !b.faults.beforeCall(w) {
		return
	}
	b.mu.Lock()
	if !time.Now().Before(b.visibleAt) {
		b.shown = b.pending
	}
	shown := b.shown
	b.mu.Unlock()
	if shown.Boxes == nil {
		shown.Boxes = []box.Box{}
	}
	b.faults.writeAnswer(w, shown)
}

// set replaces the list, which is visible once the lag has passed.
func (b *boxesStandin) set(w http.ResponseWriter, r *http.Request) {
	var l box.List
	if !httpjson.Decode(w, r, maxBoxListBytes, &l) {
		return
	}
	b.mu.Lock()
	b.pending, b.visibleAt = l, time.Now().Add(b.lag)
	b.mu.Unlock()
	httpjson.Write(w, http.StatusOK, struct{}{})
}
