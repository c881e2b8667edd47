// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/modules/ordered"
	"saddlevane/services/endreports"
	"saddlevane/services/jobrecords"
	"saddlevane/services/workerlog"
)

// The log may have jobs that this release cannot decode, for example because a later one has written
// them. Their records stay in the log for a release that can. Until then their runs are left running,
// and the ends of these runs are recorded one by one, since the later ends of the same worker cannot be
// acknowledged before them. What such a run uses is unknown, so no task is started on its worker.

// undecodableReason is the reason in replies to callers who ask for a job that cannot be decoded.
const undecodableReason = "this release cannot decode the job's record in the log"

// isUndecodable reports whether the log has a job that could not be decoded.
func (h *holderState) isUndecodable(id job.ID) bool {
	_, unread := h.unreadJobs[id]
	return unread && h.jobs[id] == nil
}

// mayBelongToJob reports whether runs of a job that could not be decoded have to be preserved: it
// has not ended.
func (h *holderState) mayBelongToJob(id job.ID) bool {
	return h.isUndecodable(id) && !h.unreadJobs[id].Ended
}

// recordEnd records the end of a run of a job that could not be decoded. The report, which may be nil,
// is acknowledged once the log has the record.
func (h *holderState) recordEnd(end order.End, report *endreports.Report[*worker]) {
	h.journal.endsToRecord = append(h.journal.endsToRecord, endToRecord{record: jobrecords.EndRecord(end), report: report})
}

// markEndsLogged handles that the log has the records of some ends.
func (h *holderState) markEndsLogged(now time.Time, reports []*endreports.Report[*worker]) {
	for _, r := range reports {
		r.MarkLogged()
		h.renewSoon(now, r.Worker())
	}
}

// restoreEnd applies an end that was recorded by a holder that could not decode its job. The record is
// dropped with the job.
func (h *holderState) restoreEnd(now time.Time, e jobrecords.RunEnd) {
	id := e.Run.Task.Job
	if h.isUndecodable(id) {
		return
	}
	j := h.jobs[id]
	if j == nil || j.state.IsFinal() {
		h.journal.addRecord(jobrecords.DropEnd(e.Run))
		return
	}
	j.recordedEnds = append(j.recordedEnds, e.Run)
	s := h.findRunStep(now, e.Run.Task.StepID)
	if s == nil || e.Run.Task.Index >= len(s.tasks) {
		return
	}
	t := &s.tasks[e.Run.Task.Index]
	t.lastRun = max(t.lastRun, e.Run.Number)
	if t.checkpoint == "" && s.spec.Checkpoints {
		t.checkpoint = e.Checkpoint
	}
	switch {
	case s.spec.Service, t.done:
	case e.Status == order.Done:
		h.completeTask(now, s, order.End{Run: e.Run})
	case e.Status == order.Failed:
		h.recordTaskFailure(now, s, order.End{Run: e.Run})
	}
	h.markDirty(j)
}

// replyUndecodable replies to a call that concerns a job which could not be decoded, and reports
// whether it does. A submission of such a job was accepted before; nothing else is done.
func (h *holderState) replyUndecodable(call exchange.CallID, id job.ID, submitted bool) bool {
	if !h.isUndecodable(id) {
		return false
	}
	if submitted {
		h.core.reply(call, exchange.Answer{Outcome: exchange.MaybeDone, Reason: undecodableReason})
	} else {
		h.replyUnavailable(call, undecodableReason)
	}
	return true
}

// restoreUndecodableWorker restores a worker of whose record only the name is known. An earlier holder
// may have started tasks there until just now. Its record is replaced once the worker has reported, and
// dropped if its lease has expired and the platform does not list it.
func (h *holderState) restoreUndecodableWorker(now time.Time, name string) {
	w := h.workers[name]
	if w == nil {
		w = h.addWorker(now, order.Worker{Incarnation: order.Incarnation{Name: name}})
		// There is no address yet to which a renewal could be sent.
		w.failedRenewals = 1
	}
	w.logged = workerlog.LoggedUndecodable()
	w.leaseExpiresBy = ordered.Later(w.leaseExpiresBy, now.Add(h.maxLeaseDuration()))
	if !w.reported {
		h.unreportedWorkers[name] = true
	}
}
