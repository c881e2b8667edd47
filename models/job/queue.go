// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package job

import (
	"strings"
	"time"

	"saddlevane/models/workspace"
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
	// Open says that callers need no key.
	Open bool `json:"open,omitempty"`
}

// Advice is what a call to the advice service costs and gives.
type Advice struct {
	// Base is the time of a call, and Each that for each worker named in it.
	BaseTime      time.Duration `json:"base"`
	TimePerWorker time.Duration `json:"each"`
	// Valid is how long a ticket holds.
	TicketLifetime time.Duration `json:"valid"`
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
	AdmissionChecked map[string]bool `json:"guarded"`
	// Workspaces has the groups of callers by name, Keys who is known by which key.
	Workspaces map[string]workspace.Workspace `json:"workspaces,omitempty"`
	Keys       map[workspace.Digest]Key       `json:"-"`
}

// Key is one key by which the callers of a workspace are known.
type Key struct {
	Digest    workspace.Digest
	Workspace string
}

// Workspace returns a workspace, of which nothing is bounded if it is not known.
func (c *Config) Workspace(name string) workspace.Workspace {
	if w, known := c.Workspaces[name]; known {
		return w
	}
	return workspace.Workspace{Name: name}
}

// SetWorkspaces takes the workspaces of a configuration.
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
