// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package workspaces

import (
	"math"
	"time"

	"saddlevane/models/resource"
	"saddlevane/models/workspace"
)

// Usage tracks the resources that the tasks of each workspace take. It is updated by each event
// that changes it, so that the cost of a start does not depend on the size of the cell. A task
// counts from the order to start it until its end is known. This includes the time while it is being
// stopped, while it is not known whether it has started, and while its worker is unreachable.
type Usage struct {
	used map[string]resource.Vector
	// unreported holds the resources of tasks that may or may not run: after a takeover, those on
	// workers that have not reported yet.
	unreported map[string]resource.Vector
	// leftover holds the resources of tasks that may still run of jobs that ended under earlier
	// holders.
	leftover map[string]resource.Vector
}

// NewUsage returns the usage of a cell in which nothing runs.
func NewUsage() *Usage {
	return &Usage{used: map[string]resource.Vector{}, leftover: map[string]resource.Vector{}}
}

// Add adds the resources of a task of the named workspace, when the task is ordered to start or the
// resources are promised to it. Tasks without a workspace are not counted.
func (u *Usage) Add(name string, v resource.Vector) {
	if name != "" {
		u.used[name] = u.used[name].Plus(v)
	}
}

// Subtract removes the resources that Add has added.
func (u *Usage) Subtract(name string, v resource.Vector) {
	if name == "" {
		return
	}
	if u.used[name] = u.used[name].Minus(v); u.used[name].IsZero() {
		delete(u.used, name)
	}
}

// SetUnreported sets, by workspace, the resources of the tasks that may or may not run, because
// their workers have not reported yet.
func (u *Usage) SetUnreported(by map[string]resource.Vector) { u.unreported = by }

// leftoverLifetime is how long after the end of its job a task may still run on a worker that has
// not reported: the longest lease that platforms grant, plus a takeover.
const leftoverLifetime = 30 * time.Second

// AddLeftover adds the resources of tasks that may still run of a job which ended under an earlier
// holder, the given time ago.
func (u *Usage) AddLeftover(name string, v resource.Vector, ended time.Duration) {
	if name != "" && ended < leftoverLifetime {
		u.leftover[name] = u.leftover[name].Plus(v)
	}
}

// SetUnreportedWithin is like SetUnreported, with what AddLeftover has added, and with the resources
// of each workspace limited to limit. It changes by.
func (u *Usage) SetUnreportedWithin(by map[string]resource.Vector, limit resource.Vector) {
	for name, v := range u.leftover {
		by[name] = by[name].Plus(v)
	}
	for name, v := range by {
		by[name] = v.Min(limit)
	}
	u.SetUnreported(by)
}

// Of returns the resources that the tasks of a workspace take or may take.
func (u *Usage) Of(name string) resource.Vector { return u.used[name].Plus(u.unreported[name]) }

// unlimited is the remaining amount of a resource without a cap.
const unlimited = math.MaxInt64 / 4

// Remaining returns the resources that the tasks of a workspace may take in addition. If a cap has
// been lowered below the current usage, this is zero: nothing is stopped, since stopped work would
// have to be done again later, and nothing starts until enough tasks have ended.
func (u *Usage) Remaining(w workspace.Workspace) resource.Vector {
	of := u.Of(w.Name)
	return resource.Vector{
		Processors:   remaining(w.Cap.Processors, of.Processors),
		Memory:       remaining(w.Cap.Memory, of.Memory),
		Accelerators: remaining(w.Cap.Accelerators, of.Accelerators),
	}
}

// remaining returns the part of a limit that is not used, or unlimited if there is no limit.
func remaining[N ~int64](limit, used N) N {
	if limit == 0 {
		return unlimited
	}
	return max(0, limit-used)
}

// FitsCap reports whether tasks that need the given resources together fit the cap of a workspace
// in which nothing else runs.
func FitsCap(w workspace.Workspace, need resource.Vector) bool {
	return need.Fits((&Usage{}).Remaining(w))
}
