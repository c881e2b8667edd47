// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import "time"

// Jobs says how the daemon serves jobs that callers submit, on a platform that
// takes each order to a worker by itself. Without it the daemon serves files.
type Jobs struct {
	// Enabled makes the daemon serve submitted jobs.
	Enabled bool `yaml:"enabled"`
	// Ready is where the balancer asks whether the box takes callers.
	ReadyAddress string `yaml:"ready"`
	// Log and Advice are addresses of the platform's services.
	LogAddress    string `yaml:"log"`
	AdviceAddress string `yaml:"advice"`
	// Lease is how long workers run their tasks after a renewal, MaxLease the longest
	// that the platform allows; the shorter of them holds.
	Lease    time.Duration `yaml:"lease"`
	MaxLease time.Duration `yaml:"lease_most"`
	// Wait is how long a renewal waits at a worker for the end of a task.
	RenewWait time.Duration `yaml:"wait"`
	// Renew, HoldFor and ClaimAfter are the times of the claim on the cell.
	RenewInterval time.Duration `yaml:"renew"`
	HoldFor       time.Duration `yaml:"hold_for"`
	ClaimAfter    time.Duration `yaml:"claim_after"`
	// Gather is the least time between two appends of the holder.
	AppendInterval time.Duration `yaml:"gather"`
	// EndedRetention is how long the final state of a job can be asked for.
	EndedRetention time.Duration `yaml:"keep_ended"`
	// OrderTimeout bounds one order to a worker.
	OrderTimeout time.Duration `yaml:"order_timeout"`
	// MinRelayedWorkers is how many workers a cell has at least whose orders are carried by entry
	// boxes near them, WorkersPerRelay how many workers' orders one box should carry.
	MinRelayedWorkers int `yaml:"relay_from"`
	WorkersPerRelay   int `yaml:"relay_workers"`
	// PeerTimeout bounds a call to another entry box.
	PeerTimeout time.Duration `yaml:"peer_timeout"`
	// StopGrace is how long a stopping box still passes calls on.
	StopGrace time.Duration `yaml:"stop_grace"`
	// ConfigPropagation is how long a change of the configuration may take until it is in force
	// everywhere. A box that has not read the log for about as long no longer relies on what
	// it knows of keys and queues.
	ConfigPropagation time.Duration `yaml:"config_within"`
	// Share is for how long a workspace's share gathers while it sends less.
	ShareWindow time.Duration `yaml:"share"`
	// Without names parts of the policy that are switched off.
	Disabled []string `yaml:"without"`
}

// defaultLease is how long workers run their tasks after a renewal. It outlasts a
// takeover; a task that lasts is started again no sooner than it is over after its
// worker has ended, and the users allow 9 s: with leases of 10 s it took 10.8 s.
const defaultLease = 6 * time.Second

// WorkerLease returns the lease that workers are given.
func (j *Jobs) WorkerLease() time.Duration { return min(j.Lease, j.MaxLease) }

// defaultJobs returns what holds for settings that are not given.
func defaultJobs() Jobs {
	return Jobs{
		ReadyAddress: "127.0.0.1:8083", Lease: defaultLease, MaxLease: time.Minute, RenewWait: time.Second,
		RenewInterval: 400 * time.Millisecond, HoldFor: 1400 * time.Millisecond, ClaimAfter: 1550 * time.Millisecond,
		AppendInterval: 12 * time.Millisecond, EndedRetention: 150 * time.Second,
		MinRelayedWorkers: 100, WorkersPerRelay: 48,
		OrderTimeout: 300 * time.Millisecond, PeerTimeout: 700 * time.Millisecond, StopGrace: 1500 * time.Millisecond,
		ConfigPropagation: 2 * time.Second, ShareWindow: 5 * time.Second, Disabled: []string{},
	}
}

// check reports the settings that cannot be, or that do not fit each other.
func (j *Jobs) check(c *checker) {
	if !j.Enabled {
		return
	}
	c.address("jobs.ready", j.ReadyAddress)
	c.address("jobs.log", j.LogAddress)
	if j.AdviceAddress != "" {
		c.address("jobs.advice", j.AdviceAddress)
	}
	checkRange(c, "jobs.lease", j.Lease, 100*time.Millisecond, time.Minute)
	checkRange(c, "jobs.lease_most", j.MaxLease, 100*time.Millisecond, time.Hour)
	checkRange(c, "jobs.wait", j.RenewWait, 0, 2*time.Second)
	checkBelow(c, "jobs.wait", j.RenewWait, "jobs.lease", j.Lease)
	checkRange(c, "jobs.renew", j.RenewInterval, 10*time.Millisecond, time.Minute)
	checkBelow(c, "jobs.renew", j.RenewInterval, "jobs.hold_for", j.HoldFor)
	checkBelow(c, "jobs.hold_for", j.HoldFor, "jobs.claim_after", j.ClaimAfter)
	checkRange(c, "jobs.gather", j.AppendInterval, 0, time.Second)
	checkRange(c, "jobs.keep_ended", j.EndedRetention, time.Second, 24*time.Hour)
	checkRange(c, "jobs.order_timeout", j.OrderTimeout, 10*time.Millisecond, time.Minute)
	checkRange(c, "jobs.relay_from", j.MinRelayedWorkers, 1, 1_000_000)
	checkRange(c, "jobs.relay_workers", j.WorkersPerRelay, 1, 10_000)
	checkRange(c, "jobs.peer_timeout", j.PeerTimeout, 10*time.Millisecond, time.Minute)
	checkRange(c, "jobs.stop_grace", j.StopGrace, 0, time.Minute)
	checkRange(c, "jobs.config_within", j.ConfigPropagation, 1500*time.Millisecond, time.Hour)
	checkRange(c, "jobs.share", j.ShareWindow, 100*time.Millisecond, time.Hour)
}
