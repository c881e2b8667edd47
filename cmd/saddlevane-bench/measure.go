// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"time"

	"saddlevane/models/box"
	"saddlevane/models/event"
	"saddlevane/models/peer"
	"saddlevane/models/record"
	"saddlevane/models/request"
	"saddlevane/models/spec"
	"saddlevane/models/task"
	"saddlevane/models/verdict"
	"saddlevane/models/worker"
	"saddlevane/services/ledger"
	"saddlevane/services/membership"
	"saddlevane/services/routing"

	"github.com/oklog/ulid/v2"
)

// measureHolder measures the holder of one shard: its memory and the time of a tick, a placement
// and a worker's answer, by the number of workers or tasks.
func measureHolder(s *slopes) {
	var memoryWorkers, memoryTasks, tick, place []point
	for _, n := range []int{300, 600, 1200, 2400} {
		f := measureFill(n)
		x := float64(n)
		memoryWorkers = append(memoryWorkers, point{x, f.bytesPerWorker * x})
		memoryTasks = append(memoryTasks, point{float64(f.tasks), f.bytesPerTask * float64(f.tasks)})
		tick = append(tick, point{x, float64(f.idleTickTime) / float64(time.Microsecond)})
		place = append(place, point{x, 1e6 / f.placementsPerSecond()})
	}
	s.holderMemoryWorkers = newSlope("holder memory, workers", "workers", "bytes", memoryWorkers)
	s.holderMemoryTasks = newSlope("holder memory, tasks", "tasks", "bytes", memoryTasks)
	s.holderTick = newSlope("tick with nothing to decide", "workers", "µs", tick)
	s.placement = newSlope("one placement", "workers", "µs", place)
	var unchanged, inventory []point
	for _, n := range []int{0, 4, 8, 16, 32} {
		unchanged = append(unchanged, point{float64(n), answerCost(n, false)})
		inventory = append(inventory, point{float64(n), answerCost(n, true)})
	}
	s.answerUnchanged = newSlope("one unchanged answer of a worker", "tasks on it", "µs", unchanged)
	s.answerInventory = newSlope("one answer with the inventory", "tasks on it", "µs", inventory)
}

// answerCost returns the µs that a holder spends on one answer of a worker with the given number of
// tasks. With fullInventory each answer holds the worker's whole inventory.
func answerCost(tasks int, fullInventory bool) float64 {
	const workers, rounds = 100, 1000
	r := newSimShard(workers, 10_000)
	r.fullInventory = fullInventory
	if tasks > 0 {
		r.publish("work", fmt.Sprintf("jobs:\n  - {name: j, team: t, count: %d, resources: {processors: 1}, command: [serve], repeatable: true}\n", workers*tasks))
	}
	for range 200 {
		r.tick()
	}
	r.answerTime, r.syncs = 0, 0
	for range rounds {
		r.tick()
	}
	return r.answerTime.Seconds() * 1e6 / float64(r.syncs)
}

// measureWire measures the size of the messages to and from a worker.
func measureWire(s *slopes) {
	var syncs, reports []point
	for _, n := range []int{0, 4, 8, 16} {
		id := task.ID{Object: task.ObjectID{Name: "scoring-2026-12-01", Born: 1_234_567}, Attempt: 1}
		sync := worker.Sync{Holder: "entry-a1/01M8VAYQQ24TVMYVZ2A1D5Y1F6", Epoch: 123, Seq: 123_456, TTL: 5000}
		report := worker.Report{Worker: "worker-a12-8", Granted: true, Epoch: 123, Holder: sync.Holder, ExpiresIn: 5000, Capacity: benchWorkerCapacity}
		for i := range n {
			id.Index = 10_000 + i
			sync.Starts = append(sync.Starts, worker.Start{Task: id, Resources: vector(2000, 6), Command: []string{"score", "--night", "2026-12-01"}, Version: 1_234_567})
			report.Tasks = append(report.Tasks, worker.Item{Task: id, State: task.Running, Resources: vector(2000, 6), Usage: vector(1500, 5), Version: 1_234_567})
		}
		syncs = append(syncs, point{float64(n), jsonSize(sync)})
		reports = append(reports, point{float64(n), jsonSize(report)})
	}
	s.syncBytes = newSlope("bytes of a sync", "starts in it", "bytes", syncs)
	s.reportBytes = newSlope("bytes of a report", "tasks in it", "bytes", reports)
}

// jsonSize returns the number of bytes of v in JSON.
func jsonSize(v any) float64 {
	data, _ := json.Marshal(v)
	return float64(len(data))
}

// measureLedger measures the ledger by the number of objects in force: the time of a publication,
// its memory, and the size of a snapshot.
func measureLedger(s *slopes) {
	var applies, memory, snapshots []point
	for _, n := range []int{500, 1000, 2000, 4000} {
		before := heapInUse()
		l := ledgerWith(n)
		memory = append(memory, point{float64(n), float64(heapInUse() - before)})
		snapshots = append(snapshots, point{float64(n), jsonSize(l.Snapshot())})
		applies = append(applies, point{float64(n), publishCost(l)})
		runtime.KeepAlive(l)
	}
	s.publishObjects = newSlope("one publication", "objects in force", "µs", applies)
	s.ledgerMemory = newSlope("ledger memory", "objects in force", "bytes", memory)
	s.snapshotBytes = newSlope("bytes of a snapshot", "objects in force", "bytes", snapshots)
}

const objectsPerFile = 20

