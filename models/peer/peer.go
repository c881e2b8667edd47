// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package peer defines the messages between entry boxes.
package peer

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"

	"saddlevane/models/verdict"
)

// Methods of the peers' protocol.
const (
	MethodHello    = "peer.hello"
	MethodSnapshot = "peer.snapshot"
	MethodForward  = "request.forward"
)

// Hello is the heartbeat of an entry box.
type Hello struct {
	Box         string `json:"box"`
	Incarnation string `json:"incarnation"`
	Domain      string `json:"domain"`
	// Address is the address where the sender accepts connections of peers.
	Address string `json:"address"`
	// Leaving is set if the sender is stopping and accepts no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Next is the offset of the first log record that the sender has not read.
	Next int64 `json:"next"`
	// Yields lists shards that the sender holds and can give up, because every start that it has
	// logged as intended has been sent.
	Yields []string `json:"yields,omitempty"`
}

// UnmarshalJSON returns an error if the box, incarnation or domain is empty or if the address is not an
// IP address and port.
func (h *Hello) UnmarshalJSON(data []byte) error {
	type plain Hello
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.Box == "" || p.Incarnation == "" || p.Domain == "" {
		return errors.New("hello: box, incarnation or domain is empty")
	}
	if _, err := netip.ParseAddrPort(p.Address); err != nil {
		return err
	}
	*h = Hello(p)
	return nil
}

// Forward forwards a caller's request to the entry box that issued its key.
type Forward struct {
	Pool   string      `json:"pool"`
	Class  string      `json:"class"`
	Key    string      `json:"key"`
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
	// Budget is how long the caller still waits, in milliseconds.
	Budget int64 `json:"budget_ms"`
	// Delegated asks the receiver to send the request to a target without looking up its key. The
	// sender has issued the key itself and has no free capacity.
	Delegated bool `json:"delegated,omitempty"`
}

// Answer is the whole answer to a forwarded request.
type Answer struct {
	Status  int             `json:"status"`
	Verdict verdict.Verdict `json:"verdict"`
	Header  http.Header     `json:"header"`
	Body    []byte          `json:"body"`
}

// UnmarshalJSON returns an error if the status is not an HTTP status or the verdict is missing.
func (a *Answer) UnmarshalJSON(data []byte) error {
	type plain Answer
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.Status < 100 || p.Status > 999 || p.Verdict == "" {
		return errors.New("answer: want a status from 100 to 999 and a verdict")
	}
	*a = Answer(p)
	return nil
}
