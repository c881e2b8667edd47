// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package workspaces

import (
	"math"

	"saddlevane/models/resource"
	"saddlevane/models/workspace"
)

// Usage counts what the tasks of each workspace take, with the events that change it, so
// that a start costs the same in a cell of any size. Tasks count from the order to start
// them until their end is known: while they are being stopped, while it is not known whether
// they have begun, and while their worker is out of reach.
type Usage struct {
	used map[string]resource.Vector
	// unheard is what tasks may take of which it is not known whether they run: after a
	// takeover, on workers that have not told.
	unreported map[string]resource.Vector
}

// NewUsage returns the usage of a cell in which nothing runs.
func NewUsage() *Usage { return &Usage{used: map[string]resource.Vector{}} }

// Add counts what a task takes from now on, or what is promised to one.
func (u *Usage) Add(name string, v resource.Vector) {
	if name != "" {
		u.used[name] = u.used[name].Plus(v)
	}
}

// Subtract counts it no more.
func (u *Usage) Subtract(name string, v resource.Vector) {
	if name == "" {
		return
	}
	if u.used[name] = u.used[name].Minus(v); u.used[name].IsZero() {
		delete(u.used, name)
	}
}

// SetUnreported tells what tasks of each workspace may take that have not been heard of.
func (u *Usage) SetUnreported(by map[string]resource.Vector) { u.unreported = by }

// SetUnreportedWithin tells the same of what is no more than some room.
func (u *Usage) SetUnreportedWithin(by map[string]resource.Vector, room resource.Vector) {
	for name, v := range by {
		by[name] = v.Min(room)
	}
	u.SetUnreported(by)
}

// Of returns what the tasks of a workspace take, or may.
func (u *Usage) Of(name string) resource.Vector { return u.used[name].Plus(u.unreported[name]) }

// unlimited is what is left where there is no bound.
const unlimited = math.MaxInt64 / 4

// Remaining returns what the tasks of a workspace may take more. Where a cap has fallen below what
// runs, that is nothing: what is under way would have to be done again later, so nothing is
// stopped, and nothing starts until enough has ended.
func (u *Usage) Remaining(w workspace.Workspace) resource.Vector {
	of := u.Of(w.Name)
	return resource.Vector{
		Processors:   remaining(w.Cap.Processors, of.Processors),
		Memory:       remaining(w.Cap.Memory, of.Memory),
		Accelerators: remaining(w.Cap.Accelerators, of.Accelerators),
	}
}

func remaining[N ~int64](most, used N) N {
	if most == 0 {
		return unlimited
	}
	return max(0, most-used)
}

// FitsCap says whether some tasks of a workspace fit its cap together.
func FitsCap(w workspace.Workspace, need resource.Vector) bool {
	return need.Fits((&Usage{}).Remaining(w))
}
