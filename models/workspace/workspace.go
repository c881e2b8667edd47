// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package workspace defines groups of callers: the keys that identify them, the cap on what their
// tasks may take, and their share of the cell under overload.
package workspace

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math"

	"saddlevane/models/resource"
)

// Workspace is a group of callers whose jobs are accounted for together.
type Workspace struct {
	Name string `json:"name"`
	// Weight is the share of the workspace under overload: it may submit that many jobs per second,
	// and take the workers in proportion to the weights of the others. A workspace with weight 0 gets
	// what others leave; if all weights are 0, all workspaces are equal.
	Weight float64 `json:"weight"`
	// Cap limits what its tasks may take of all workers at any time. A resource whose cap is 0 is
	// not limited.
	Cap resource.Vector `json:"most"`
	// Keys lists the digests of the keys that identify its callers.
	Keys []Digest `json:"-"`
}

// Check returns an error if the workspace has no name or a weight or cap that is not valid.
func (w *Workspace) Check() error {
	switch {
	case w.Name == "":
		return errors.New("workspace name is empty")
	case !(w.Weight >= 0) || math.IsInf(w.Weight, 1):
		return fmt.Errorf("workspace %q: weight is %v, want a number from 0 up", w.Name, w.Weight)
	case w.Cap.IsNegative():
		return fmt.Errorf("workspace %q: cap is %v, want no negative amount", w.Name, w.Cap)
	default:
		return nil
	}
}

// CheckAll returns an error if a workspace of one configuration is invalid, if two have the same name
// or if two have the same key.
func CheckAll(all []Workspace) error {
	names, owners := map[string]bool{}, map[Digest]string{}
	for i := range all {
		w := &all[i]
		if err := w.Check(); err != nil {
			return err
		}
		if names[w.Name] {
			return fmt.Errorf("workspace %q: name is used twice", w.Name)
		}
		names[w.Name] = true
		for _, k := range w.Keys {
			if other, taken := owners[k]; taken && other != w.Name {
				return fmt.Errorf("workspace %q: one of its keys also belongs to workspace %q", w.Name, other)
			}
			owners[k] = w.Name
		}
	}
	return nil
}

// Digest is the SHA-256 hash of a key. Keys themselves are never stored, forwarded or logged.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// MarshalText returns the digest in hexadecimal digits.
func (d Digest) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

// UnmarshalText parses the form that MarshalText returns.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("digest has %d hexadecimal digits, want %d", len(text), hex.EncodedLen(len(d)))
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// String returns a constant text, so that log lines and errors do not expose the digest and nobody
// can use them to guess the key.
func (d Digest) String() string { return "(digest)" }

// Caller describes who makes a call, as determined by the box that received the call.
type Caller struct {
	// Queue is the queue that the call's address is routed to.
	Queue string `json:"queue"`
	// Digest is the digest of the call's key, or nil if it has none.
	Digest *Digest `json:"digest,omitempty"`
	// Version is the version of the configuration that the box used. Current is set if the box
	// knew it to be the newest one.
	Version int64 `json:"version"`
	Current bool  `json:"current,omitempty"`
	// Open is set if calls to the queue need no key.
	Open bool `json:"open,omitempty"`
	// Workspace is the workspace that the key belongs to in that configuration.
	Workspace string `json:"workspace,omitempty"`
}

// MayActOn reports whether the caller may read and cancel a job of the given workspace and queue. Every
// caller may act on a job that was accepted without a key, and, through a queue that needs no key, on
// all jobs of that queue.
func (c *Caller) MayActOn(workspace, queue string) bool {
	switch {
	case c == nil, workspace == "":
		// Calls by operators, and by boxes that check no keys, have no Caller and are not
		// restricted. A job without a workspace was accepted without a key.
		return true
	case c.Open:
		return c.Queue == queue
	default:
		return c.Workspace == workspace
	}
}
