// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package request holds callers' requests as the reducer sees them: what
// decides about them, without their bodies, which the adapters keep.
package request

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"saddlevane/models/verdict"

	"github.com/oklog/ulid/v2"
)

// ID names one arrival of a request at one process.
type ID uint64

// Arrival is a request that came in.
type Arrival struct {
	ID    ID
	Pool  string
	Class string
	// Key is the caller's key, or the zero Key.
	Key Key
	// Digest is a hash of all that the caller sent.
	Digest uint64
	// Peer says that another entry box passed the request on.
	Forwarded bool
	// Delegated says that the sender answers for the request's running at most
	// once, and only wants it sent to a target here.
	Delegated bool
	// Budget is how long the caller still waits, or 0 for the class's deadline.
	Budget time.Duration
}

// Headers of the callers' protocol, shared with targets and peers.
const (
	HeaderVerdict = "Saddlevane-Verdict"
	HeaderKey     = "Saddlevane-Key"
	HeaderID      = "Saddlevane-Request"
	HeaderLeaving = "Saddlevane-Leaving"
	HeaderWaited  = "Saddlevane-Waited-Ms"
	HeaderTarget  = "Saddlevane-Target"
)

// Refusal is a final answer that no target gave.
type Refusal struct {
	// Status is the HTTP status.
	Status  int             `json:"status"`
	Verdict verdict.Verdict `json:"verdict"`
	Reason  string          `json:"reason"`
	// RetryAfter is when the caller should come back, or 0 if it should not.
	RetryAfter time.Duration `json:"-"`
	// Key is a fresh key for the caller, or the zero Key.
	Key Key `json:"-"`
}

// Key makes a request that may not be repeated known again. It is bound to the
// incarnation of the entry box that issued it: only that process can know
// whether the request has run.
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

// ParseKey reads a key as String writes it; "" is the zero Key.
func ParseKey(s string) (Key, error) {
	if s == "" {
		return Key{}, nil
	}
	parts := strings.Split(s, keySeparator)
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" || len(s) > maxKeyLength {
		return Key{}, errors.New("not a key that an entry box issued")
	}
	id, err := ulid.ParseStrict(parts[2])
	if err != nil {
		return Key{}, fmt.Errorf("not a key that an entry box issued: %w", err)
	}
	return Key{box: parts[0], incarnation: parts[1], id: id}, nil
}

const maxKeyLength = 200

// String returns "box~incarnation~id", or "" for the zero Key.
func (k Key) String() string {
	if k.IsZero() {
		return ""
	}
	return k.box + keySeparator + k.incarnation + keySeparator + k.id.String()
}

// IsZero says whether there is no key.
func (k Key) IsZero() bool { return k == Key{} }

// Box returns the name of the box that issued the key.
func (k Key) Box() string { return k.box }

// Incarnation returns which life of the box issued the key.
func (k Key) Incarnation() string { return k.incarnation }

// IssuedAt returns when the key was issued, by the issuer's clock.
func (k Key) IssuedAt() time.Time { return ulid.Time(k.id.Time()) }
