// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"cmp"
	"slices"

	"saddlevane/models/record"
	"saddlevane/models/spec"
)

// A worker that leaves the files may go on running tasks under the lease of a
// holder that has not read so far. The next holder has to ask it, so the ledger
// remembers it until a holder in force says that it surely runs nothing.

// FormerWorkers returns the workers of shard that no file names any more, with their
// racks; it must not be changed.
func (l *Ledger) FormerWorkers(shard spec.ShardID) map[string]string { return l.formerWorkers[shard] }

func (l *Ledger) addFormerWorker(shard spec.ShardID, worker, rack string) {
	if l.formerWorkers[shard] == nil {
		l.formerWorkers[shard] = map[string]string{}
	}
	l.formerWorkers[shard][worker] = rack
}

// updateFormerWorkers remembers the workers of before that the cell no longer has, and
// forgets those that it has again.
func (l *Ledger) updateFormerWorkers(before *cell) {
	now := map[string]bool{}
	for id, sc := range l.cell.shards {
		for _, r := range sc.racks {
			for _, w := range r.Workers {
				now[w] = true
				delete(l.formerWorkers[id], w)
			}
		}
	}
	for id, sc := range before.shards {
		for _, r := range sc.racks {
			for _, w := range r.Workers {
				if !now[w] {
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
					refuse("worker %s was in shard %s and may still run tasks of it; wait until the list says that it is dead, or use a new name", w, id)
				}
			}
		}
	}
}

func (l *Ledger) applyForget(f *record.Forget) Change {
	if l.claims[f.Shard].revision != f.Claim {
		return Change{}
	}
	for _, w := range f.Workers {
		delete(l.formerWorkers[f.Shard], w)
	}
	return Change{FilesChanged: true}
}

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
