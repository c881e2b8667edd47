// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package job

import (
	"strings"
	"time"

	"saddlevane/models/workspace"
)

// Queue holds the operator's settings for the jobs of one queue.
type Queue struct {
	Name string `json:"name"`
	// Pool names the workers that run the tasks.
	Pool string `json:"pool"`
	// Priority orders the queues; 0 is the highest.
	Priority int `json:"priority"`
	// Attempts is how often a task may fail before its job fails.
	Attempts int `json:"attempts"`
	// Stretch and Latency set the deadline of a job: Stretch times the length of its critical
	// path, plus Latency.
	Stretch float64       `json:"stretch"`
	Latency time.Duration `json:"latency"`
	// Advice is set if the advice service decides which workers may run a step.
	Advice *Advice `json:"advice,omitempty"`
	// Open is set if callers need no key.
	Open bool `json:"open,omitempty"`
}

// Advice holds the cost of a call to the advice service and the lifetime of its tickets.
type Advice struct {
	// BaseTime is the fixed duration of a call. TimePerWorker is added for each worker it asks
	// about.
	BaseTime      time.Duration `json:"base"`
	TimePerWorker time.Duration `json:"each"`
	// TicketLifetime is how long a ticket is valid.
	TicketLifetime time.Duration `json:"valid"`
}

// Route maps requests to a host and a path prefix to a queue.
type Route struct {
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	Queue  string `json:"queue"`
}

// Config is one complete version of the configuration.
type Config struct {
	Version int64            `json:"version"`
	Queues  map[string]Queue `json:"queues"`
	Routes  []Route          `json:"routes"`
	// AdmissionChecked holds for each known pool whether its workers refuse starts that do not fit
	// their capacity.
	AdmissionChecked map[string]bool `json:"guarded"`
	// Workspaces holds the workspaces by name, Keys their keys by digest.
	Workspaces map[string]workspace.Workspace `json:"workspaces,omitempty"`
	Keys       map[workspace.Digest]Key       `json:"-"`
}

// Key is one key that identifies callers of a workspace.
type Key struct {
	Digest    workspace.Digest
	Workspace string
}

// Workspace returns the workspace with the given name, or one without a cap if it is unknown.
func (c *Config) Workspace(name string) workspace.Workspace {
	if w, known := c.Workspaces[name]; known {
		return w
	}
	return workspace.Workspace{Name: name}
}

// SetWorkspaces replaces the workspaces and their keys. It returns an error and changes nothing if
// they are invalid.
func (c *Config) SetWorkspaces(all []workspace.Workspace) error {
	if err := workspace.CheckAll(all); err != nil {
		return err
	}
	c.Workspaces, c.Keys = map[string]workspace.Workspace{}, map[workspace.Digest]Key{}
	for _, w := range all {
		c.Workspaces[w.Name] = w
		for _, k := range w.Keys {
			c.Keys[k] = Key{Digest: k, Workspace: w.Name}
		}
	}
	return nil
}

// Match returns the queue that a request to host and path is routed to, and the path without the
// matched prefix. The longest matching prefix wins. Ok is false if no route matches.
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
