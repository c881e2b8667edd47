// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/order"
	"saddlevane/services/relay"
	"saddlevane/tests/memory"
)

// relayProcess is the process that runs the relays and workers of a measured holder.
type relayProcess struct {
	command *exec.Cmd
	stdin   io.Closer
	// members are the relays.
	members []claim.Member
}

// startRelayProcess starts the process and waits for its relays.
func startRelayProcess(o holderOptions) (*relayProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &relayProcess{command: exec.Command(self, "relays", strconv.Itoa(o.relays), strconv.Itoa(o.workers))}
	p.command.Stderr = os.Stderr
	in, err := p.command.StdinPipe()
	if err != nil {
		return nil, err
	}
	p.stdin = in
	stdout, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	if err := json.NewDecoder(stdout).Decode(&p.members); err != nil {
		p.stop()
		return nil, fmt.Errorf("the relays: %w", err)
	}
	return p, nil
}

// stop ends the process, which ends with its standard input.
func (p *relayProcess) stop() {
	_ = p.stdin.Close()
	if err := p.command.Wait(); err != nil {
		fmt.Fprintln(os.Stderr, "saddlevane-bench: the relays:", err)
	}
}

// benchRelays runs relays and workers in this process until in ends, and first prints the relays to out.
func benchRelays(in io.Reader, out io.Writer, args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("want the numbers of relays and workers, got %q", args)
	}
	relays, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	workers, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	on, err := memory.New(holderConfig(), 0)
	if err != nil {
		return err
	}
	// Without a log, no relay claims the cell.
	on.SetDown(true)
	calls, cell := on.Calls(), newBenchWorkers(workers)
	calls.Workers = cell.calls()
	var members []claim.Member
	for i := range relays {
		b, err := startBenchBox(fmt.Sprintf("relay-%03d", i), benchDomain(i), 192, calls)
		if err != nil {
			return err
		}
		defer b.close()
		members = append(members, b.self)
	}
	if err := json.NewEncoder(out).Encode(members); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, in)
	return err
}

// benchWorkers are workers in memory that carry out all orders.
type benchWorkers struct {
	startedAt time.Time
	workers   map[string]*benchWorker
}

// benchWorker is one of benchWorkers.
type benchWorker struct {
	mu      sync.Mutex
	running map[order.Run]benchRun
	ended   []order.End
	lastEnd int64
	// changed is closed and replaced when a run ends.
	changed chan struct{}
}

// benchRun is a run in progress.
type benchRun struct {
	startedAt time.Time
	duration  time.Duration
}

// progress returns how much of the work is done at now, in percent.
func (r benchRun) progress(now time.Time) int {
	return min(100, int(100*now.Sub(r.startedAt)/r.duration))
}

func newBenchWorkers(n int) *benchWorkers {
	all := &benchWorkers{startedAt: time.Now(), workers: map[string]*benchWorker{}}
	for i := range n {
		all.workers[benchWorkerName(i)] = &benchWorker{running: map[order.Run]benchRun{}, changed: make(chan struct{})}
	}
	return all
}

// calls returns the functions that give orders to the workers.
func (b *benchWorkers) calls() relay.WorkerCalls {
	return relay.WorkerCalls{
		Renew: b.renew, Start: b.start,
		Stop:     func(context.Context, string, order.Incarnation, order.Stop) order.Answer { return b.answer() },
		Throttle: func(context.Context, string, order.Incarnation, order.Throttle) order.Answer { return b.answer() },
	}
}

// answer returns the answer to an order that was carried out.
func (b *benchWorkers) answer() order.Answer {
	return order.Answer{Outcome: order.CarriedOut, Clock: order.WorkerClock(time.Since(b.startedAt).Milliseconds() + 1)}
}

// renew waits for an end that is not acknowledged, and returns a report.
func (b *benchWorkers) renew(ctx context.Context, _ string, of order.Incarnation, r order.Renew) (order.Report, order.Answer) {
	w := b.workers[of.Name]
	timer := time.NewTimer(r.MaxWait.Duration())
	defer timer.Stop()
	for waiting := true; ; {
		report, changed := w.report(of.Name, r.Acknowledged)
		if len(report.Ended) > 0 || !waiting {
			answer := b.answer()
			report.Clock = answer.Clock
			return report, answer
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			return order.Report{}, order.Answer{Outcome: order.Unknown, Problem: ctx.Err().Error()}
		}
	}
}

// report returns the runs of the worker, without the acknowledged ends, and a channel that is closed
// at the next end.
func (w *benchWorker) report(name string, acknowledged int64) (order.Report, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.ended) > 0 && w.ended[0].Number <= acknowledged {
		w.ended = w.ended[1:]
	}
	report := order.Report{Incarnation: order.Incarnation{Name: name, BornUnixMilli: 1}, Ended: append([]order.End(nil), w.ended...)}
	now := time.Now()
	for id, run := range w.running {
		report.Running = append(report.Running, order.Running{Run: id, Progress: run.progress(now), Measurement: int64(holderNeed.Processors)})
	}
	return report, w.changed
}

// start starts a run, which ends after about holderTask.
func (b *benchWorkers) start(_ context.Context, _ string, of order.Incarnation, s order.Start) order.Answer {
	w := b.workers[of.Name]
	w.mu.Lock()
	defer w.mu.Unlock()
	// The factor is between 0.5 and 1.5.
	took := holderTask/2 + holderTask*time.Duration((s.Number*7+int64(s.Task.Index)*13)%100)/100
	w.running[s.Run] = benchRun{startedAt: time.Now(), duration: took}
	time.AfterFunc(took, func() { w.end(s.Run) })
	return b.answer()
}

// end ends a run.
func (w *benchWorker) end(run order.Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running, run)
	w.lastEnd++
	w.ended = append(w.ended, order.End{Number: w.lastEnd, Run: run, Status: order.Done})
	close(w.changed)
	w.changed = make(chan struct{})
}
