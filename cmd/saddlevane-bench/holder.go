// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"syscall"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/resource"
	"saddlevane/models/stream"
	"saddlevane/modules/clock"
	"saddlevane/modules/logger"
	"saddlevane/services/authority"
	"saddlevane/services/dispatch"
	"saddlevane/services/jobrun"
	"saddlevane/services/relay"
	"saddlevane/tests/memory"

	"github.com/sourcegraph/conc"
)

// holderOptions are the options of the benchmark of a holder.
type holderOptions struct {
	workers, relays int
	// starts is the number of tasks to start per second, width the number of tasks of a job.
	starts, width int
	// period is how long the load is measured, after holderSettlePeriod under load.
	period time.Duration
	// profile is the file to write a CPU profile of the holder to, or empty.
	profile string
}

const (
	holderSettlePeriod = 4 * time.Second
	// holderTask is the estimated run time of a task.
	holderTask = 800 * time.Millisecond
	// holderSpecBytes is the length of the text that a job passes to its workers.
	holderSpecBytes = 100
)

// holderNeed is what each task takes of its worker.
var holderNeed = resource.Vector{Processors: 16 * resource.Processor, Memory: 16 * resource.GiB}

// holderConfig returns the configuration of the measured cell: one queue of short tasks.
func holderConfig() job.Config {
	return job.Config{
		Version: 1, Queues: map[string]job.Queue{"q": {Name: "q", Pool: "pool", Attempts: 3, Stretch: 1.5, Latency: 250 * time.Millisecond, Open: true}},
		Routes: []job.Route{{Host: "h.example", Prefix: "/q/", Queue: "q"}},
	}
}

// holderSettings returns the settings of a box, with the defaults of the daemon.
func holderSettings() jobrun.Settings {
	return jobrun.Settings{
		Dispatch: dispatch.Settings{
			Authority: authority.Settings{RenewInterval: 400 * time.Millisecond, HoldFor: 1400 * time.Millisecond, ClaimAfter: 1550 * time.Millisecond, OutsiderClaimAfter: 10 * time.Second},
			Lease:     workerLease, MaxLease: time.Minute, RenewWait: renewWait, OrderTimeout: 300 * time.Millisecond, AppendInterval: appendInterval,
			EndedRetention: 150 * time.Second, StopGrace: 1500 * time.Millisecond,
			ConfigPropagation: configBound, EvacuationPropagation: configBound, ShareWindow: 5 * time.Second,
		},
		Tick: tickInterval, ReadWait: 500 * time.Millisecond, WorkersInterval: 300 * time.Millisecond, CallTimeout: 900 * time.Millisecond,
		Relays: relay.Limits{MinWorkers: 1, WorkersPerRelay: 48}, PeerTimeout: 700 * time.Millisecond,
		ProbeAfter: time.Second, AnswerTimeout: 250 * time.Millisecond,
	}
}

// benchBox is an entry box that runs in this process.
type benchBox struct {
	loop  *jobrun.Loop
	peers *jobrun.Peers
	self  claim.Member
}

// startBenchBox starts a box whose log lines are formatted and discarded.
func startBenchBox(name, domain string, size int64, on jobrun.Platform) (*benchBox, error) {
	c, err := clock.New()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	log, err := logger.New(io.Discard, "info", logger.FormatJSON)
	if err != nil {
		return nil, err
	}
	b := &benchBox{self: claim.Member{Box: name, Incarnation: name, Domain: domain, Address: listener.Addr().String(), Size: size}}
	b.loop = jobrun.NewLoop(holderSettings(), b.self, on, log.WithField("box", name), c)
	b.peers = jobrun.NewPeers(listener, b.loop)
	b.loop.Run(b.peers)
	b.peers.Serve()
	return b, nil
}

// close stops the box.
func (b *benchBox) close() {
	b.peers.Close()
	b.loop.Close()
}

// benchDomain returns the failure domain of the box or worker with the given number.
func benchDomain(number int) string { return fmt.Sprintf("d%d", number%benchDomains) }

// benchDomains is the number of failure domains of the measured cell.
const benchDomains = 5

// benchHolder runs the holder of a cell in this process, its relays and workers in another one, and
// prints what the holder's process uses per second and per start.
func benchHolder(out io.Writer, o holderOptions) error {
	relays, err := startRelayProcess(o)
	if err != nil {
		return err
	}
	defer relays.stop()
	on, err := memory.New(holderConfig(), 0)
	if err != nil {
		return err
	}
	calls := on.Calls()
	calls.Listing = func([]stream.Record) order.Listing { return benchListing(o.workers) }
	calls.Workers = unreachableWorkers()
	for _, m := range relays.members {
		if err := announce(calls.Log, m); err != nil {
			return err
		}
	}
	b, err := startBenchBox("holder", benchDomain(0), 1600, calls)
	if err != nil {
		return err
	}
	defer b.close()
	load := &holderLoad{box: b, options: o}
	var tasks conc.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	defer tasks.Wait()
	defer cancel()
	if err := load.awaitWorkers(ctx); err != nil {
		return err
	}
	tasks.Go(func() { load.run(ctx) })
	clock.Wait(ctx, holderSettlePeriod)
	return withProfile(o.profile, func() { load.measure(out) })
}

