// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import "saddlevane/models/order"

// Orphans are the runs in a worker's last report that are not attempts of this holder: their job is over
// or cannot be decoded, their task is done, or another run of the task is placed. They are ordered to
// stop, but for those of jobs that cannot be decoded. While one still runs, its task must not be started
// beside it.

// updateWorkersWithOrphans adds the worker to those with orphans, or removes it.
func (h *holderState) updateWorkersWithOrphans(w *worker) {
	if len(w.orphans) == 0 {
		delete(h.workersWithOrphans, w)
		return
	}
	h.workersWithOrphans[w] = true
}

// forgetOrphans forgets the orphans of a worker whose runs have ended for certain.
func (h *holderState) forgetOrphans(w *worker) {
	clear(w.orphans)
	h.updateWorkersWithOrphans(w)
}

// hasOrphan reports whether some worker runs an orphan that a function selects.
func (h *holderState) hasOrphan(selected func(order.Run) bool) bool {
	for w := range h.workersWithOrphans {
		for run := range w.orphans {
			if selected(run) {
				return true
			}
		}
	}
	return false
}

// waitsForOrphan reports whether a run of some waiting task of the step is an orphan.
func (h *holderState) waitsForOrphan(s *step) bool {
	return h.hasOrphan(func(run order.Run) bool {
		if run.Task.StepID != s.id || run.Task.Index >= len(s.tasks) {
			return false
		}
		t := &s.tasks[run.Task.Index]
		return t.attempt == nil && !t.done
	})
}

// runsAsOrphan reports whether another run of the attempt's task is an orphan.
func (h *holderState) runsAsOrphan(a *attempt) bool {
	task := a.runID().Task
	return h.hasOrphan(func(run order.Run) bool { return run.Task == task && run.Number != a.run })
}
