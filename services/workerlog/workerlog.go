// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package workerlog keeps account of what the log says about a worker, and of how long a lease of the
// worker may therefore last.
//
// The log names a worker in one of two ways. If it names the worker as answering, the next holder asks
// the worker for its runs and, without an answer, waits for a whole lease. If it names the worker as
// unresponsive, it also says how long the worker's lease can last, and the next holder waits only that
// long, counted from its takeover. Two rules follow, so that no task is started elsewhere while its run
// still has a lease:
//
//   - Tasks are started on a worker only while the log names it as answering.
//   - A lease is extended, from the time of the extension, by no longer than the next holder would wait.
//     That may be short while a worker answers again and the log does not have that record yet.
//
// Appends are made one after the other, and the log may be unavailable. The next holder therefore reads
// the record that the log has now, the last one of the pending append or the last one that waits for a
// later append. The shortest wait of the three counts.
package workerlog

import (
	"math"
	"time"
)

// kind is what a record says about a worker.
type kind string

const (
	// none means that there is no record. The next holder does not wait for the worker.
	none kind = ""
	// answering means that the next holder asks the worker and waits for a whole lease.
	answering kind = "answering"
	// unresponsive means that the next holder waits for as long as the record says.
	unresponsive kind = "unresponsive"
	// foreign is a record that another incarnation of the worker has under the same name, or one that
	// could not be decoded.
	foreign kind = "foreign"
)

// noLimit is the wait of a record after which no lease is too long.
const noLimit = time.Duration(math.MaxInt64)

// record is one record of a worker: what it says, and how long the next holder waits because of it.
type record struct {
	kind kind
	wait time.Duration
}

// Entry is what the log says about one worker, and what it will say after the appends to come. The zero
// value is that of a worker without records. It is not safe for concurrent use.
type Entry struct {
	// logged is the record in the log, sent the last one in the pending append, and queued the last one
	// that waits for a later append.
	logged, sent, queued record
	// addedAt is when the newest record was added.
	addedAt time.Time
}

// Logged returns the entry of a worker that the log names as answering.
func Logged() Entry { return Entry{logged: record{kind: answering, wait: noLimit}} }

// LoggedUnresponsive returns the entry of a worker that the log, read at a time, names as unresponsive
// with a lease that can last for leaseLeft.
func LoggedUnresponsive(now time.Time, leaseLeft time.Duration) Entry {
	return Entry{logged: record{kind: unresponsive, wait: leaseLeft}, addedAt: now}
}

// LoggedUndecodable returns the entry of a worker whose record in the log could not be decoded. How long
// a holder that can decode it would wait is unknown.
func LoggedUndecodable() Entry { return Entry{logged: record{kind: foreign}} }

// Successor returns the entry of a later incarnation of the worker, which has no record of its own yet.
func (e *Entry) Successor() Entry {
	if !e.IsNamed() {
		return Entry{}
	}
	return Entry{logged: record{kind: foreign, wait: e.LeaseLimit()}}
}

// AddAnswering adds a record that the worker answers, for the next append.
func (e *Entry) AddAnswering(now time.Time) {
	e.queued, e.addedAt = record{kind: answering, wait: noLimit}, now
}

// AddUnresponsive adds a record that the worker does not answer and that its lease can last for
// leaseLeft, for the next append.
func (e *Entry) AddUnresponsive(now time.Time, leaseLeft time.Duration) {
	e.queued, e.addedAt = record{kind: unresponsive, wait: leaseLeft}, now
}

// MarkSent records that the added records are part of the pending append.
func (e *Entry) MarkSent() {
	if e.queued.kind != none {
		e.sent, e.queued = e.queued, record{}
	}
}

// MarkLogged records that the pending append has succeeded.
func (e *Entry) MarkLogged() {
	if e.sent.kind != none {
		e.logged, e.sent = e.sent, record{}
	}
}

// newest returns the record that was added last.
func (e *Entry) newest() record {
	switch {
	case e.queued.kind != none:
		return e.queued
	case e.sent.kind != none:
		return e.sent
	default:
		return e.logged
	}
}

// IsNamed reports whether the log names the worker, or will.
func (e *Entry) IsNamed() bool { return e.newest().kind != none }

// IsAnswering reports whether the newest record says that the worker answers, even if the log does not
// have it yet.
func (e *Entry) IsAnswering() bool { return e.newest().kind == answering }

// IsUnresponsive reports whether the newest record says that the worker does not answer, even if the log
// does not have it yet.
func (e *Entry) IsUnresponsive() bool { return e.newest().kind == unresponsive }

// AddedAt returns when the newest record was added, or read from the log.
func (e *Entry) AddedAt() time.Time { return e.addedAt }

// MayStartTasks reports whether tasks may be started on the worker: the log names it as answering, and no
// other record is to follow.
func (e *Entry) MayStartTasks() bool {
	return e.logged.kind == answering && e.sent.kind == none && e.queued.kind == none
}

// LeaseLimit returns the longest time for which a lease may last from now on, on the holder's clock: as
// long as the next holder surely waits, whenever it takes over.
func (e *Entry) LeaseLimit() time.Duration {
	limit := e.logged.wait
	for _, r := range []record{e.sent, e.queued} {
		if r.kind != none {
			limit = min(limit, r.wait)
		}
	}
	return limit
}

// IsLeaseLimited reports whether LeaseLimit is less than a whole lease because the log does not surely
// name the worker as answering.
func (e *Entry) IsLeaseLimited() bool { return e.LeaseLimit() < noLimit }
