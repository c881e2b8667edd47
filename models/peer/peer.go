// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package peer holds the messages between entry boxes.
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

// Hello is a heartbeat.
type Hello struct {
	Box         string `json:"box"`
	Incarnation string `json:"incarnation"`
	Domain      string `json:"domain"`
	// Address is the sender's peers' port.
	Address string `json:"address"`
	// Leaving says that the sender is stopping and takes no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Next is how far the sender has read the log.
	Next int64 `json:"next"`
	// Yields names shards that the sender holds and is ready to give up: all that
	// it recorded as intended has been sent.
	Yields []string `json:"yields,omitempty"`
}

// UnmarshalJSON refuses heartbeats without a name or with an address that is
// not an IP address and port.
func (h *Hello) UnmarshalJSON(data []byte) error {
	type plain Hello
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.Box == "" || p.Incarnation == "" || p.Domain == "" {
		return errors.New("hello: no box, incarnation or domain")
	}
	if _, err := netip.ParseAddrPort(p.Address); err != nil {
		return err
	}
	*h = Hello(p)
	return nil
}

// Forward passes a caller's request on to the entry box that issued its key.
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
	// Delegated asks to send the request to a target here, whatever its key: the
	// sender has issued that and has no room.
	Delegated bool `json:"delegated,omitempty"`
}

// Answer is the whole answer to a forwarded request.
type Answer struct {
	Status  int             `json:"status"`
	Verdict verdict.Verdict `json:"verdict"`
	Header  http.Header     `json:"header"`
	Body    []byte          `json:"body"`
}

// UnmarshalJSON refuses answers without a status or verdict.
func (a *Answer) UnmarshalJSON(data []byte) error {
	type plain Answer
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.Status < 100 || p.Status > 999 || p.Verdict == "" {
		return errors.New("answer: no status or verdict")
	}
	*a = Answer(p)
	return nil
}
