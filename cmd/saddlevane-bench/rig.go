// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"strings"
	"time"

	"saddlevane/models/box"
	"saddlevane/models/effect"
	"saddlevane/models/event"
	"saddlevane/models/peer"
	"saddlevane/models/record"
	"saddlevane/models/resource"
	"saddlevane/models/spec"
	"saddlevane/services/journal"
	"saddlevane/services/ledger"
	"saddlevane/services/membership"
	"saddlevane/services/shard"
	"saddlevane/tests/fake"
)

// simShard is one holder with a log and workers that answer at once, in virtual time.
type simShard struct {
	now        time.Time
	ledger     *ledger.Ledger
	members    *membership.Membership
	journal    *journal.Journal
	holder     *shard.Holder
	workers    map[string]*fake.Worker
	nextOffset int64
	appends    int64
	syncs      int64
	// fullInventory makes workers tell their whole inventory each time.
	fullInventory bool
	// deciding is the time spent in the holder, answering that spent on answers.
	decideTime time.Duration
	answerTime time.Duration
}

var benchShard = spec.ShardID{Domain: "a"}

// benchWorkerCapacity is a worker of Lakeshore's.
var benchWorkerCapacity = resource.Vector{Processors: 60 * resource.Processor, Memory: 260 * resource.GiB}

const workersPerRack = 8

func newSimShard(workers, perTick int) *simShard {
	r := &simShard{now: time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC), workers: map[string]*fake.Worker{}, ledger: ledger.New()}
	r.members = membership.New(membership.Settings{HeartbeatInterval: time.Second, DeadAfter: 5 * time.Second},
		peer.Hello{Box: "e1", Incarnation: "i", Domain: "a", Address: "127.0.0.1:1"})
	r.journal = journal.New(journal.Settings{Interval: 100 * time.Millisecond, RetryAfter: time.Second, Limit: 100_000}, "e1/i")
	s := shard.Settings{
		Lease: 5 * time.Second, RenewInterval: time.Second, ClockMargin: 500 * time.Millisecond, TaskLease: 30 * time.Second, SettleTime: 0, GoneAfter: time.Hour,
		Backoff: 500 * time.Millisecond, MaxBackoff: time.Minute, GangOvertakeTimeout: 30 * time.Second,
		QuarantineAfter: 3, QuarantineFor: time.Minute, PlacementsPerTick: perTick, StopsPerTick: 100,
	}
	r.holder = shard.New(r.now, s, shard.DefaultPolicy(), benchShard, r.ledger, r.members, r.journal)
	r.publishRacks(workers)
	r.publish("teams", "teams:\n  - {name: t, quota: {processors: 10000000, memory: 9000TiB, accelerators: 100000}}\n")
	r.holder.SetWorkers(r.now)
	for range 40 {
		r.tick()
	}
	return r
}

// publishRacks puts the workers in force, in files of bounded size.
func (r *simShard) publishRacks(workers int) {
	const racksInFile = 100
	var list box.List
	var b strings.Builder
	rack, file := 0, 0
	flush := func() {
		if b.Len() > 0 {
			r.publish(fmt.Sprintf("racks%d", file), "racks:\n"+b.String())
			b.Reset()
			file++
		}
	}
	for w := 0; w < workers; w += workersPerRack {
		var names []string
		for i := w; i < min(w+workersPerRack, workers); i++ {
			name := fmt.Sprintf("w%d", i)
			names = append(names, name)
			r.workers[name] = fake.NewWorker(name, benchWorkerCapacity, 30*time.Second)
			list.Boxes = append(list.Boxes, box.Box{Name: name, Role: box.Worker, Domain: "a", Address: name, State: box.Live})
		}
		fmt.Fprintf(&b, "  - {name: r%d, domain: a, shard: 0, workers: [%s], each: {processors: %s, memory: %s}}\n",
			rack, strings.Join(names, ", "), benchWorkerCapacity.Processors, benchWorkerCapacity.Memory)
		if rack++; rack%racksInFile == 0 {
			flush()
		}
	}
	flush()
	r.members.SetBoxes(r.now, list)
}

func (r *simShard) publish(name, rest string) {
	p := &record.Publish{ID: name, File: name, Replaces: r.ledger.Revision(name), Data: "name: " + name + "\n" + rest}
	applied := r.apply(record.Envelope{ID: name, From: "bench", Entries: []record.Entry{{Publish: p}}})
	if pub := applied.Changes[0].PublishDecision; !pub.Accepted {
		panic(fmt.Sprint(name, pub.Reasons))
	}
	r.holder.SetObjects(r.now)
}

func (r *simShard) apply(e record.Envelope) ledger.ApplyResult {
	applied := r.ledger.Apply(r.nextOffset, r.now, e)
	r.nextOffset++
	return applied
}

// tick lets 25 ms of virtual time pass.
func (r *simShard) tick() {
	r.now = r.now.Add(25 * time.Millisecond)
	begun := time.Now()
	effects := r.holder.Tick(r.now)
	r.decideTime += time.Since(begun)
	effects = append(effects, r.journal.Tick(r.now)...)
	for _, e := range effects {
		switch e := e.(type) {
		case effect.Append:
			r.appends++
			r.apply(e.Envelope)
			r.journal.RecordApplied(r.now, e.Envelope.ID)
		case effect.SyncWorker:
			r.syncs++
			if r.fullInventory {
				e.Sync.KnownVersion = 0
			}
			report := r.workers[e.Worker].Apply(r.now, e.Sync)
			begun := time.Now()
			r.holder.WorkerAnswered(r.now, event.WorkerAnswered{Worker: e.Worker, Seq: e.Sync.Seq, SentAt: r.now, Report: report})
			r.answerTime += time.Since(begun)
		}
	}
}

// starts returns how many starts the holder has sent.
func (r *simShard) starts() int { return int(r.holder.Counts().Starts) }