// ledgerWith returns a ledger with the given number of jobs in force, 20 per file, and the racks of
// 18 domains.
func ledgerWith(objects int) *ledger.Ledger {
	l := ledger.New()
	apply := func(name, data string) {
		p := &record.Publish{ID: name, File: name, Data: "name: " + name + "\n" + data}
		p.Parse()
		l.Apply(l.NextOffset(), time.Time{}, record.Envelope{ID: name, From: "bench", Entries: []record.Entry{{Publish: p}}})
	}
	for d := range sizeDomains {
		var b strings.Builder
		b.WriteString("racks:\n")
		for r := range 146 {
			fmt.Fprintf(&b, "  - {name: r%d-%d, domain: d%d, shard: 0, workers: [w%d-%d-0, w%d-%d-1, w%d-%d-2, w%d-%d-3, w%d-%d-4, w%d-%d-5, w%d-%d-6, w%d-%d-7], each: {processors: 60, memory: 260GiB}}\n",
				d, r, d, d, r, d, r, d, r, d, r, d, r, d, r, d, r, d, r)
		}
		apply(fmt.Sprintf("racks%d", d), b.String())
	}
	apply("teams", "teams:\n  - {name: t, quota: {processors: 10000000, memory: 9000TiB}}\n")
	for f := range objects / objectsPerFile {
		apply(fmt.Sprintf("work%d", f), jobsFile(f))
	}
	return l
}

// jobsFile returns the body of file number f with objectsPerFile jobs.
func jobsFile(f int) string {
	var b strings.Builder
	b.WriteString("jobs:\n")
	for i := range objectsPerFile {
		fmt.Fprintf(&b, "  - {name: j%d-%d, team: t, count: 100, resources: {processors: 2, memory: 6GiB}, command: [score], repeatable: true}\n", f, i)
	}
	return b.String()
}

// publishCost returns the µs that the ledger spends on applying one changed file. The time to
// parse the file is not included.
func publishCost(l *ledger.Ledger) float64 {
	const times = 20
	total := time.Duration(0)
	for i := range times {
		p := &record.Publish{ID: fmt.Sprint("again", i), File: "work0", Replaces: l.Revision("work0"), Data: "name: work0\n" + jobsFile(0)}
		p.Parse()
		start := time.Now()
		l.Apply(l.NextOffset(), time.Time{}, record.Envelope{ID: p.ID, From: "bench", Entries: []record.Entry{{Publish: p}}})
		total += time.Since(start)
	}
	return total.Seconds() * 1e6 / times
}

// measureRouting measures the time of one request by the number of targets in the box's domain.
func measureRouting(s *slopes) {
	var points []point
	for _, targets := range []int{17, 50, 100, 200} {
		points = append(points, point{float64(targets), routeCost(targets)})
	}
	s.routeTargets = newSlope("one request in the reducer", "targets", "µs", points)
}

// routeCost returns the µs that the router spends on one request and its answer.
func routeCost(targets int) float64 {
	now := time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	r := routing.New(routing.Settings{KeyTTL: time.Minute, MaxKeys: 1, EjectAfter: 3, EjectFor: time.Second, MaxEjectFor: time.Second},
		routing.DefaultPolicy(), "e1", "i", func(time.Time) ulid.ULID { return ulid.ULID{} })
	r.SetPeers(now, []string{"e1"}, nil)
	r.SetPools(now, map[string]spec.Pool{"p": {Name: "p", Slots: 8, Connections: 60, Classes: []spec.Class{
		{Name: "c", Priority: spec.Urgent, Repeatable: true, Deadline: time.Second, Queue: 1000},
	}}})
	var all []routing.Target
	for i := range targets {
		all = append(all, routing.Target{Name: fmt.Sprint("t", i), Address: "127.0.0.1:1", Pool: "p"})
	}
	r.SetTargets(now, all)
	random := rand.New(rand.NewPCG(1, 1))
	const requests = 20_000
	var open []request.ID
	start := time.Now()
	for i := range requests {
		now = now.Add(100 * time.Microsecond)
		r.Arrived(now, request.Arrival{ID: request.ID(i), Pool: "p", Class: "c"})
		open = append(open, request.ID(i))
		if len(open) > targets*4 {
			at := random.IntN(len(open))
			r.Answered(now, event.TargetAnswered{ID: open[at], Attempt: 1, Verdict: verdict.Ran})
			open = append(open[:at], open[at+1:]...)
		}
	}
	return time.Since(start).Seconds() * 1e6 / requests
}

// measurePeers measures the time for one second of heartbeats by the number of peers in a domain.
func measurePeers(s *slopes) {
	var points []point
	for _, peers := range []int{2, 4, 7, 14} {
		points = append(points, point{float64(peers), peersCost(peers)})
	}
	s.helloPeers = newSlope("a second of heartbeats in one box", "peers", "µs", points)
}

// peersCost returns the µs that a box spends on one second of heartbeats. The given number of
// peers includes the box itself.
func peersCost(peers int) float64 {
	now := time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	hello := func(i int) peer.Hello {
		return peer.Hello{Box: fmt.Sprint("e", i), Incarnation: "i", Domain: "a", Address: fmt.Sprintf("127.0.0.1:%d", i+1)}
	}
	m := membership.New(membership.Settings{HeartbeatInterval: 500 * time.Millisecond, DeadAfter: 2 * time.Second}, hello(0))
	var l box.List
	for i := range peers {
		l.Boxes = append(l.Boxes, box.Box{Name: fmt.Sprint("e", i), Role: box.Entry, Domain: "a", Address: hello(i).Address, State: box.Live})
	}
	m.SetBoxes(now, l)
	const seconds = 200
	start := time.Now()
	for tick := range seconds * 40 {
		now = now.Add(25 * time.Millisecond)
		m.Tick(now, 1)
		if tick%20 == 0 {
			for i := 1; i < peers; i++ {
				m.RecordHello(now, hello(i))
			}
		}
	}
	return time.Since(start).Seconds() * 1e6 / seconds
}
