// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package slots divides the tasks of a step over workers that have room for some of them.
package slots

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"saddlevane/modules/ordered"
)

// Allocation is how many tasks of a step a worker has room for, or gets.
type Allocation[W any] struct {
	Worker W
	Tasks  int
}

// FillInOrder returns as much of some shares, in their order, as is wanted, and how many tasks that
// is.
func FillInOrder[W any](open []Allocation[W], wanted int) (taken []Allocation[W], tasks int) {
	for _, o := range open {
		if tasks == wanted {
			break
		}
		n := min(o.Tasks, wanted-tasks)
		taken = append(taken, Allocation[W]{o.Worker, n})
		tasks += n
	}
	return taken, tasks
}

// FillInOneGroup returns shares of one group of workers that are enough for all tasks wanted, if
// there is such a group: the first by name.
func FillInOneGroup[W any](open []Allocation[W], wanted int, group func(W) string) ([]Allocation[W], bool) {
	groups := map[string][]Allocation[W]{}
	for _, o := range open {
		name := group(o.Worker)
		groups[name] = append(groups[name], o)
	}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		if taken, tasks := FillInOrder(groups[name], wanted); tasks == wanted {
			return taken, true
		}
	}
	return nil, false
}

// Format returns shares as a line tells them, such as "w1:3 w2:1".
func Format[W any](all []Allocation[W], name func(W) string) string {
	names := make([]string, len(all))
	for i, s := range all {
		names[i] = fmt.Sprintf("%s:%d", name(s.Worker), s.Tasks)
	}
	return strings.Join(names, " ")
}

// Preemption is room for some more tasks of a step on one worker, and what has to be stopped for it.
type Preemption[W, A any] struct {
	Allocation[W]
	// Ticketed says that a ticket is there or on its way.
	HasTicket bool
	// Victims are what has to be stopped.
	Victims []A
	// Cost is the work that is lost, in processor seconds a task gained.
	Cost float64
}

// TotalTasks returns for how many tasks some gains are room.
func TotalTasks[W, A any](gains []Preemption[W, A]) int {
	n := 0
	for _, g := range gains {
		n += g.Tasks
	}
	return n
}

// Cheapest returns gains that are enough, or all, those that cost least first: of those that
// cost the same, those whose tickets need not be asked for, then the largest. Compare orders
// workers.
func Cheapest[W, A any](gains []Preemption[W, A], wanted int, compare func(a, b W) int) []Preemption[W, A] {
	slices.SortStableFunc(gains, func(g, o Preemption[W, A]) int {
		return cmp.Or(
			cmp.Compare(g.Cost, o.Cost), ordered.TrueFirst(g.HasTicket, o.HasTicket), cmp.Compare(o.Tasks, g.Tasks), compare(g.Worker, o.Worker),
		)
	})
	for i, g := range gains {
		if wanted -= g.Tasks; wanted <= 0 {
			return gains[:i+1]
		}
	}
	return gains
}
