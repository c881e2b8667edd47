// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package spec defines the declarative files that operators publish. A file is self-contained and is
// always replaced as a whole.
package spec

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"saddlevane/models/resource"
	"saddlevane/models/task"
)

// File is one published file.
type File struct {
	// Name identifies the file over all its revisions.
	Name string `yaml:"name"`
	// Retired, if set, ends everything that the file describes.
	Retired  bool      `yaml:"retired"`
	Racks    []Rack    `yaml:"racks"`
	Teams    []Team    `yaml:"teams"`
	Pools    []Pool    `yaml:"pools"`
	Services []Service `yaml:"services"`
	Jobs     []Job     `yaml:"jobs"`
	Gangs    []Gang    `yaml:"gangs"`
	// Drain names boxes that get no new work and whose running work is moved away.
	Drain []string `yaml:"drain"`
	// Settled assigns outcomes to tasks whose outcome is unknown.
	Settled []Settlement `yaml:"settled"`
}

// Rack is a group of workers that share a switch.
type Rack struct {
	Name   string `yaml:"name"`
	Domain string `yaml:"domain"`
	// Shard is the number, within the domain, of the group of racks on which one entry box places
	// tasks.
	Shard   int      `yaml:"shard"`
	Workers []string `yaml:"workers"`
	// Each is the capacity of each worker of the rack.
	Each resource.Vector `yaml:"each"`
}

// Team owns work and has a quota.
type Team struct {
	Name string `yaml:"name"`
	// Quota limits what the team's running tasks may reserve in the cell.
	Quota resource.Vector `yaml:"quota"`
	// Weight is the team's weight in fair sharing; 1 if not given.
	Weight float64 `yaml:"weight"`
}

// Pool is a set of equal targets that serve callers' requests.
type Pool struct {
	Name string `yaml:"name"`
	// Slots is how many requests one target serves concurrently.
	Slots int `yaml:"slots"`
	// Connections is how many connections one target accepts at most.
	Connections int     `yaml:"connections"`
	Classes     []Class `yaml:"classes"`
}

// Class is a kind of request to a pool.
type Class struct {
	Name       string   `yaml:"name"`
	Priority   Priority `yaml:"priority"`
	Repeatable bool     `yaml:"repeatable"`
	// Deadline limits the total time of a request, from its arrival to its answer.
	Deadline time.Duration `yaml:"deadline"`
	// Queue limits how many requests may wait at one entry box.
	Queue int `yaml:"queue"`
}

// Work holds the fields that services, jobs and gangs have in common.
type Work struct {
	Name     string   `yaml:"name"`
	Team     string   `yaml:"team"`
	Priority Priority `yaml:"priority"`
	// Count is the number of tasks.
	Count     int             `yaml:"count"`
	Resources resource.Vector `yaml:"resources"`
	Command   []string        `yaml:"command"`
	// Domains lists the failure domains where tasks may run; empty means all.
	Domains []string `yaml:"domains"`
}

// Service is a set of tasks that run until they are replaced.
type Service struct {
	Work
	// Spread is the widest group of workers that two tasks of the service should not share while
	// workers outside it have free capacity.
	Spread Spread `yaml:"spread"`
}

// Job is a set of tasks that run to completion independently of each other, in any order.
type Job struct {
	Work
	Batch
}

// Gang is a set of tasks that run to completion and must all start together.
type Gang struct {
	Work
	Batch
}

// Batch holds the fields that jobs and gangs have in common.
type Batch struct {
	// Repeatable is set if a task may be started again although an earlier attempt may have run.
	Repeatable bool `yaml:"repeatable"`
	// Expected is the run time of one task as the operator expects it.
	Expected time.Duration `yaml:"expected"`
	// Retries is how often a failed task is started again.
	Retries int `yaml:"retries"`
	// Deadline is the time after which no more tasks are started. The zero Timestamp means no
	// deadline.
	Deadline Timestamp `yaml:"deadline"`
	// Cancelled, if set, stops running tasks and prevents further starts.
	Cancelled bool `yaml:"cancelled"`
}

// Settlement assigns an outcome to a task whose outcome is unknown.
type Settlement struct {
	// Task is "name@born/index", as the status reports it.
	Task string  `yaml:"task"`
	As   Outcome `yaml:"as"`
}

// Key parses Task and returns the task that s settles.
func (s Settlement) Key() (task.Key, error) {
	object, index, ok := strings.Cut(s.Task, "/")
	if !ok {
		return task.Key{}, fmt.Errorf("want a task such as name@12/3, got %q", s.Task)
	}
	k := task.Key{}
	if err := k.Object.UnmarshalText([]byte(object)); err != nil {
		return task.Key{}, err
	}
	n, err := strconv.Atoi(index)
	if err != nil || n < 0 {
		return task.Key{}, fmt.Errorf("want a task such as name@12/3, got %q", s.Task)
	}
	k.Index = n
	return k, nil
}
