// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package memory

import (
	"context"
	"time"

	"saddlevane/models/order"
	"saddlevane/models/resource"
	"saddlevane/models/stream"
)

// worker is a simulated worker with the runs in progress and the ends that are not yet
// acknowledged.
type worker struct {
	fence   int64
	running map[order.Run]bool
	ended   []order.End
	lastEnd int64
}

// taskDuration is how long each task runs.
const taskDuration = 30 * time.Millisecond

// StartCount returns how often a task was started, over all workers.
func (p *Platform) StartCount(task string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startCounts[task]
}

// listing returns all workers, whatever the records contain.
func (p *Platform) listing([]stream.Record) order.Listing {
	var l order.Listing
	for id := range p.workers {
		l.Present = append(l.Present, order.Worker{
			Incarnation: order.Incarnation{Name: id}, Address: id, Pool: "pool", Domain: "a",
			Capacity: resource.Vector{Processors: 8 * resource.Processor, Memory: 8 * resource.GiB},
		})
	}
	return l
}

// renew repeats renewOnce until it has a final result or r.MaxWait is over.
func (p *Platform) renew(ctx context.Context, _ string, of order.Incarnation, r order.Renew) (order.Report, order.Answer) {
	deadline := time.Now().Add(r.MaxWait.Duration())
	for {
		report, answer, done := p.renewOnce(of.Name, r)
		if done || !time.Now().Before(deadline) {
			return report, answer
		}
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return order.Report{}, order.Answer{Outcome: order.Unknown, Problem: ctx.Err().Error()}
		}
	}
}

// renewOnce renews the lease on a worker. It returns true if the caller need not wait:
// the renewal was refused, or the report has ends of runs.
func (p *Platform) renewOnce(id string, r order.Renew) (order.Report, order.Answer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[id]
	if r.Fence < w.fence {
		return order.Report{}, order.Answer{Outcome: order.Refused, Reason: order.Fenced}, true
	}
	w.fence = r.Fence
	for len(w.ended) > 0 && w.ended[0].Number <= r.Acknowledged {
		w.ended = w.ended[1:]
	}
	clock := order.WorkerClock(time.Now().UnixMilli())
	var running []order.Running
	for run := range w.running {
		running = append(running, order.Running{Run: run, Progress: 100})
	}
	report := order.Report{
		Incarnation: order.Incarnation{Name: id}, Clock: clock, Running: running, Ended: append([]order.End(nil), w.ended...),
	}
	return report, order.Answer{Outcome: order.CarriedOut, Clock: clock}, len(w.ended) > 0
}

// start starts a run, which succeeds after taskDuration.
func (p *Platform) start(_ context.Context, _ string, of order.Incarnation, s order.Start) order.Answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[of.Name]
	if s.Fence < w.fence {
		return order.Answer{Outcome: order.Refused, Reason: order.Fenced}
	}
	p.startCounts[s.Task.String()]++
	w.running[s.Run] = true
	time.AfterFunc(taskDuration, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(w.running, s.Run)
		w.lastEnd++
		w.ended = append(w.ended, order.End{Number: w.lastEnd, Run: s.Run, Status: order.Done})
	})
	return order.Answer{Outcome: order.CarriedOut, Clock: order.WorkerClock(time.Now().UnixMilli())}
}

// stop succeeds without stopping anything; the run ends by itself.
func (p *Platform) stop(context.Context, string, order.Incarnation, order.Stop) order.Answer {
	return order.Answer{Outcome: order.CarriedOut, Clock: order.WorkerClock(time.Now().UnixMilli())}
}

// throttle succeeds without an effect.
func (p *Platform) throttle(context.Context, string, order.Incarnation, order.Throttle) order.Answer {
	return order.Answer{Outcome: order.CarriedOut, Clock: order.WorkerClock(time.Now().UnixMilli())}
}
