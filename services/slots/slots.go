// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package slots allocates the tasks of a step to workers that each have free capacity for some
// of them.
package slots

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"saddlevane/modules/ordered"
)

// Allocation is a worker with the number of tasks of a step that it has free capacity for, or that
// are allocated to it.
type Allocation[W any] struct {
	Worker W
	Tasks  int
}

// FillInOrder allocates up to the wanted number of tasks to workers in their order. It returns the
// allocations and the number of allocated tasks.
func FillInOrder[W any](available []Allocation[W], wanted int) (allocated []Allocation[W], tasks int) {
	for _, a := range available {
		if tasks == wanted {
			break
		}
		n := min(a.Tasks, wanted-tasks)
		allocated = append(allocated, Allocation[W]{a.Worker, n})
		tasks += n
	}
	return allocated, tasks
}

// FillInOneGroup allocates all wanted tasks to workers of the same group, such as a rack. Group
// returns the name of a worker's group. Of the groups with enough free capacity, the first by name
// is used. If there is none, the result is nil and false.
func FillInOneGroup[W any](available []Allocation[W], wanted int, group func(W) string) ([]Allocation[W], bool) {
	groups := map[string][]Allocation[W]{}
	for _, a := range available {
		name := group(a.Worker)
		groups[name] = append(groups[name], a)
	}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		if allocated, tasks := FillInOrder(groups[name], wanted); tasks == wanted {
			return allocated, true
		}
	}
	return nil, false
}

// Format formats allocations for a log line, such as "w1:3 w2:1".
func Format[W any](allocations []Allocation[W], name func(W) string) string {
	texts := make([]string, len(allocations))
	for i, a := range allocations {
		texts[i] = fmt.Sprintf("%s:%d", name(a.Worker), a.Tasks)
	}
	return strings.Join(texts, " ")
}

// Preemption is an option to free capacity for more tasks of a step on one worker. W is the worker, and
// A is a running attempt of a task.
type Preemption[W, A any] struct {
	Allocation[W]
	// HasTicket is set if a ticket for the worker was received or requested.
	HasTicket bool
	// Victims are the attempts that have to be stopped.
	Victims []A
	// Cost is the work that is lost, in processor-seconds per task gained.
	Cost float64
}

// TotalTasks returns the number of tasks for which the preemptions free capacity together.
func TotalTasks[W, A any](preemptions []Preemption[W, A]) int {
	n := 0
	for _, p := range preemptions {
		n += p.Tasks
	}
	return n
}

// Cheapest returns the preemptions with the lowest cost that together free capacity for the wanted
// number of tasks, or all if they do not. Among those of the same cost, the ones with a ticket come
// first, then those with capacity for more tasks. The function compare orders workers and breaks
// remaining ties. Cheapest sorts the given slice.
func Cheapest[W, A any](preemptions []Preemption[W, A], wanted int, compare func(a, b W) int) []Preemption[W, A] {
	slices.SortStableFunc(preemptions, func(p, o Preemption[W, A]) int {
		return cmp.Or(
			cmp.Compare(p.Cost, o.Cost), ordered.TrueFirst(p.HasTicket, o.HasTicket), cmp.Compare(o.Tasks, p.Tasks), compare(p.Worker, o.Worker),
		)
	})
	for i, p := range preemptions {
		if wanted -= p.Tasks; wanted <= 0 {
			return preemptions[:i+1]
		}
	}
	return preemptions
}
