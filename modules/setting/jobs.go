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
	Ready string `yaml:"ready"`
	// Log and Advice are addresses of the platform's services.
	Log    string `yaml:"log"`
	Advice string `yaml:"advice"`
	// Lease is how long workers run their tasks after a renewal, LeaseMost the longest
	// that the platform allows; the shorter of them holds.
	Lease     time.Duration `yaml:"lease"`
	LeaseMost time.Duration `yaml:"lease_most"`
	// Wait is how long a renewal waits at a worker for the end of a task.
	Wait time.Duration `yaml:"wait"`
	// Renew, HoldFor and ClaimAfter are the times of the claim on the cell.
	Renew      time.Duration `yaml:"renew"`
	HoldFor    time.Duration `yaml:"hold_for"`
	ClaimAfter time.Duration `yaml:"claim_after"`
	// Gather is the least time between two appends of the holder.
	Gather time.Duration `yaml:"gather"`
	// KeepEnded is how long the final state of a job can be asked for.
	KeepEnded time.Duration `yaml:"keep_ended"`
	// OrderTimeout bounds one order to a worker.
	OrderTimeout time.Duration `yaml:"order_timeout"`
	// RelayFrom is how many workers a cell has at least whose orders are carried by entry
	// boxes near them, RelayWorkers how many workers' orders one box should carry.
	RelayFrom    int `yaml:"relay_from"`
	RelayWorkers int `yaml:"relay_workers"`
	// PeerTimeout bounds a call to another entry box.
	PeerTimeout time.Duration `yaml:"peer_timeout"`
	// StopGrace is how long a stopping box still passes calls on.
	StopGrace time.Duration `yaml:"stop_grace"`
	// ConfigWithin is how long a change of the configuration may take until it is in force
	// everywhere. A box that has not read the log for about as long no longer relies on what
	// it knows of keys and queues.
	ConfigWithin time.Duration `yaml:"config_within"`
	// Share is for how long a workspace's share gathers while it sends less.
	Share time.Duration `yaml:"share"`
	// Without names parts of the policy that are switched off.
	Without []string `yaml:"without"`
}

// usualLease is how long workers run their tasks after a renewal. It outlasts a
// takeover; a task that lasts is started again no sooner than it is over after its
// worker has ended, and the users allow 9 s: with leases of 10 s it took 10.8 s.
const usualLease = 6 * time.Second

// WorkerLease returns the lease that workers are given.
func (j *Jobs) WorkerLease() time.Duration { return min(j.Lease, j.LeaseMost) }

// defaultJobs returns what holds for settings that are not given.
func defaultJobs() Jobs {
	return Jobs{
		Ready: "127.0.0.1:8083", Lease: usualLease, LeaseMost: time.Minute, Wait: time.Second,
		Renew: 400 * time.Millisecond, HoldFor: 1400 * time.Millisecond, ClaimAfter: 1550 * time.Millisecond,
		Gather: 12 * time.Millisecond, KeepEnded: 150 * time.Second,
		RelayFrom: 100, RelayWorkers: 48,
		OrderTimeout: 300 * time.Millisecond, PeerTimeout: 700 * time.Millisecond, StopGrace: 1500 * time.Millisecond,
		ConfigWithin: 2 * time.Second, Share: 5 * time.Second, Without: []string{},
	}
}

// check reports the settings that cannot be, or that do not fit each other.
func (j *Jobs) check(c *checker) {
	if !j.Enabled {
		return
	}
	c.address("jobs.ready", j.Ready)
	c.address("jobs.log", j.Log)
	if j.Advice != "" {
		c.address("jobs.advice", j.Advice)
	}
	between(c, "jobs.lease", j.Lease, 100*time.Millisecond, time.Minute)
	between(c, "jobs.lease_most", j.LeaseMost, 100*time.Millisecond, time.Hour)
	between(c, "jobs.wait", j.Wait, 0, 2*time.Second)
	below(c, "jobs.wait", j.Wait, "jobs.lease", j.Lease)
	between(c, "jobs.renew", j.Renew, 10*time.Millisecond, time.Minute)
	below(c, "jobs.renew", j.Renew, "jobs.hold_for", j.HoldFor)
	below(c, "jobs.hold_for", j.HoldFor, "jobs.claim_after", j.ClaimAfter)
	between(c, "jobs.gather", j.Gather, 0, time.Second)
	between(c, "jobs.keep_ended", j.KeepEnded, time.Second, 24*time.Hour)
	between(c, "jobs.order_timeout", j.OrderTimeout, 10*time.Millisecond, time.Minute)
	between(c, "jobs.relay_from", j.RelayFrom, 1, 1_000_000)
	between(c, "jobs.relay_workers", j.RelayWorkers, 1, 10_000)
	between(c, "jobs.peer_timeout", j.PeerTimeout, 10*time.Millisecond, time.Minute)
	between(c, "jobs.stop_grace", j.StopGrace, 0, time.Minute)
	between(c, "jobs.config_within", j.ConfigWithin, 1500*time.Millisecond, time.Hour)
	between(c, "jobs.share", j.Share, 100*time.Millisecond, time.Hour)
}
