// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import "time"

// Workers says how leases on workers are kept.
type Workers struct {
	// Lease is how long a worker's lease lasts, Renew the time between renewals,
	// Margin what is taken off a lease against clocks that run unlike.
	Lease         time.Duration `yaml:"lease"`
	RenewInterval time.Duration `yaml:"renew"`
	ClockMargin   time.Duration `yaml:"margin"`
	// TaskLease is how long the platform's workers run tasks after a lease lapsed.
	TaskLease time.Duration `yaml:"task_lease"`
	// Timeout bounds one exchange with a worker.
	Timeout time.Duration `yaml:"timeout"`
	// GoneAfter is how long the list must not have named a worker before it counts
	// as dead.
	GoneAfter time.Duration `yaml:"gone_after"`
	// Settle is how long the set of live entry boxes must be unchanged before a
	// shard moves between live ones.
	SettleTime time.Duration `yaml:"settle"`
	// QuarantineAfter different objects in a row that fail on a worker take it out
	// for QuarantineFor, doubling.
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
