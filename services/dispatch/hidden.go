// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"saddlevane/services/blame"
	"saddlevane/services/recent"
)

// A worker may crash while no box holds the cell: only the log tells what ran there.

// needsStartRecord says whether the log is told of a start: not if its run has ended well.
func (h *holderState) needsStartRecord(s recent.Start) bool {
	st := h.findStep(s.Task.StepID)
	return st != nil && !st.job.state.IsFinal() && !st.tasks[s.Task.Index].done
}

// restoreStarts takes over which tasks earlier holders had started last.
func (h *holderState) restoreStarts(records [][]byte) {
	told, unread := recent.Read(records)
	for _, err := range unread {
		h.core.logEvent("kept starts could not be read", logField("error", err.Error()))
	}
	h.inheritedStarts = told
}

// startedOn returns the tasks that an earlier holder had started on a worker which has not
// told this one what it runs, as far as they may have run there until it crashed.
func (h *holderState) startedOn(w *worker, at time.Time) []blame.RunningTask {
	var all []blame.RunningTask
	for _, s := range h.inheritedStarts.StartedOn(w.Incarnation) {
		if st := h.possiblyLostStep(s); st != nil {
			on := blame.StartedByEarlierHolder(st.blameUnit(s.Task.Index), s.UnixMilli, h.core.unixMilli(at), h.inheritedStarts.WorkerCount(st.id, st.spec.Gang))
			on.Run, on.Gang = s.Run, st.spec.Gang
			all = append(all, on)
		}
	}
	h.inheritedStarts.Forget(w.Incarnation)
	return all
}

// possiblyLostStep returns the step of a start if its task is not known to have run on, ended or begun
// anew since, else nil.
func (h *holderState) possiblyLostStep(s recent.Start) *step {
	st := h.findStep(s.Task.StepID)
	if st == nil || s.Task.Index >= len(st.tasks) || st.job.state.IsFinal() {
		return nil
	}
	t := &st.tasks[s.Task.Index]
	if t.done || t.attempt != nil || t.lastRun > s.Run || slices.Contains(t.failedRuns, s.Run) {
		return nil
	}
	return st
}
