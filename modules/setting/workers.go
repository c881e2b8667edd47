// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import "time"

// Workers says how leases on workers are kept.
type Workers struct {
	// Lease is how long a worker's lease lasts, Renew the time between renewals,
	// Margin what is taken off a lease against clocks that run unlike.
	Lease  time.Duration `yaml:"lease"`
	Renew  time.Duration `yaml:"renew"`
	Margin time.Duration `yaml:"margin"`
	// TaskLease is how long the platform's workers run tasks after a lease lapsed.
	TaskLease time.Duration `yaml:"task_lease"`
	// Timeout bounds one exchange with a worker.
	Timeout time.Duration `yaml:"timeout"`
	// GoneAfter is how long the list must not have named a worker before it counts
	// as dead.
	GoneAfter time.Duration `yaml:"gone_after"`
	// Settle is how long the set of live entry boxes must be unchanged before a
	// shard moves between live ones.
	Settle time.Duration `yaml:"settle"`
	// QuarantineAfter different objects in a row that fail on a worker take it out
	// for QuarantineFor, doubling.
	QuarantineAfter int           `yaml:"quarantine_after"`
	QuarantineFor   time.Duration `yaml:"quarantine_for"`
}

func defaultWorkers() Workers {
	return Workers{
		Lease: 3 * time.Second, Renew: time.Second, Margin: 300 * time.Millisecond,
		TaskLease: 30 * time.Second, Timeout: 2 * time.Second, GoneAfter: 10 * time.Minute, Settle: 5 * time.Second,
		QuarantineAfter: 3, QuarantineFor: 30 * time.Second,
	}
}

func (w *Workers) check(c *checker) {
	between(c, "workers.lease", w.Lease, 50*time.Millisecond, 10*time.Minute)
	between(c, "workers.renew", w.Renew, 10*time.Millisecond, 10*time.Minute)
	between(c, "workers.margin", w.Margin, 0, time.Minute)
	between(c, "workers.task_lease", w.TaskLease, 0, time.Hour)
	between(c, "workers.timeout", w.Timeout, 10*time.Millisecond, time.Minute)
	between(c, "workers.gone_after", w.GoneAfter, time.Second, 30*24*time.Hour)
	between(c, "workers.settle", w.Settle, 0, time.Hour)
	between(c, "workers.quarantine_after", w.QuarantineAfter, 1, 100)
	between(c, "workers.quarantine_for", w.QuarantineFor, time.Millisecond, 24*time.Hour)
	below(c, "workers.margin", w.Margin, "workers.lease", w.Lease)
	below(c, "workers.renew", w.Renew+w.Margin, "workers.lease", w.Lease)
}
