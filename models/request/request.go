// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package request defines callers' requests as the reducer sees them: everything that scheduling
// decisions depend on, without the bodies, which the adapters keep.
package request

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"saddlevane/models/verdict"

	"github.com/oklog/ulid/v2"
)

// ID identifies one arrival of a request at one process.
type ID uint64

// Arrival is an incoming request.
type Arrival struct {
	ID    ID
	Pool  string
	Class string
	// Key is the key that the caller sent, or the zero Key.
	Key Key
	// Digest is a hash of the whole request as the caller sent it.
	Digest uint64
	// Forwarded is set if another entry box forwarded the request.
	Forwarded bool
	// Delegated is set if the forwarding box itself ensures that the request runs at most once,
	// and this box only has to send it to a target.
	Delegated bool
	// Budget is how long the caller still waits; 0 means the deadline of the class.
	Budget time.Duration
}

// Headers of the callers' protocol. Targets and peers use them too.
const (
	HeaderVerdict = "Saddlevane-Verdict"
	HeaderKey     = "Saddlevane-Key"
	HeaderID      = "Saddlevane-Request"
	HeaderLeaving = "Saddlevane-Leaving"
	HeaderWaited  = "Saddlevane-Waited-Ms"
	HeaderTarget  = "Saddlevane-Target"
)

// Refusal is a final answer that was produced here and not by a target.
type Refusal struct {
	// Status is the HTTP status.
	Status  int             `json:"status"`
	Verdict verdict.Verdict `json:"verdict"`
	Reason  string          `json:"reason"`
	// RetryAfter is how long the caller should wait before it tries again; 0 means it should not.
	RetryAfter time.Duration `json:"-"`
	// Key is a new key for the caller's next try, or the zero Key.
	Key Key `json:"-"`
}

// Key identifies a request that must not run twice, so that a repeated request is recognized. It is
// bound to the incarnation of the entry box that issued it, because only that process knows whether
// the request has run.
type Key struct {
	box         string
	incarnation string
	id          ulid.ULID
}

const keySeparator = "~"

// NewKey returns a key issued by an incarnation of a box.
func NewKey(box, incarnation string, id ulid.ULID) Key {
	return Key{box: box, incarnation: incarnation, id: id}
}

// ParseKey parses a key in the form that String returns. An empty string is the zero Key.
func ParseKey(s string) (Key, error) {
	if s == "" {
		return Key{}, nil
	}
	parts := strings.Split(s, keySeparator)
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" || len(s) > maxKeyLength {
		return Key{}, errors.New("malformed request key: want box~incarnation~id")
	}
	id, err := ulid.ParseStrict(parts[2])
	if err != nil {
		return Key{}, fmt.Errorf("malformed request key: want a ULID as id: %w", err)
	}
	return Key{box: parts[0], incarnation: parts[1], id: id}, nil
}

// maxKeyLength limits the length of a key in bytes.
const maxKeyLength = 200

// String returns "box~incarnation~id", or "" for the zero Key.
func (k Key) String() string {
	if k.IsZero() {
		return ""
	}
	return k.box + keySeparator + k.incarnation + keySeparator + k.id.String()
}

// IsZero reports whether k is the zero Key, which stands for no key.
func (k Key) IsZero() bool { return k == Key{} }

// Box returns the name of the box that issued the key.
func (k Key) Box() string { return k.box }

// Incarnation returns the incarnation of the box that issued the key.
func (k Key) Incarnation() string { return k.incarnation }

// IssuedAt returns when the key was issued, by the clock of the issuing box.
func (k Key) IssuedAt() time.Time { return ulid.Time(k.id.Time()) }
