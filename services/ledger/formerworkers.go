// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"cmp"
	"slices"

	"saddlevane/models/record"
	"saddlevane/models/spec"
)

// A worker that is removed from the files may continue to run tasks under the lease of
// a holder that has not read that record yet. The next holder has to query the worker,
// so the ledger keeps it until the current holder records that it runs nothing.

// FormerWorkers returns the workers of shard that no file declares any more, each with
// its rack; the map must not be modified.
func (l *Ledger) FormerWorkers(shard spec.ShardID) map[string]string { return l.formerWorkers[shard] }

// addFormerWorker adds a worker of a rack to the former workers of a shard.
func (l *Ledger) addFormerWorker(shard spec.ShardID, worker, rack string) {
	if l.formerWorkers[shard] == nil {
		l.formerWorkers[shard] = map[string]string{}
	}
	l.formerWorkers[shard][worker] = rack
}

// updateFormerWorkers adds the workers of before that the cell no longer has to the
// former workers, and removes those that the cell has again.
func (l *Ledger) updateFormerWorkers(before *cell) {
	current := map[string]bool{}
	for id, sc := range l.cell.shards {
		for _, r := range sc.racks {
			for _, w := range r.Workers {
				current[w] = true
				delete(l.formerWorkers[id], w)
			}
		}
	}
	for id, sc := range before.shards {
		for _, r := range sc.racks {
			for _, w := range r.Workers {
				if !current[w] {
					l.addFormerWorker(id, w, r.Name)
				}
			}
		}
	}
}

// checkFormerWorkers refuses a worker that may still run tasks of another shard.
func (l *Ledger) checkFormerWorkers(file *spec.File, refuse func(string, ...any)) {
	for _, r := range file.Racks {
		for id, workers := range l.formerWorkers {
			if id == r.ShardID() {
				continue
			}
			for _, w := range r.Workers {
				if _, ok := workers[w]; ok {
					refuse("worker %s was in shard %s and may still run tasks of it; wait until the box list reports it dead, or use a new name", w, id)
				}
			}
		}
	}
}

// applyForget removes former workers. A record of any holder but the current one of the
// shard is ignored.
func (l *Ledger) applyForget(f *record.Forget) Change {
	if l.claims[f.Shard].revision != f.Claim {
		return Change{}
	}
	for _, w := range f.Workers {
		delete(l.formerWorkers[f.Shard], w)
	}
	return Change{FilesChanged: true}
}

// snapshotFormerWorkers returns all former workers, sorted by shard and name.
func (l *Ledger) snapshotFormerWorkers() []record.FormerWorker {
	var all []record.FormerWorker
	for id, workers := range l.formerWorkers {
		for w, rack := range workers {
			all = append(all, record.FormerWorker{Shard: id, Worker: w, Rack: rack})
		}
	}
	slices.SortFunc(all, func(a, b record.FormerWorker) int {
		return cmp.Or(a.Shard.Compare(b.Shard), cmp.Compare(a.Worker, b.Worker))
	})
	return all
}
