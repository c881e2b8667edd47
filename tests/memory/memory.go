// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package memory simulates the platform in the memory of a test process: a log with
// keyed records, and workers that execute single orders. It gives no advice.
package memory

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"

	"saddlevane/models/evacuation"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/stream"
	"saddlevane/services/jobrun"
	"saddlevane/services/relay"
)

// Platform is a simulated platform with one pool of workers. It is safe for concurrent
// use by several processes under test.
type Platform struct {
	mu sync.Mutex
	// changed is closed and replaced by each append.
	changed chan struct{}
	streams map[stream.Name][]stream.Record
	// writerEpoch and nextSequence are the epoch of the current writer and the next
	// sequence number that it may use. They fence the appends to all streams together.
	writerEpoch  int64
	nextSequence int64
	workers      map[string]*worker
	// startCounts is how often each task was started.
	startCounts map[string]int
	// down makes all calls to the log fail.
	down bool
}

// New returns a platform with a configuration and the given number of workers.
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

// Calls returns the functions by which a process under test calls the platform.
func (p *Platform) Calls() jobrun.Platform {
	return jobrun.Platform{
		Log:     jobrun.Log{Append: p.append, Read: p.read, Newest: p.newest},
		Workers: relay.WorkerCalls{Renew: p.renew, Start: p.start, Stop: p.stop, Throttle: p.throttle},
		Advise: func(context.Context, job.StepID, []string) ([]order.Ticket, error) {
			return nil, nil
		},
		Config: p.config, Listing: p.listing, Evacuations: evacuations, EvacuationRecord: evacuationRecord,
	}
}

// evacuationPrefix precedes the failure domain in the key of a request to evacuate it.
const evacuationPrefix = "evacuate/"

// evacuations returns the evacuations that a page of the stream of configurations contains.
func evacuations(page stream.Page, complete bool) evacuation.Update {
	u := evacuation.Update{Complete: complete, Next: page.Next}
	for _, r := range page.Records {
		if domain, found := strings.CutPrefix(r.Key, evacuationPrefix); found {
			u.Changes = append(u.Changes, evacuation.Change{Domain: domain, Requested: !r.IsTombstone(), Offset: r.Offset})
		}
	}
	return u
}

// evacuationRecord returns the record that requests the evacuation of a domain or withdraws the
// request.
func evacuationRecord(domain string, requested bool) stream.Record {
	r := stream.Record{Key: evacuationPrefix + domain}
	if requested {
		r.Value = []byte("{}")
	}
	return r
}

// config returns the configuration in the newest of the records, and whether there is one.
func (p *Platform) config(records []stream.Record) (job.Config, bool, error) {
	var c job.Config
	if len(records) == 0 {
		return c, false, nil
	}
	err := json.Unmarshal(records[len(records)-1].Value, &c)
	return c, err == nil, err
}
