// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/mechanism"
	"saddlevane/services/authority"
)

// Settings are the times and limits of the reducer.
type Settings struct {
	Authority authority.Settings
	// Lease is how long a worker runs its tasks after a renewal, at most what
	// the platform allows.
	Lease time.Duration
	// MaxLease is the longest lease that the platform allows.
	MaxLease time.Duration
	// Wait is how long a renewal waits at the worker for an end.
	RenewWait time.Duration
	// Gather is the least time between two appends to the stream of jobs.
	AppendInterval time.Duration
	// OrderTimeout is how long the answer to an order to start, stop or pace a task is
	// waited for while answers come as usual.
	OrderTimeout time.Duration
	// EndedRetention is how long a job's final state can be asked for.
	EndedRetention time.Duration
	// StopGrace is how long a stopping process still serves.
	StopGrace time.Duration
	// ConfigPropagation is how long a change of the configuration may take until it is in force
	// everywhere, and Share how long a workspace's share may gather.
	ConfigPropagation, ShareWindow time.Duration
	// Without names the parts of the policy that are switched off.
	Disabled map[mechanism.Mechanism]bool
}

const (
	// silentWorkerTimeout is how long a worker may not answer before it gets no starts.
	silentWorkerTimeout = 1500 * time.Millisecond
	// startAnswerTimeout is how long a worker may take to answer a start before it gets no more:
	// usual answers take some milliseconds.
	startAnswerTimeout = 100 * time.Millisecond
	// stopRetryDelay is when a stop without an answer is sent again.
	stopRetryDelay = 300 * time.Millisecond
	// renewRetryDelay is when a renewal that failed is sent again.
	renewRetryDelay = 150 * time.Millisecond
	// maxIdleRenewRetryDelay bounds that time for a worker that runs nothing.
	maxIdleRenewRetryDelay = 2 * time.Second
	// sweepInterval is the time between two looks at all that falls due with time.
	sweepInterval = 100 * time.Millisecond
	// minRenewIntervalAfterEnds is the least time between two looks at a worker that reported
	// ends, so that one look tells of several.
	minRenewIntervalAfterEnds = 20 * time.Millisecond
	// renewDelayWhileUnlogged is when a worker whose ends cannot be kept is looked at again.
	renewDelayWhileUnlogged = 400 * time.Millisecond
	// noHolderRetryAfter is when a caller is told to come back while there is no holder.
	noHolderRetryAfter = 600 * time.Millisecond
	// appendRetryDelay is when an append that the log refused is sent again.
	appendRetryDelay = 60 * time.Millisecond
	// leaseWaitDivisor is one over the share of a lease for which an answer is waited for at
	// most, while most answers are late: so a look whose answer is lost leaves time for
	// another one.
	leaseWaitDivisor = 3
	// configMargin is how much sooner than a change must be in force a configuration that
	// was not confirmed since is no longer relied on: a call may be on its way for as long.
	configMargin = 300 * time.Millisecond
	// runsPerEpoch bounds the runs of one task under one claim, so that run
	// numbers rise over all claims.
	runsPerEpoch = 100_000
)

// isEnabled says whether a mechanism is not switched off.
func (h *holderState) isEnabled(m mechanism.Mechanism) bool { return !h.core.settings.Disabled[m] }
