// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/modules/ordered"
	"saddlevane/services/kept"
)

// A new holder asks all workers what they run before it starts any task that an earlier one
// may have started. One that does not answer held all of them up until its lease was over:
// on a day on which 19 workers were taken away, 488 of 1,262 late jobs were put down to
// takeovers, and each handover began the wait anew. So the log is
// told what may run on a worker once it does not answer, and nothing is started there until
// the log has it that it answers again: the next holder takes those runs as being at work,
// and all others are free.

// silence is what the log is told of a worker that does not answer.
type silence struct {
	// kept says that the log has it, or is about to, at is when it was last told.
	kept bool
	at   time.Time
}

const (
	// silentLooks is after how many looks without an answer in a row the log is told: one
	// may have been lost.
	silentLooks = 2
	// silenceAgain is when the log is told again how long the lease of a silent worker lasts
	// at most.
	silenceAgain = 2 * time.Second
)

// keepSilence has the log tell what may run on a worker that does not answer.
func (h *holding) keepSilence(now time.Time, w *worker) {
	again := w.silence.kept
	switch {
	case w.failures < silentLooks, !again && !w.settled:
		return
	case again && (now.Sub(w.silence.at) < silenceAgain || h.journal.failing(now)):
		return
	}
	h.tellSilence(now, w)
}

// tellSilence adds the record of a silent worker to the next append. No start may be ordered
// to it until a later record says that it answers.
func (h *holding) tellSilence(now time.Time, w *worker) {
	w.silence = silence{kept: true, at: now}
	w.recorded, w.recording = false, false
	w.records++
	s := kept.Silence{Left: job.Milliseconds(max(0, w.goneAt.Sub(now)).Milliseconds())}
	for _, a := range w.sorted() {
		s.Runs = append(s.Runs, a.name())
	}
	for run := range ordered.By(w.strays, order.Run.Compare) {
		s.Runs = append(s.Runs, run)
	}
	h.journal.add(kept.SilentWorker(w.Worker, s))
}

// heardAgain has the log tell that a worker answers again.
func (h *holding) heardAgain(w *worker) {
	if w.silence.kept {
		w.silence = silence{}
		w.recorded, w.recording = false, false
		h.record(w)
	}
}

// foldSilent takes over a worker that was silent under an earlier holder: what may run on it
// is known, and counts as being at work until it answers or its lease is over.
func (h *holding) foldSilent(now time.Time, w *worker, s *kept.Silence) {
	w.silence = silence{kept: true, at: now}
	w.goneAt = maxTime(w.goneAt, now.Add(min(h.leaseMost(), s.Left.Duration())))
	for _, run := range s.Runs {
		h.foldRun(now, w, run)
	}
}

// foldRun takes a run as being at work on a silent worker. Where the log names two runs of a
// task, the first was over before the second was ordered.
func (h *holding) foldRun(now time.Time, w *worker, run order.Run) {
	s := h.findStep(run.Task.StepID)
	if s == nil || run.Task.Index >= len(s.tasks) || s.job.state.Final() {
		return
	}
	t := &s.tasks[run.Task.Index]
	if t.done || !t.supersedes(run) {
		return
	}
	if t.attempt != nil {
		h.unplace(t.attempt)
	}
	h.place(now, &attempt{
		step: s, index: run.Task.Index, run: run.Number, worker: w, state: running, since: now, confirmed: true, adopted: true,
		pace: paceUnknown, unheard: true,
	})
	s.lastRun = max(s.lastRun, run.Number)
}

// supersedes says whether a run is later than the one that the log told of, if any did, and
// no other is known.
func (t *task) supersedes(run order.Run) bool {
	if t.attempt == nil {
		return run.Number > t.lastRun
	}
	return t.attempt.unheard && run.Number > t.attempt.run
}
