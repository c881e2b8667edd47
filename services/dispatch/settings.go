// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/mechanism"
	"saddlevane/services/authority"
)

// Settings are the times and limits of the scheduler.
type Settings struct {
	Authority authority.Settings
	// Lease is how long a worker runs its tasks after a renewal. It is at most MaxLease.
	Lease time.Duration
	// MaxLease is the longest lease that the platform allows.
	MaxLease time.Duration
	// RenewWait is how long a renewal call waits at the worker for a run to end (long poll).
	RenewWait time.Duration
	// MaxListedEnds is how many ends of runs a worker lists in one report, or 0 for any number. It
	// lists the others once the first ones are acknowledged.
	MaxListedEnds int
	// AppendInterval is the minimum time between two appends to the stream of jobs.
	AppendInterval time.Duration
	// OrderTimeout is the timeout of an order to start, stop or pace a task while response
	// times are normal. It is longer while most workers answer late.
	OrderTimeout time.Duration
	// EndedRetention is how long the final state of an ended job is kept for queries.
	EndedRetention time.Duration
	// StopGrace is how long a process that is stopping still serves calls.
	StopGrace time.Duration
	// ConfigPropagation is how long a change of the configuration may take until it is in force
	// everywhere. ShareWindow is how long the unused share of a workspace accumulates.
	ConfigPropagation, ShareWindow time.Duration
	// ForecastAdmission is set if jobs beyond their workspace's share are accepted when a forecast says
	// that they are done in time. Otherwise they are refused while the workers have little free capacity.
	ForecastAdmission bool
	// EvacuationPropagation is how long the evacuation of a failure domain may take until it is in
	// force everywhere.
	EvacuationPropagation time.Duration
	// Disabled has the parts of the policy that are switched off.
	Disabled map[mechanism.Mechanism]bool
}

const (
	// unresponsiveTimeout is how long, in addition to RenewWait, a worker may leave renewals
	// unanswered until it gets no more tasks.
	unresponsiveTimeout = 1500 * time.Millisecond
	// startAnswerTimeout is how long a worker may take to answer a start before it gets no
	// more starts. Answers usually take a few milliseconds.
	startAnswerTimeout = 100 * time.Millisecond
	// stopRetryDelay is the time after which an unanswered stop is sent again.
	stopRetryDelay = 300 * time.Millisecond
	// renewRetryDelay is the time after which a failed renewal is sent again.
	renewRetryDelay = 150 * time.Millisecond
	// maxIdleRenewRetryDelay is the upper bound of that time for a worker that runs nothing.
	maxIdleRenewRetryDelay = 2 * time.Second
	// sweepInterval is the time between two rounds of periodic work.
	sweepInterval = 100 * time.Millisecond
	// minRenewIntervalAfterEnds is the minimum time between two renewals at a worker that
	// reported ends, so that one answer reports several ends.
	minRenewIntervalAfterEnds = 20 * time.Millisecond
	// maxAcknowledgeDelay is the time from which ends that are in the log and not acknowledged are
	// acknowledged as soon as the worker's report allows it, by a renewal of their own.
	maxAcknowledgeDelay = 400 * time.Millisecond
	// renewDelayWhileUnlogged is the time until the next renewal of a worker some of whose reported
	// ends are not in the log yet.
	renewDelayWhileUnlogged = 400 * time.Millisecond
	// noHolderRetryAfter is the retry time that callers get from a box that does not hold the
	// cell.
	noHolderRetryAfter = 600 * time.Millisecond
	// appendRetryDelay is the time after which a failed append is sent again.
	appendRetryDelay = 60 * time.Millisecond
	// leaseWaitDivisor limits the timeout of calls to workers, which grows while most answers
	// are late, to a third of the lease: after a renewal whose answer is lost there is still
	// time for another one.
	leaseWaitDivisor = 3
	// configMargin is subtracted from ConfigPropagation and EvacuationPropagation to get the time for which a configuration
	// counts as current after it was last read, because a call may be in transit for that long.
	configMargin = 300 * time.Millisecond
	// runsPerEpoch is the range of run numbers of each claim. Run numbers start at the epoch
	// times runsPerEpoch, so that they rise from one claim to the next.
	runsPerEpoch = 1_000_000_000
	// runReserve is how many run numbers of a claim are kept for the starts that are ordered until the claim
	// ends.
	runReserve = 1_000_000
)

// isEnabled reports whether a mechanism of the policy is not switched off.
func (h *holderState) isEnabled(m mechanism.Mechanism) bool { return !h.core.settings.Disabled[m] }
