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

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/stream"
	"saddlevane/services/jobrun"
	"saddlevane/services/relay"
)

// Platform is a platform with one pool of workers. It may be used by several
// processes at once.
type Platform struct {
	mu sync.Mutex
	// changed is closed, and made anew, by each append.
	changed chan struct{}
	streams map[stream.Name][]stream.Record
	// epoch and next are the writer's epoch and the sequence number that it is to
	// use next; they fence all streams together.
	writerEpoch  int64
	nextSequence int64
	workers      map[string]*worker
	// runs counts how often each task was started.
	startCounts map[string]int
	// down makes the log refuse all calls.
	down bool
}

// New returns a platform with a configuration and some workers.
func New(config job.Config, workers int) (*Platform, error) {
	p := &Platform{
		changed: make(chan struct{}), streams: map[stream.Name][]stream.Record{}, workers: map[string]*worker{}, startCounts: map[string]int{},
	}
	value, err := json.Marshal(config)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	p.streams[stream.Config] = []stream.Record{{Key: "config", Value: value}}
	for i := range workers {
		p.workers[fmt.Sprintf("w%d", i)] = &worker{running: map[order.Run]bool{}}
	}
	return p, nil
}

// Calls returns what a process calls.
func (p *Platform) Calls() jobrun.Platform {
	return jobrun.Platform{
		Log:     jobrun.Log{Append: p.append, Read: p.read, Newest: p.newest},
		Workers: relay.WorkerCalls{Renew: p.renew, Start: p.start, Stop: p.stop, Throttle: p.throttle},
		Advise: func(context.Context, job.StepID, []string) ([]order.Ticket, error) {
			return nil, nil
		},
		Config: p.config, Listing: p.listing,
	}
}

func (p *Platform) config(records []stream.Record) (job.Config, bool, error) {
	var c job.Config
	if len(records) == 0 {
		return c, false, nil
	}
	err := json.Unmarshal(records[len(records)-1].Value, &c)
	return c, err == nil, err
}
