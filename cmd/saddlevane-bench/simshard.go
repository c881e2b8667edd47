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

// simShard simulates one holder of a shard in virtual time, with a log and workers that answer at
// once.
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
	// fullInventory makes workers report their whole inventory in each answer.
	fullInventory bool
	// decideTime is the real time spent in the holder's Tick, answerTime that spent on the
	// workers' answers.
	decideTime time.Duration
	answerTime time.Duration
}

var benchShard = spec.ShardID{Domain: "a"}

// benchWorkerCapacity is the capacity of a worker in the deployment Lakeshore.
var benchWorkerCapacity = resource.Vector{Processors: 60 * resource.Processor, Memory: 260 * resource.GiB}

const workersPerRack = 8

// newSimShard returns a shard that is held and whose workers are known. The holder places at most
// perTick tasks per tick.
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

// publishRacks publishes the racks with all workers, split into files of at most racksInFile racks.
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
			r.workers[name] = fake.NewWorker(name, "1", benchWorkerCapacity, 30*time.Second)
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

// publish applies the publication of a file with the given name and body. It panics if the file is
// not accepted.
func (r *simShard) publish(name, rest string) {
	p := &record.Publish{ID: name, File: name, Replaces: r.ledger.Revision(name), Data: "name: " + name + "\n" + rest}
	applied := r.apply(record.Envelope{ID: name, From: "bench", Entries: []record.Entry{{Publish: p}}})
	if pub := applied.Changes[0].PublishDecision; !pub.Accepted {
		panic(fmt.Sprint(name, pub.Reasons))
	}
	r.holder.SetObjects(r.now)
}

// apply appends a record to the log and applies it to the ledger.
func (r *simShard) apply(e record.Envelope) ledger.ApplyResult {
	applied := r.ledger.Apply(r.nextOffset, r.now, e)
	r.nextOffset++
	return applied
}

// tick advances virtual time by 25 ms and carries out the effects of the holder and the journal.
func (r *simShard) tick() {
	r.now = r.now.Add(25 * time.Millisecond)
	start := time.Now()
	effects := r.holder.Tick(r.now)
	r.decideTime += time.Since(start)
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
			start := time.Now()
			r.holder.WorkerAnswered(r.now, event.WorkerAnswered{Worker: e.Worker, Seq: e.Sync.Seq, SentAt: r.now, Report: report})
			r.answerTime += time.Since(start)
		}
	}
}

// starts returns the number of starts that the holder has sent.
func (r *simShard) starts() int { return int(r.holder.Counts().Starts) }
