// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"saddlevane/services/blame"
	"saddlevane/services/startlog"
)

// If a worker crashes while no box holds the cell, only the log shows which tasks ran there.

// needsStartRecord reports whether a start has to be recorded in the log. It does not if its task is
// done or its job has ended.
func (h *holderState) needsStartRecord(s startlog.Start) bool {
	st := h.findStep(s.Task.StepID)
	return st != nil && !st.job.state.IsFinal() && !st.tasks[s.Task.Index].done
}

// restoreStarts restores the starts that earlier holders ordered last.
func (h *holderState) restoreStarts(records [][]byte) {
	starts, unread := startlog.Read(records)
	for _, err := range unread {
		h.core.logEvent("recorded starts could not be read", logField("error", err.Error()))
	}
	h.inheritedStarts = starts
}

// takeInheritedStarts returns the tasks that earlier holders started on a worker and that may have
// been running there when it crashed. It then forgets these starts. There are none for a worker that
// has reported to this holder.
func (h *holderState) takeInheritedStarts(w *worker, crashedAt time.Time) []blame.RunningTask {
	var all []blame.RunningTask
	for _, s := range h.inheritedStarts.StartedOn(w.Incarnation) {
		if st := h.possiblyLostStep(crashedAt, s); st != nil {
			running := blame.StartedByEarlierHolder(st.blameUnit(s.Task.Index), s.UnixMilli, h.core.unixMilli(crashedAt), h.inheritedStarts.WorkerCount(st.id, st.spec.Gang))
			running.Run, running.Gang = s.Run, st.spec.Gang
			all = append(all, running)
		}
	}
	h.inheritedStarts.Forget(w.Incarnation)
	return all
}

// possiblyLostStep returns the step of a start, or nil if its task is known to have kept running,
// ended or been started again since.
func (h *holderState) possiblyLostStep(now time.Time, s startlog.Start) *step {
	st := h.findRunStep(now, s.Task.StepID)
	if st == nil || s.Task.Index >= len(st.tasks) || st.job.state.IsFinal() {
		return nil
	}
	t := &st.tasks[s.Task.Index]
	if t.done || t.attempt != nil || t.lastRun > s.Run || slices.Contains(t.failedRuns, s.Run) {
		return nil
	}
	return st
}
