// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shard

import (
	"slices"
	"time"
)

// retry is a task that goes back to the queue.
type retry struct {
	index     int
	attempt   int
	notBefore time.Time
}

// retries are the tasks of one object that go back to the queue, each once: a
// task can be reported lost and, later, ended as well.
type retries struct {
	queue  []retry
	queued map[int]bool
}

func (r *retries) len() int { return len(r.queue) }

func (r *retries) has(index int) bool { return r.queued[index] }

func (r *retries) pushBack(t retry) {
	if r.markQueued(t.index) {
		r.queue = append(r.queue, t)
	}
}

// pushFront puts a task that was not started back where it came from.
func (r *retries) pushFront(t retry) {
	if r.markQueued(t.index) {
		r.queue = slices.Insert(r.queue, 0, t)
	}
}

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

// popDue takes the first task whose wait is over.
func (r *retries) popDue(now time.Time) (retry, bool) {
	for _, t := range r.queue {
		if !now.Before(t.notBefore) {
			r.remove(t.index)
			return t, true
		}
	}
	return retry{}, false
}

// remove takes a task out: it has a place after all.
func (r *retries) remove(index int) {
	if !r.queued[index] {
		return
	}
	delete(r.queued, index)
	r.queue = slices.DeleteFunc(r.queue, func(t retry) bool { return t.index == index })
}
