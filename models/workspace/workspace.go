// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package workspace holds what a group of callers may do: by which keys they are known, what
// their tasks may take of the workers at a time, and what they are owed when all is full.
package workspace

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"saddlevane/models/resource"
)

// Workspace is a group of callers whose jobs are one account.
type Workspace struct {
	Name string `json:"name"`
	// Weight is its share when all is full, in jobs a second.
	Weight float64 `json:"weight"`
	// Most is what its tasks may take of all workers at a time. A part that is 0 has no
	// bound.
	Cap resource.Vector `json:"most"`
	// Keys are the digests of the keys by which its callers are known.
	Keys []Digest `json:"-"`
}

// Check says why a workspace cannot be, or nothing.
func (w *Workspace) Check() error {
	switch {
	case w.Name == "":
		return errors.New("a workspace has no name")
	case !(w.Weight >= 0):
		return fmt.Errorf("workspace %q: a weight of %v", w.Name, w.Weight)
	case w.Cap.IsNegative():
		return fmt.Errorf("workspace %q: a cap of %v", w.Name, w.Cap)
	default:
		return nil
	}
}

// CheckAll says what is wrong with workspaces that are in force together, or nothing: names
// are different, and a key is of one workspace.
func CheckAll(all []Workspace) error {
	names, owners := map[string]bool{}, map[Digest]string{}
	for i := range all {
		w := &all[i]
		if err := w.Check(); err != nil {
			return err
		}
		if names[w.Name] {
			return fmt.Errorf("workspace %q: there are two of this name", w.Name)
		}
		names[w.Name] = true
		for _, k := range w.Keys {
			if other, taken := owners[k]; taken && other != w.Name {
				return fmt.Errorf("workspace %q: one of its keys is also of %q", w.Name, other)
			}
			owners[k] = w.Name
		}
	}
	return nil
}

// Digest stands for a key. A key itself is nowhere kept, passed on or shown.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// MarshalText writes the digest as hexadecimal digits.
func (d Digest) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

// UnmarshalText reads what MarshalText wrote.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("a digest of %d digits, want %d", len(text), hex.EncodedLen(len(d)))
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// String says no more than that there is one: what could stand in a line or an error is
// not worth guessing at.
func (d Digest) String() string { return "(digest)" }

// Caller is on whose behalf a call is made, as the box judged that took it.
type Caller struct {
	// Queue is the one that the call's address names.
	Queue string `json:"queue"`
	// Digest is that of the key which the call carries, if any.
	Digest *Digest `json:"digest,omitempty"`
	// Version is the configuration by which the box judged, and Current says that the box
	// knew it to be the newest.
	Version int64 `json:"version"`
	Current bool  `json:"current,omitempty"`
	// Open says that calls of the queue need no key.
	Open bool `json:"open,omitempty"`
	// Workspace is the one that the key is of, by that configuration.
	Workspace string `json:"workspace,omitempty"`
}

// MayActOn says whether the caller may know of and end a job of a workspace in a queue. A
// job that was accepted without a key is anybody's, and so are those of a queue that needs
// none any more.
func (c *Caller) MayActOn(workspace, queue string) bool {
	switch {
	case c == nil, workspace == "":
		// Operators, and boxes that judge no keys, act for all.
		return true
	case c.Open:
		return c.Queue == queue
	default:
		return c.Workspace == workspace
	}
}
