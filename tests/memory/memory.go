// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package memory plays the platform in the memory of a test process: a log
// whose records have keys, workers that take single orders, and no advice.
package memory

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/resource"
	"saddlevane/models/stream"
	"saddlevane/services/jobrun"
)

// Platform is a platform with one pool of workers. It may be used by several
// processes at once.
type Platform struct {
	mu      sync.Mutex
	changed chan struct{}
	streams map[stream.Name][]stream.Record
	epoch   int64
	next    int64
	workers map[string]*worker
	// runs counts how often each task was started.
	runs map[string]int
	down bool
}

type worker struct {
	fence int64
	ended []order.End
	last  int64
}

// taskTime is how long a task runs.
const taskTime = 30 * time.Millisecond

// New returns a platform with a configuration and some workers.
func New(config job.Config, workers int) (*Platform, error) {
	p := &Platform{
		changed: make(chan struct{}), streams: map[stream.Name][]stream.Record{}, workers: map[string]*worker{}, runs: map[string]int{},
	}
	value, err := json.Marshal(config)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	p.streams[stream.Config] = []stream.Record{{Key: "config", Value: value}}
	for i := range workers {
		p.workers[fmt.Sprintf("w%d", i)] = &worker{}
	}
	return p, nil
}

// Calls returns what a process calls.
func (p *Platform) Calls() jobrun.Platform {
	return jobrun.Platform{
		Log:     jobrun.Log{Append: p.append, Read: p.read, Newest: p.newest},
		Workers: jobrun.Workers{Renew: p.renew, Start: p.start, Stop: p.stop},
		Advise: func(context.Context, job.StepID, []string) ([]order.Ticket, error) {
			return nil, nil
		},
		Config: p.config, Listing: p.listing,
	}
}

// SetDown makes the log refuse all calls, or answer again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// Runs returns how often a task was started.
func (p *Platform) Runs(task string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[task]
}

func (p *Platform) append(_ context.Context, a stream.Append) (int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return 0, stream.ErrNotDone
	}
	end := int64(len(p.streams[a.Stream]))
	if a.At != nil && *a.At != end {
		return 0, &stream.MovedError{End: end}
	}
	if w := a.Writer; w != nil {
		if w.Epoch < p.epoch {
			return 0, stream.ErrFenced
		}
		if w.Epoch == p.epoch && w.Sequence < p.next {
			return 0, stream.ErrDone
		}
		p.epoch, p.next = w.Epoch, w.Sequence+1
	}
	for _, r := range a.Records {
		r.Offset = int64(len(p.streams[a.Stream]))
		p.streams[a.Stream] = append(p.streams[a.Stream], r)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return end + int64(len(a.Records)) - 1, nil
}

func (p *Platform) read(ctx context.Context, name stream.Name, from int64, wait time.Duration) (stream.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		all, changed, down := p.streams[name], p.changed, p.down
		p.mu.Unlock()
		if down {
			return stream.Page{}, stream.ErrNotDone
		}
		if int64(len(all)) > from {
			return stream.Page{Records: all[from:], Next: int64(len(all))}, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return stream.Page{Next: from}, nil
		case <-ctx.Done():
			return stream.Page{}, ctx.Err()
		}
	}
}

func (p *Platform) newest(_ context.Context, name stream.Name) (stream.Page, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return stream.Page{}, stream.ErrNotDone
	}
	last := map[string]int64{}
	for _, r := range p.streams[name] {
		last[r.Key] = r.Offset
	}
	page := stream.Page{Next: int64(len(p.streams[name]))}
	for _, r := range p.streams[name] {
		if last[r.Key] == r.Offset && !r.Dropped() {
			page.Records = append(page.Records, r)
		}
	}
	return page, nil
}

func (p *Platform) config(records []stream.Record) (job.Config, bool, error) {
	var c job.Config
	if len(records) == 0 {
		return c, false, nil
	}
	err := json.Unmarshal(records[len(records)-1].Value, &c)
	return c, err == nil, err
}

// listing names all workers; the records are not looked at.
func (p *Platform) listing([]stream.Record) order.Listing {
	var l order.Listing
	for id := range p.workers {
		l.Present = append(l.Present, order.Worker{
			ID: id, Address: id, Pool: "pool", Domain: "a",
			Capacity: resource.Vector{Processors: 8 * resource.Processor, Memory: 8 * resource.GiB},
		})
	}
	return l
}

func (p *Platform) renew(ctx context.Context, _, id string, r order.Renew) (order.Report, order.Answer) {
	deadline := time.Now().Add(r.Wait.Duration())
	for {
		report, answer, done := p.look(id, r)
		if done || !time.Now().Before(deadline) {
			return report, answer
		}
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return order.Report{}, order.Answer{Fate: order.Unknown, Problem: ctx.Err().Error()}
		}
	}
}

func (p *Platform) look(id string, r order.Renew) (order.Report, order.Answer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[id]
	if r.Fence < w.fence {
		return order.Report{}, order.Answer{Fate: order.Refused, Reason: order.Fenced}, true
	}
	w.fence = r.Fence
	for len(w.ended) > 0 && w.ended[0].Number <= r.Seen {
		w.ended = w.ended[1:]
	}
	clock := order.WorkerClock(time.Now().UnixMilli())
	report := order.Report{Clock: clock, Ended: append([]order.End(nil), w.ended...)}
	return report, order.Answer{Fate: order.Carried, Clock: clock}, len(w.ended) > 0
}

func (p *Platform) start(_ context.Context, _, id string, s order.Start) order.Answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[id]
	if s.Fence < w.fence {
		return order.Answer{Fate: order.Refused, Reason: order.Fenced}
	}
	p.runs[s.Task.String()]++
	time.AfterFunc(taskTime, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		w.last++
		w.ended = append(w.ended, order.End{Number: w.last, Run: s.Run, How: order.Done})
	})
	return order.Answer{Fate: order.Carried, Clock: order.WorkerClock(time.Now().UnixMilli())}
}

func (p *Platform) stop(context.Context, string, string, order.Stop) order.Answer {
	return order.Answer{Fate: order.Carried, Clock: order.WorkerClock(time.Now().UnixMilli())}
}
