// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package presence

import "time"

// formerRetention is how long the incarnations of a worker that is gone are kept. It is longer than
// an order may be in transit.
const formerRetention = time.Minute

// FormerWorkers holds the incarnations of workers that are gone, by name, since a worker may come
// back under its name. The zero value holds none.
type FormerWorkers struct {
	workers map[string]formerWorker
	// expiredOffset is the highest offset of the fence number of a dropped worker.
	expiredOffset int64
}

// formerWorker holds the incarnations of a worker that has been gone since some time.
type formerWorker struct {
	incarnations *Incarnations
	since        time.Time
}

// Take removes and returns the incarnations kept under the name of a worker that is listed, or
// returns new ones if there are none. Their fence number is not lower than any that the worker may
// have received under this claim.
func (f *FormerWorkers) Take(name string) *Incarnations {
	known, ok := f.workers[name]
	if !ok {
		return &Incarnations{fenceOffset: f.expiredOffset}
	}
	delete(f.workers, name)
	return known.incarnations
}

// Add keeps the incarnations of a worker that is gone.
func (f *FormerWorkers) Add(now time.Time, name string, incarnations *Incarnations) {
	if f.workers == nil {
		f.workers = map[string]formerWorker{}
	}
	f.workers[name] = formerWorker{incarnations: incarnations, since: now}
}

// Expire drops the workers that have been gone for more than formerRetention.
func (f *FormerWorkers) Expire(now time.Time) {
	for name, known := range f.workers {
		if now.Sub(known.since) > formerRetention {
			f.expiredOffset = max(f.expiredOffset, known.incarnations.fenceOffset)
			delete(f.workers, name)
		}
	}
}
