// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shard

import (
	"slices"
	"time"
)

// retry is a task that waits in the queue to be started again.
type retry struct {
	index     int
	attempt   int
	notBefore time.Time
}

// retries holds the retries of one object, at most one for each task: a task can be
// reported as lost and, later, as ended too.
type retries struct {
	queue  []retry
	queued map[int]bool
}

// len returns the number of queued retries.
func (r *retries) len() int { return len(r.queue) }

// has reports whether a retry of the task is queued.
func (r *retries) has(index int) bool { return r.queued[index] }

// pushBack adds t at the end, unless a retry of the task is queued already.
func (r *retries) pushBack(t retry) {
	if r.markQueued(t.index) {
		r.queue = append(r.queue, t)
	}
}

// pushFront puts a task that was not started back at the front, unless a retry of it is
// queued already.
func (r *retries) pushFront(t retry) {
	if r.markQueued(t.index) {
		r.queue = slices.Insert(r.queue, 0, t)
	}
}

// markQueued marks a task as queued. It returns false if it was marked already.
func (r *retries) markQueued(index int) bool {
	if r.queued[index] {
		return false
	}
	if r.queued == nil {
		r.queued = map[int]bool{}
	}
	r.queued[index] = true
	return true
}

// popDue removes the first retry whose delay is over and returns it. It returns false if
// there is none.
func (r *retries) popDue(now time.Time) (retry, bool) {
	for _, t := range r.queue {
		if !now.Before(t.notBefore) {
			r.remove(t.index)
			return t, true
		}
	}
	return retry{}, false
}

// remove removes the retry of a task that turned out to have an attempt on a worker.
func (r *retries) remove(index int) {
	if !r.queued[index] {
		return
	}
	delete(r.queued, index)
	r.queue = slices.DeleteFunc(r.queue, func(t retry) bool { return t.index == index })
}
