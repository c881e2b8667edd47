// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import "time"

// Workers holds the settings for leases on workers.
type Workers struct {
	// Lease is the duration of a worker's lease, RenewInterval the time between renewals.
	// ClockMargin is subtracted from a lease to allow for clocks that run at different rates.
	Lease         time.Duration `yaml:"lease"`
	RenewInterval time.Duration `yaml:"renew"`
	ClockMargin   time.Duration `yaml:"margin"`
	// TaskLease is how long the platform's workers keep running tasks after their lease has
	// expired.
	TaskLease time.Duration `yaml:"task_lease"`
	// Timeout limits the time of one exchange with a worker.
	Timeout time.Duration `yaml:"timeout"`
	// GoneAfter is how long a worker must be missing from the list before it counts as dead.
	GoneAfter time.Duration `yaml:"gone_after"`
	// SettleTime is how long the set of live entry boxes must be unchanged before a shard moves
	// between live boxes.
	SettleTime time.Duration `yaml:"settle"`
	// QuarantineAfter is the number of different objects that must fail on a worker in a row
	// before it is quarantined for QuarantineFor. The time doubles with each quarantine.
	QuarantineAfter int           `yaml:"quarantine_after"`
	QuarantineFor   time.Duration `yaml:"quarantine_for"`
}

func defaultWorkers() Workers {
	return Workers{
		Lease: 3 * time.Second, RenewInterval: time.Second, ClockMargin: 300 * time.Millisecond,
		TaskLease: 30 * time.Second, Timeout: 2 * time.Second, GoneAfter: 10 * time.Minute, SettleTime: 5 * time.Second,
		QuarantineAfter: 3, QuarantineFor: 30 * time.Second,
	}
}

func (w *Workers) check(c *checker) {
	checkRange(c, "workers.lease", w.Lease, 50*time.Millisecond, 10*time.Minute)
	checkRange(c, "workers.renew", w.RenewInterval, 10*time.Millisecond, 10*time.Minute)
	checkRange(c, "workers.margin", w.ClockMargin, 0, time.Minute)
	checkRange(c, "workers.task_lease", w.TaskLease, 0, time.Hour)
	checkRange(c, "workers.timeout", w.Timeout, 10*time.Millisecond, time.Minute)
	checkRange(c, "workers.gone_after", w.GoneAfter, time.Second, 30*24*time.Hour)
	checkRange(c, "workers.settle", w.SettleTime, 0, time.Hour)
	checkRange(c, "workers.quarantine_after", w.QuarantineAfter, 1, 100)
	checkRange(c, "workers.quarantine_for", w.QuarantineFor, time.Millisecond, 24*time.Hour)
	checkBelow(c, "workers.margin", w.ClockMargin, "workers.lease", w.Lease)
	checkBelow(c, "workers.renew", w.RenewInterval+w.ClockMargin, "workers.lease", w.Lease)
}
