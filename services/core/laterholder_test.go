// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package core_test

import (
	"strings"
	"testing"
	"time"

	"saddlevane/services/shard"
)

// TestHolderWithoutEarlierLeasesNoticesLaterHolder guards against a holder that is paused
// before a worker has granted it any lease starting tasks of a later holder when it resumes.
func TestHolderWithoutEarlierLeasesNoticesLaterHolder(t *testing.T) {
	for seed := range uint64(60) {
		w := newWorld(seed, 3, 2)
		w.run(2 * time.Second)
		w.setWorkersReachable(false, "w1", "w2")
		w.mustPublish(t, "cell", twoWorkerCell)
		var old *node
		w.runUntil(t, "claim", func() bool { old = w.holder(); return old != nil })
		w.mustPublish(t, "work", workFile)
		w.run(time.Second)
		old.paused, old.dropsLogCalls, old.dropsPeerCalls = true, true, true
		w.setWorkersReachable(true, "w1", "w2")
		w.runUntil(t, "start by the later holder", func() bool { return w.starts("serve") > 0 })
		w.run(time.Second)
		w.setWorkersReachable(false, "w2")
		for _, n := range w.nodes {
			n.paused = n != old
		}
		w.resume(old)
		w.run(2500 * time.Millisecond)
		w.checkNoViolations(t)
	}
}

// TestResumedHolderNoticesLaterHolderOnWorkerItNeverLeased guards against a resumed holder
// starting tasks of a later one on a worker that joined the shard just before the pause, so
// that there is no earlier lease to compare with.
func TestResumedHolderNoticesLaterHolderOnWorkerItNeverLeased(t *testing.T) {
	for seed := range uint64(60) {
		w := newWorld(seed, 3, 3)
		w.run(2 * time.Second)
		w.mustPublish(t, "cell", twoWorkerCell)
		var old *node
		w.runUntil(t, "claim", func() bool { old = w.holder(); return old != nil })
		w.run(2 * time.Second)
		w.setWorkersReachable(false, "w3")
		w.mustPublish(t, "work", strings.Replace(workFile, "700ms", "5s", 1))
		w.replace(w.nodes[0], "more", "cell", strings.Replace(twoWorkerCell, "[w1, w2]", "[w1, w2, w3]", 1))
		w.run(500 * time.Millisecond)
		old.paused, old.dropsLogCalls, old.dropsPeerCalls = true, true, true
		w.setWorkersReachable(true, "w3")
		w.run(6 * time.Second)
		w.setWorkersReachable(false, "w1", "w2")
		for _, n := range w.nodes {
			n.paused = n != old
		}
		w.resume(old)
		w.run(4 * time.Second)
		w.checkNoViolations(t)
	}
}

// setWorkersReachable sets whether the nodes reach the workers.
func (w *world) setWorkersReachable(reachable bool, workers ...string) {
	for _, n := range w.nodes {
		for _, name := range workers {
			n.unreachableWorkers[name] = !reachable
		}
	}
}

// holder returns a node that has begun to adopt the workers of a shard, or nil.
func (w *world) holder() *node {
	for _, n := range w.nodes {
		for _, s := range n.core.Dump(w.now).Process.Shards {
			if s.Phase == string(shard.Adopting) {
				return n
			}
		}
	}
	return nil
}
