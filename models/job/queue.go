// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package job

import (
	"strings"
	"time"
)

// Queue is how an operator's configuration treats the jobs of one kind.
type Queue struct {
	Name string `json:"name"`
	// Pool names the workers that run the tasks.
	Pool string `json:"pool"`
	// Priority orders the queues; 0 goes first.
	Priority int `json:"priority"`
	// Attempts is how often a task may end failed before its job has failed.
	Attempts int `json:"attempts"`
	// Stretch times the longest chain of a job's work, plus Latency, is the
	// time within which the job is wanted.
	Stretch float64       `json:"stretch"`
	Latency time.Duration `json:"latency"`
	// Advice is set if only some workers may run a step.
	Advice *Advice `json:"advice,omitempty"`
}

// Advice is what a call to the advice service costs and gives.
type Advice struct {
	// Base is the time of a call, and Each that for each worker named in it.
	Base time.Duration `json:"base"`
	Each time.Duration `json:"each"`
	// Valid is how long a ticket holds.
	Valid time.Duration `json:"valid"`
}

// Route names the queue that a caller's address and path stand for.
type Route struct {
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	Queue  string `json:"queue"`
}

// Config is a complete configuration in force.
type Config struct {
	Version int64            `json:"version"`
	Queues  map[string]Queue `json:"queues"`
	Routes  []Route          `json:"routes"`
	// Guarded names the pools whose workers refuse what does not fit.
	Guarded map[string]bool `json:"guarded"`
}

// Match returns the queue that a caller means and the rest of the path. The
// longest prefix goes first.
func (c *Config) Match(host, path string) (queue, rest string, ok bool) {
	longest := -1
	for _, r := range c.Routes {
		if r.Host == host && len(r.Prefix) > longest && strings.HasPrefix(path, r.Prefix) {
			longest = len(r.Prefix)
			queue, rest, ok = r.Queue, path[len(r.Prefix):], true
		}
	}
	return queue, rest, ok
}
