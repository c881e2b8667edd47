// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package workspaces decides what callers may do and what their jobs may take: which workspace a
// key belongs to (keys), how much of the workers' resources the tasks of a workspace may take
// (caps), and which jobs exceed its share (shares). It does no I/O and reads no clock.
//
// A call is authorized twice: by the box that receives it, which has the key itself, and then by
// the holder. The decision by the newer configuration applies. A box that is cut off from the log
// may still accept a key that has been removed, or may not accept one that has been added. So a box
// reports whether its configuration was known to be current. If that is so for neither box, the
// call is answered with the verdict Undetermined.
package workspaces

import (
	"crypto/subtle"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/workspace"
)

// Verdict is the result of authorizing a call.
type Verdict string

// The verdicts.
const (
	Allowed Verdict = "allowed"
	// UnknownKey means that the key belongs to no workspace, or that the call carries none.
	UnknownKey Verdict = "unknown key"
	// NoQueue means that there is no such queue.
	NoQueue Verdict = "no such queue"
	// Undetermined means that this box cannot decide: its configuration may not be current.
	Undetermined Verdict = "not known"
)

// maxKeyLength is the maximum length of a key, in bytes. No digest is computed of a longer key, so
// that the work per call is bounded. The users' keys have 20 bytes.
const maxKeyLength = 256

// AuthorizeAtBox authorizes a call to a queue at the box that receives it. keys are all keys that
// the call carries; only one is valid. current says whether c is known to be the current
// configuration. If the verdict is Undetermined and the caller is not nil, the call may be
// forwarded to the holder.
func AuthorizeAtBox(c *job.Config, current bool, queue string, keys []string) (*workspace.Caller, Verdict) {
	q, found := c.Queues[queue]
	if !found {
		return nil, denialIfCurrent(NoQueue, current)
	}
	caller := &workspace.Caller{Queue: queue, Version: c.Version, Current: current}
	if q.Open {
		caller.Open = true
		return caller, Allowed
	}
	if len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxKeyLength {
		return nil, denialIfCurrent(UnknownKey, current)
	}
	digest := workspace.DigestOf(keys[0])
	caller.Digest = &digest
	owner, known := KeyOwner(c, digest)
	if !known && current {
		return nil, UnknownKey
	}
	caller.Workspace = owner
	if !current {
		return caller, Undetermined
	}
	return caller, Allowed
}

// AuthorizeAtHolder authorizes a call at the holder, and sets the caller's workspace to the one
// that the newer configuration gives. current says whether c is known to be the current
// configuration.
func AuthorizeAtHolder(c *job.Config, current bool, caller *workspace.Caller) Verdict {
	switch {
	case caller == nil:
		return Allowed
	case c.Version > caller.Version, current && c.Version == caller.Version:
		return authorizeBy(c, current || caller.Current, caller)
	case caller.Open, caller.Current:
		return Allowed
	default:
		return Undetermined
	}
}

// authorizeBy authorizes a call by the holder's configuration.
func authorizeBy(c *job.Config, current bool, caller *workspace.Caller) Verdict {
	q, found := c.Queues[caller.Queue]
	if !found {
		return denialIfCurrent(NoQueue, current)
	}
	if caller.Open = q.Open; q.Open {
		caller.Workspace = ""
		return Allowed
	}
	if caller.Digest == nil {
		return denialIfCurrent(UnknownKey, current)
	}
	owner, known := KeyOwner(c, *caller.Digest)
	if !known {
		return denialIfCurrent(UnknownKey, current)
	}
	caller.Workspace = owner
	if !current {
		return Undetermined
	}
	return Allowed
}

// denialIfCurrent returns v if the configuration is known to be current, and Undetermined
// otherwise.
func denialIfCurrent(v Verdict, current bool) Verdict {
	if !current {
		return Undetermined
	}
	return v
}

// KeyOwner returns the workspace to which the key with a digest belongs. The digest reveals nothing
// of the key. It is compared in constant time nevertheless.
func KeyOwner(c *job.Config, d workspace.Digest) (string, bool) {
	k, found := c.Keys[d]
	if !found || subtle.ConstantTimeCompare(k.Digest[:], d[:]) != 1 {
		return "", false
	}
	return k.Workspace, true
}

// retryDelay is when a caller whose call could not be authorized should try again: a box that has
// lost the log reaches it again within a second, or another box receives the call.
const retryDelay = 600 * time.Millisecond

// RefusalAnswer returns the answer to a call that is not allowed, or that could not be authorized.
func RefusalAnswer(v Verdict) exchange.Answer {
	switch v {
	case UnknownKey:
		return exchange.Answer{Outcome: exchange.Denied, Reason: "the key does not belong to any workspace"}
	case NoQueue:
		return exchange.Answer{Outcome: exchange.NoQueue, Reason: "no such queue"}
	default:
		return exchange.Answer{
			Outcome: exchange.Unavailable, Reason: "the current configuration is not available, so the call cannot be authorized",
			RetryAfter: job.Milliseconds(retryDelay.Milliseconds()),
		}
	}
}
