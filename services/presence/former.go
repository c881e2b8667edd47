// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package presence

import "time"

// formerRetention is for how long the lives of a worker that is gone are remembered: longer than an
// order may be on its way.
const formerRetention = time.Minute

// FormerWorkers remembers the lives of workers that are gone, by name: one may come back under its
// name. The zero value knows none.
type FormerWorkers struct{ workers map[string]formerWorker }

// formerWorker are the lives of a worker that is gone since some time.
type formerWorker struct {
	lives *Lives
	since time.Time
}

// Take returns the lives under a name for a worker that is listed.
func (f *FormerWorkers) Take(name string) *Lives {
	known, ok := f.workers[name]
	if !ok {
		return &Lives{}
	}
	delete(f.workers, name)
	return known.lives
}

// Add remembers the lives of a worker.
func (f *FormerWorkers) Add(now time.Time, name string, lives *Lives) {
	if f.workers == nil {
		f.workers = map[string]formerWorker{}
	}
	f.workers[name] = formerWorker{lives: lives, since: now}
}

// Expire forgets those that are gone for long.
func (f *FormerWorkers) Expire(now time.Time) {
	for name, known := range f.workers {
		if now.Sub(known.since) > formerRetention {
			delete(f.workers, name)
		}
	}
}
