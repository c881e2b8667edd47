// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"cmp"
	"time"
)

// Jobs holds the settings for serving jobs that callers submit, on a platform that delivers
// orders to each worker separately. If it is not enabled, the daemon serves files instead.
type Jobs struct {
	// Enabled makes the daemon serve submitted jobs.
	Enabled bool `yaml:"enabled"`
	// ReadyAddress is the address on which the balancer asks whether the box accepts callers.
	ReadyAddress string `yaml:"ready"`
	// LogAddress and AdviceAddress are the addresses of the platform's log and advice service.
	// An empty AdviceAddress means that there is no advice service.
	LogAddress    string `yaml:"log"`
	AdviceAddress string `yaml:"advice"`
	// Lease is how long workers run their tasks after a renewal, MaxLease the longest lease
	// that the platform allows. The shorter one applies.
	Lease    time.Duration `yaml:"lease"`
	MaxLease time.Duration `yaml:"lease_most"`
	// RenewWait is how long a renewal waits at a worker for the end of a task.
	RenewWait time.Duration `yaml:"wait"`
	// RenewInterval is the time between renewals of the claim on the cell. HoldFor is how long
	// the holder may act after it sent the last renewal that the log has. ClaimAfter is how
	// long a box must not have read a renewal before it claims the cell.
	RenewInterval time.Duration `yaml:"renew"`
	HoldFor       time.Duration `yaml:"hold_for"`
	ClaimAfter    time.Duration `yaml:"claim_after"`
	// OutsiderClaimAfter is the same for boxes that the holder has not named as candidates. A holder
	// that the log does not answer acts nearly as long while all candidates pledge not to claim.
	OutsiderClaimAfter time.Duration `yaml:"outsider_claim_after"`
	// AppendInterval is the minimum time between two appends of the holder.
	AppendInterval time.Duration `yaml:"gather"`
	// EndedRetention is how long the final state of a job can be queried.
	EndedRetention time.Duration `yaml:"keep_ended"`
	// OrderTimeout limits the time of one order to a worker.
	OrderTimeout time.Duration `yaml:"order_timeout"`
	// MinRelayedWorkers is the number of workers in a cell from which on orders are relayed by
	// entry boxes near the workers. WorkersPerRelay is the number of workers that one box
	// should relay orders for.
	MinRelayedWorkers int `yaml:"relay_from"`
	WorkersPerRelay   int `yaml:"relay_workers"`
	// PeerTimeout limits the time of a call to another entry box.
	PeerTimeout time.Duration `yaml:"peer_timeout"`
	// StopGrace is how long a stopping box still forwards calls.
	StopGrace time.Duration `yaml:"stop_grace"`
	// ConfigPropagation is how long a configuration change may take until it is in force on all
	// boxes. A box that has not read the log for about this long no longer relies on the keys
	// and queues it has.
	ConfigPropagation time.Duration `yaml:"config_within"`
	// EvacuationPropagation is how long the evacuation of a failure domain may take until it is in
	// force on all boxes. A holder that has not read the log for about this long, although the log
	// answers it, starts no tasks. 0 means the value of ConfigPropagation.
	EvacuationPropagation time.Duration `yaml:"evacuate_within"`
	// ShareWindow is how long a workspace that submits less than its share may accumulate the
	// rest, and the time constant with which the use of the workers by a workspace is averaged.
	ShareWindow time.Duration `yaml:"share"`
	// ForecastAdmission accepts jobs beyond their workspace's share when a forecast says that they are
	// done in time.
	ForecastAdmission bool `yaml:"forecast_admission"`
	// Disabled names the parts of the policy that are switched off.
	Disabled []string `yaml:"without"`
}

// defaultLease is the default of Jobs.Lease. It is longer than a takeover. A long-running task
// of a failed worker is not restarted before the worker's lease has run out, and must be
// restarted within 9 s; with leases of 10 s this took 10.8 s.
const defaultLease = 6 * time.Second

