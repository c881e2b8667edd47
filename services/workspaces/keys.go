// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package workspaces decides what callers may do and what their jobs may take: who a key
// stands for (keys), how much of the workers the tasks of a workspace may take (caps), and
// which jobs are beyond its share (shares). It does no I/O and reads no clock.
//
// A key is judged twice: by the box that takes the call, which knows the key, and by the
// holder, which decides in the end. The one that has read the newer configuration is right.
// A box that has been cut off from the log may hold a configuration in which a key is still
// in force that was taken away since, or not yet in force that was given since; so a box
// says whether it knew its configuration to be the newest, and where neither did, the call
// is answered that this is not known.
package workspaces

import (
	"crypto/subtle"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/workspace"
)

// Verdict is what is known of a call's key.
type Verdict string

// The verdicts.
const (
	Allowed Verdict = "allowed"
	// UnknownKey means that the key is of no workspace, or that there is none.
	UnknownKey Verdict = "unknown key"
	// NoQueue means that there is no such queue.
	NoQueue Verdict = "no such queue"
	// Undetermined means that this box cannot know: its configuration may not be the newest.
	Undetermined Verdict = "not known"
)

// maxKeyLength is how long a key may be, in bytes. The digest of a longer one is not made, so
// that nobody can have a box work on keys of any length; the users' have 20.
const maxKeyLength = 256

// AuthorizeAtBox judges a call at the box that takes it. Keys are all that the call carries, of which
// it may carry one. A call whose verdict is Undetermined may be passed on to the holder if there
// is a caller.
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

// AuthorizeAtHolder judges a call at the holder, and sets the caller's workspace to the one by which it
// acts.
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

// authorizeBy judges a call by the holder's configuration.
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

// denialIfCurrent returns a refusal, if it is known to be true.
func denialIfCurrent(v Verdict, current bool) Verdict {
	if !current {
		return Undetermined
	}
	return v
}

// KeyOwner returns the workspace that a key is of. The digest tells nothing of the key, and it
// is compared in constant time besides.
func KeyOwner(c *job.Config, d workspace.Digest) (string, bool) {
	k, found := c.Keys[d]
	if !found || subtle.ConstantTimeCompare(k.Digest[:], d[:]) != 1 {
		return "", false
	}
	return k.Workspace, true
}

// retryDelay is when to call again if it cannot be known whether a call is allowed: a box that
// has lost the log finds it again within a second, or another box is asked.
const retryDelay = 600 * time.Millisecond

// RefusalAnswer is the answer to a call that is not allowed, or not known to be.
func RefusalAnswer(v Verdict) exchange.Answer {
	switch v {
	case UnknownKey:
		return exchange.Answer{Outcome: exchange.Denied, Reason: "the key is of no workspace"}
	case NoQueue:
		return exchange.Answer{Outcome: exchange.NoQueue, Reason: "no such queue"}
	default:
		return exchange.Answer{
			Outcome: exchange.Unavailable, Reason: "it cannot be known at present what the configuration in force allows",
			RetryAfter: job.Milliseconds(retryDelay.Milliseconds()),
		}
	}
}
