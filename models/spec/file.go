// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package spec holds the declarative files that operators publish. A file is
// complete in itself and is always replaced whole.
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
	// Name is what revisions of this file have in common.
	Name string `yaml:"name"`
	// Retired ends everything that the file describes.
	Retired  bool      `yaml:"retired"`
	Racks    []Rack    `yaml:"racks"`
	Teams    []Team    `yaml:"teams"`
	Pools    []Pool    `yaml:"pools"`
	Services []Service `yaml:"services"`
	Jobs     []Job     `yaml:"jobs"`
	Gangs    []Gang    `yaml:"gangs"`
	// Drain names boxes that get no new work and give up what they run.
	Drain []string `yaml:"drain"`
	// Settled says what became of tasks whose fate is unknown.
	Settled []Settlement `yaml:"settled"`
}

// Rack is a group of workers that share a switch.
type Rack struct {
	Name   string `yaml:"name"`
	Domain string `yaml:"domain"`
	// Shard numbers the group of racks, within the domain, that one entry box
	// places on.
	Shard   int      `yaml:"shard"`
	Workers []string `yaml:"workers"`
	// Each is what each worker of the rack has.
	Each resource.Vector `yaml:"each"`
}

// Team owns work and has a quota.
type Team struct {
	Name string `yaml:"name"`
	// Quota is the most that the team's running tasks may reserve in the cell.
	Quota resource.Vector `yaml:"quota"`
	// Weight is the team's part in fair share; 1 if not given.
	Weight float64 `yaml:"weight"`
}

// Pool is a set of like targets that serve callers' requests.
type Pool struct {
	Name string `yaml:"name"`
	// Slots is how many requests one target serves at a time.
	Slots int `yaml:"slots"`
	// Connections is how many connections one target accepts.
	Connections int     `yaml:"connections"`
	Classes     []Class `yaml:"classes"`
}

// Class is a kind of request to a pool.
type Class struct {
	Name       string   `yaml:"name"`
	Priority   Priority `yaml:"priority"`
	Repeatable bool     `yaml:"repeatable"`
	// Deadline is how long a caller's request may take in all.
	Deadline time.Duration `yaml:"deadline"`
	// Queue is how many requests may wait at one entry box.
	Queue int `yaml:"queue"`
}

// Work is what services, jobs and gangs have in common.
type Work struct {
	Name     string   `yaml:"name"`
	Team     string   `yaml:"team"`
	Priority Priority `yaml:"priority"`
	// Count is how many tasks there are.
	Count     int             `yaml:"count"`
	Resources resource.Vector `yaml:"resources"`
	Command   []string        `yaml:"command"`
	// Domains limits where tasks run; all domains if empty.
	Domains []string `yaml:"domains"`
}

// Service is tasks that run until they are replaced.
type Service struct {
	Work
	// Spread is the widest group that two tasks of the service should not share
	// while another choice is free.
	Spread Spread `yaml:"spread"`
}

// Job is tasks that each run to their end, in any order.
type Job struct {
	Work
	Batch
}

// Gang is tasks that run to their end and must all start together.
type Gang struct {
	Work
	Batch
}

// Batch is what jobs and gangs have in common.
type Batch struct {
	// Repeatable says that a task may be started again after it may have run.
	Repeatable bool `yaml:"repeatable"`
	// Expected is the declared run time of one task.
	Expected time.Duration `yaml:"expected"`
	// Retries is how often a task that failed is tried again.
	Retries int `yaml:"retries"`
	// Deadline is the moment after which no task is started any more, or the zero
	// Moment.
	Deadline Timestamp `yaml:"deadline"`
	// Cancelled stops what runs and starts nothing more.
	Cancelled bool `yaml:"cancelled"`
}

// Settlement is an operator's word on a task whose fate is unknown.
type Settlement struct {
	// Task is "name@born/index", as the status shows it.
	Task string  `yaml:"task"`
	As   Outcome `yaml:"as"`
}

// Key returns the task that s settles.
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