// WorkerLease returns the lease that workers are given.
func (j *Jobs) WorkerLease() time.Duration { return min(j.Lease, j.MaxLease) }

// EvacuationBound returns how long an evacuation may take until it is in force on all boxes.
func (j *Jobs) EvacuationBound() time.Duration {
	return cmp.Or(j.EvacuationPropagation, j.ConfigPropagation)
}

// defaultJobs returns the defaults of Jobs.
func defaultJobs() Jobs {
	return Jobs{
		ReadyAddress: "127.0.0.1:8083", Lease: defaultLease, MaxLease: time.Minute, RenewWait: time.Second,
		RenewInterval: 400 * time.Millisecond, HoldFor: 1400 * time.Millisecond, ClaimAfter: 1550 * time.Millisecond, OutsiderClaimAfter: 10 * time.Second,
		AppendInterval: 12 * time.Millisecond, EndedRetention: 150 * time.Second,
		MinRelayedWorkers: 100, WorkersPerRelay: 48,
		OrderTimeout: 300 * time.Millisecond, PeerTimeout: 700 * time.Millisecond, StopGrace: 1500 * time.Millisecond,
		ConfigPropagation: 2 * time.Second, ShareWindow: 5 * time.Second, Disabled: []string{},
	}
}

// check reports settings that are out of range or inconsistent with each other.
func (j *Jobs) check(c *checker) {
	if !j.Enabled {
		return
	}
	c.checkAddress("jobs.ready", j.ReadyAddress)
	c.checkAddress("jobs.log", j.LogAddress)
	if j.AdviceAddress != "" {
		c.checkAddress("jobs.advice", j.AdviceAddress)
	}
	checkRange(c, "jobs.lease", j.Lease, 100*time.Millisecond, time.Minute)
	checkRange(c, "jobs.lease_most", j.MaxLease, 100*time.Millisecond, time.Hour)
	checkRange(c, "jobs.wait", j.RenewWait, 0, 2*time.Second)
	checkBelow(c, "jobs.wait", j.RenewWait, "jobs.lease", j.Lease)
	checkRange(c, "jobs.renew", j.RenewInterval, 10*time.Millisecond, time.Minute)
	checkBelow(c, "jobs.renew", j.RenewInterval, "jobs.hold_for", j.HoldFor)
	checkBelow(c, "jobs.hold_for", j.HoldFor, "jobs.claim_after", j.ClaimAfter)
	checkRange(c, "jobs.outsider_claim_after", j.OutsiderClaimAfter, 10*time.Millisecond, 10*time.Minute)
	checkBelow(c, "jobs.claim_after", j.ClaimAfter, "jobs.outsider_claim_after", j.OutsiderClaimAfter)
	checkRange(c, "jobs.gather", j.AppendInterval, 0, time.Second)
	checkRange(c, "jobs.keep_ended", j.EndedRetention, time.Second, 24*time.Hour)
	checkRange(c, "jobs.order_timeout", j.OrderTimeout, 10*time.Millisecond, time.Minute)
	checkRange(c, "jobs.relay_from", j.MinRelayedWorkers, 1, 1_000_000)
	checkRange(c, "jobs.relay_workers", j.WorkersPerRelay, 1, 10_000)
	checkRange(c, "jobs.peer_timeout", j.PeerTimeout, 10*time.Millisecond, time.Minute)
	checkRange(c, "jobs.stop_grace", j.StopGrace, 0, time.Minute)
	checkRange(c, "jobs.config_within", j.ConfigPropagation, 1500*time.Millisecond, time.Hour)
	if j.EvacuationPropagation != 0 {
		checkRange(c, "jobs.evacuate_within", j.EvacuationPropagation, 1500*time.Millisecond, time.Hour)
	}
	checkRange(c, "jobs.share", j.ShareWindow, 100*time.Millisecond, time.Hour)
}
