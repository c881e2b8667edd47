// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package core

import (
	"strconv"
	"strings"
	"time"

	"saddlevane/models/request"
	"saddlevane/models/status"
	"saddlevane/models/task"
	"saddlevane/services/routing"
)

// Ready reports whether the process should be sent callers' requests.
func (c *Core) Ready() bool { return c.reader.inForce && !c.members.Leaving() }

// IssueKey returns a key for a request that may not be repeated.
func (c *Core) IssueKey(now time.Time) request.Key { return c.router.IssueKey(now) }

// Counts returns how many requests have ended, by outcome.
func (c *Core) Counts() map[routing.CountKey]int64 { return c.router.Counts() }

// Status returns a summary of the process.
func (c *Core) Status(now time.Time) status.Process {
	s := status.Process{
		Box: c.self.Box, Incarnation: c.self.Incarnation, Domain: c.self.Domain, At: now,
		InForce: c.reader.inForce, Stopping: c.members.Leaving(), Live: c.members.Live(now),
		Log: status.Log{
			Next: c.ledger.NextOffset(), ReadFailing: c.reader.lastFailure,
			AppendFailing: c.journal.FailureReason(), Waiting: c.journal.Pending(),
		},
		Pools: c.router.Status(now),
	}
	for _, name := range c.ledger.Files() {
		f, _ := c.File(name)
		f.Data = ""
		s.Files = append(s.Files, f)
	}
	for _, id := range c.shardIDs() {
		s.Shards = append(s.Shards, c.holders[id].Status(now))
	}
	return s
}

// File returns the file in force under name.
func (c *Core) File(name string) (status.File, bool) {
	e, ok := c.ledger.Entry(name)
	if !ok || !c.reader.inForce {
		return status.File{}, false
	}
	return status.File{Name: name, Revision: e.Revision(), Retired: e.File().Retired, Data: e.Data()}, true
}

// Work returns the state of the objects of each shard that this process holds.
func (c *Core) Work() []status.Work {
	var all []status.Work
	for _, id := range c.shardIDs() {
		all = append(all, c.holders[id].Work()...)
	}
	return all
}

// Places returns tasks that have a place in the shards that this process holds, at most
// limit of them.
func (c *Core) Places(limit int) []status.Place {
	var all []status.Place
	for _, id := range c.shardIDs() {
		all = append(all, c.holders[id].Places(limit-len(all))...)
	}
	return all
}

// Explain returns why a task is in its state. The name is "name/index" or "name@born/index".
// It returns false if this process has no state of the task.
func (c *Core) Explain(name string) (status.Explanation, bool) {
	key, ok := c.findTask(name)
	if !ok {
		return status.Explanation{}, false
	}
	for _, id := range c.shardIDs() {
		if e, ok := c.holders[id].Explain(key); ok {
			return e, true
		}
	}
	return status.Explanation{}, false
}

// findTask returns the key of a task named as in Explain. A missing index means 0.
func (c *Core) findTask(name string) (task.Key, bool) {
	object, index, _ := strings.Cut(name, "/")
	if index == "" {
		index = "0"
	}
	i, err := strconv.Atoi(index)
	if err != nil || i < 0 {
		return task.Key{}, false
	}
	bare, _, _ := strings.Cut(object, "@")
	o, ok := c.ledger.ObjectByName(bare)
	if !ok || (strings.Contains(object, "@") && o.ID().String() != object) {
		return task.Key{}, false
	}
	return task.Key{Object: o.ID(), Index: i}, true
}

// Dump returns the whole state of the process, with lists truncated to status.MaxListed.
func (c *Core) Dump(now time.Time) status.Dump {
	d := status.Dump{
		Process: c.Status(now), Work: c.Work(), Places: c.Places(status.MaxListed),
		Requests: c.router.UnansweredCount(), Keys: c.router.KeyCount(),
	}
	for _, id := range c.shardIDs() {
		d.Workers = append(d.Workers, c.holders[id].Workers(now, status.MaxListed-len(d.Workers))...)
	}
	d.Truncated = len(d.Work) > status.MaxListed || len(d.Places) >= status.MaxListed || len(d.Workers) >= status.MaxListed
	d.Work = d.Work[:min(len(d.Work), status.MaxListed)]
	return d
}