// unreachableWorkers returns the functions that give orders to workers without a relay. The workers are
// in another process, so the orders fail.
func unreachableWorkers() relay.WorkerCalls {
	a := order.Answer{Outcome: order.NotDone, Problem: "the worker is reached through relays only"}
	return relay.WorkerCalls{
		Renew: func(context.Context, string, order.Incarnation, order.Renew) (order.Report, order.Answer) {
			return order.Report{}, a
		},
		Start:    func(context.Context, string, order.Incarnation, order.Start) order.Answer { return a },
		Stop:     func(context.Context, string, order.Incarnation, order.Stop) order.Answer { return a },
		Throttle: func(context.Context, string, order.Incarnation, order.Throttle) order.Answer { return a },
	}
}

// announce appends the announcement of a box to the log.
func announce(log jobrun.Log, m claim.Member) error {
	value, err := json.Marshal(m)
	if err != nil {
		return err
	}
	_, err = log.Append(context.Background(), stream.Append{Stream: stream.Boxes, Records: []stream.Record{{Key: m.Box, Value: value}}})
	return err
}

// benchListing returns the list of workers.
func benchListing(workers int) order.Listing {
	var l order.Listing
	for i := range workers {
		l.Present = append(l.Present, order.Worker{
			Incarnation: order.Incarnation{Name: benchWorkerName(i), BornUnixMilli: 1}, Address: fmt.Sprintf("127.0.0.1:%d", i+1), Pool: "pool", Domain: benchDomain(i),
			Capacity: resource.Vector{Processors: 64 * resource.Processor, Memory: 128 * resource.GiB},
		})
	}
	return l
}

// benchWorkerName returns the name of a worker.
func benchWorkerName(number int) string { return fmt.Sprintf("w-%05d", number) }

// holderLoad submits jobs to a holder and measures its process.
type holderLoad struct {
	box     *benchBox
	options holderOptions
}

// awaitTimeout bounds the time until the box holds the cell and runs a first job.
const awaitTimeout = 30 * time.Second

// awaitWorkers waits until a first job has run.
func (l *holderLoad) awaitWorkers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	for ctx.Err() == nil {
		a := l.box.loop.Serve(ctx, jobrun.Request{Submit: l.submission("first")})
		if a.Outcome == exchange.OK && a.State == job.Succeeded {
			return nil
		}
		clock.Wait(ctx, tickInterval)
	}
	return fmt.Errorf("no job has run within %v", awaitTimeout)
}

// submission returns a job of short tasks.
func (l *holderLoad) submission(id string) *job.Submission {
	spec := make([]byte, holderSpecBytes)
	for i := range spec {
		spec[i] = 'x'
	}
	return &job.Submission{ID: job.ID(id), Queue: "q", Spec: string(spec), Steps: []job.Step{{
		Tasks: l.options.width, Need: holderNeed, Estimate: job.Milliseconds(holderTask.Milliseconds()),
	}}}
}

// run submits jobs at a constant rate until ctx ends.
func (l *holderLoad) run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	ticker := time.NewTicker(time.Second * time.Duration(l.options.width) / time.Duration(l.options.starts))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s := l.submission(fmt.Sprintf("j%08x", n))
			tasks.Go(func() { l.box.loop.Serve(ctx, jobrun.Request{Submit: s}) })
		}
	}
}

// usage is what a process has used so far.
type usage struct {
	processor      time.Duration
	mallocs, bytes uint64
	collections    uint32
}

// readUsage returns what this process has used so far.
func readUsage() usage {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		fmt.Fprintln(os.Stderr, "saddlevane-bench: reading the processor time:", err)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{processor: time.Duration(r.Utime.Nano() + r.Stime.Nano()), mallocs: m.Mallocs, bytes: m.TotalAlloc, collections: m.NumGC}
}

// measure prints what the process of the holder uses in the measured period.
func (l *holderLoad) measure(out io.Writer) {
	before, counted := readUsage(), l.counters()
	began := time.Now()
	time.Sleep(l.options.period)
	seconds := time.Since(began).Seconds()
	after, counts := readUsage(), l.counters()
	starts := counts["start"] - counted["start"]
	fmt.Fprintf(out, "starts/s %.0f, renewals/s %.0f, processor %.1f ms/s, %.1f µs/start, %.1f allocations/start, %.0f B/start, collections/s %.1f, goroutines %d\n",
		starts/seconds, (counts["renew"]-counted["renew"])/seconds, float64((after.processor-before.processor).Microseconds())/1000/seconds,
		float64((after.processor-before.processor).Microseconds())/starts, float64(after.mallocs-before.mallocs)/starts, float64(after.bytes-before.bytes)/starts,
		float64(after.collections-before.collections)/seconds, runtime.NumGoroutine())
}

// counters returns the numbers of orders so far, by kind.
func (l *holderLoad) counters() map[string]float64 {
	counts := map[string]float64{}
	families, err := l.box.loop.Metrics().Gatherer().Gather()
	if err != nil {
		fmt.Fprintln(os.Stderr, "saddlevane-bench: reading the metrics:", err)
	}
	for _, f := range families {
		if f.GetName() != "saddlevane_worker_orders_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			for _, label := range m.GetLabel() {
				if label.GetName() == "order" {
					counts[label.GetValue()] += m.GetCounter().GetValue()
				}
			}
		}
	}
	return counts
}
