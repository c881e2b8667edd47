// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// decisions measures the reducer of one shard: placement throughput, packing quality, the
// placement weights, and how long urgent tasks wait.
func decisions(out io.Writer) error {
	fmt.Fprintln(out, "Placement by one holder: tasks of 4 shapes, until 8 a worker run; virtual time, workers answer at once.")
	fmt.Fprintln(out, "\n| workers | tasks | placements/s in Tick | µs a placement | answers/s | µs an answer | bytes a worker | bytes a task |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, workers := range []int{50, 1200, 21_000} {
		d := measureFill(workers)
		fmt.Fprintf(out, "| %d | %d | %.0f | %.1f | %.0f | %.1f | %.0f | %.0f |\n", workers, d.tasks,
			d.placementsPerSecond(), 1e6/d.placementsPerSecond(), d.answersPerSecond, 1e6/d.answersPerSecond, d.bytesPerWorker, d.bytesPerTask)
	}
	packing(out)
	sweepWeights(out)
	urgentBurst(out)
	return nil
}

// fillResult is the cost of filling a shard with tasks.
type fillResult struct {
	tasks            int
	decideTime       time.Duration
	answersPerSecond float64
	bytesPerWorker   float64
	bytesPerTask     float64
	idleTickTime     time.Duration
}

// placementsPerSecond returns the placements per second spent in the holder's Tick.
func (f fillResult) placementsPerSecond() float64 { return float64(f.tasks) / f.decideTime.Seconds() }

const tasksPerWorker = 8

// heapInUse returns the bytes of live heap objects after garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// measureFill fills a shard of the given number of workers with services and jobs of mixed
// shapes, tasksPerWorker per worker.
func measureFill(workers int) fillResult {
	before := heapInUse()
	r := newSimShard(workers, 1000)
	empty := heapInUse()
	want := workers * tasksPerWorker
	publishMixed(r, want)
	r.decideTime, r.answerTime, r.syncs = 0, 0, 0
	for tick := 0; r.starts() < want && tick < 5000; tick++ {
		r.tick()
	}
	f := fillResult{tasks: r.starts(), decideTime: r.decideTime}
	f.answersPerSecond = float64(r.syncs) / r.answerTime.Seconds()
	full := heapInUse()
	f.bytesPerWorker = float64(empty-before) / float64(workers)
	f.bytesPerTask = float64(full-empty) / float64(f.tasks)
	// Measure ticks with nothing to decide.
	r.decideTime = 0
	const idle = 40
	for range idle {
		r.tick()
	}
	f.idleTickTime = r.decideTime / idle
	runtime.KeepAlive(r)
	return f
}

// publishMixed publishes objects with the given number of tasks in total. One object in five is a
// service, the others are jobs.
func publishMixed(r *simShard, tasks int) {
	shapes := []string{"processors: 1, memory: 4GiB", "processors: 2, memory: 8GiB", "processors: 4, memory: 8GiB", "processors: 8, memory: 40GiB"}
	const tasksPerObject = 2000
	var services, jobs strings.Builder
	for n, i := tasks, 0; n > 0; n, i = n-tasksPerObject, i+1 {
		line := fmt.Sprintf("  - {name: o%d, team: t, count: %d, resources: {%s}, command: [serve]", i, min(n, tasksPerObject), shapes[i%len(shapes)])
		if i%5 == 0 {
			services.WriteString(line + "}\n")
		} else {
			jobs.WriteString(line + ", repeatable: true}\n")
		}
	}
	text := "services:\n" + services.String()
	if jobs.Len() > 0 {
		text += "jobs:\n" + jobs.String()
	}
	r.publish("work", text)
}

// urgentBurst measures how long a burst of urgent tasks waits at a full shard, compared with the
// same burst at batch priority.
func urgentBurst(out io.Writer) {
	fmt.Fprintln(out, "\nA burst of 200 urgent tasks of 4 processors at 150 workers full of batch tasks of 2 processors and 60 s, virtual time:")
	fmt.Fprintln(out, "\n| the burst's priority | p50 | p99 | max |")
	fmt.Fprintln(out, "| --- | --- | --- | --- |")
	for _, priority := range []string{"urgent", "batch"} {
		h := burstWait(priority)
		ms := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Millisecond }
		fmt.Fprintf(out, "| %s | %s | %s | %s |\n", priority, ms(50), ms(99), time.Duration(h.Max())*time.Millisecond)
	}
}

// burstWait returns the times in milliseconds from the publication of the burst to the start of each
// of its tasks.
func burstWait(priority string) *hdrhistogram.Histogram {
	r := newSimShard(150, 1000)
	r.publish("bulk", "jobs:\n  - {name: bulk, team: t, priority: batch, count: 20000, resources: {processors: 2, memory: 2GiB}, command: [sleep, 60s], repeatable: true}\n")
	for range 400 {
		r.tick()
	}
	start := r.now
	r.publish("rush", "jobs:\n  - {name: rush, team: t, priority: "+priority+", count: 200, resources: {processors: 4, memory: 2GiB}, command: [sleep, 20s], repeatable: true}\n")
	h := hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3)
	seen := map[string]bool{}
	const maxTicks = 40 * 600
	for range maxTicks {
		r.tick()
		for _, w := range r.workers {
			for _, s := range w.History() {
				if s.Task.Object.Name != "rush" || seen[s.Task.Key().String()] {
					continue
				}
				seen[s.Task.Key().String()] = true
				_ = h.RecordValue(max(s.Start-start.UnixMilli(), 1))
			}
		}
		if len(seen) == 200 {
			break
		}
	}
	return h
}
