// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package shares determines which workspaces take more of the workers than their share while others
// wait. It does no I/O and reads no clock.
//
// The share in use of a workspace is the dominant share of the workers' capacity that its tasks take
// (dominant resource fairness, Ghodsi 2011), averaged over time with exponential decay, as batch
// schedulers keep fair-share usage. It is compared with the entitled share: the weight of the
// workspace divided by the weights of all workspaces that run or wait for something. What it takes
// above that is borrowed. Borrowing costs a workspace nothing while nobody waits. In a backlog, its
// steps are placed after those of others.
//
// Nothing is saved up: the average of an idle workspace falls to zero and no lower, so its steps go
// first for about one window when it returns.
package shares

import (
	"iter"
	"math"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/models/workspace"
	"saddlevane/modules/ordered"
)

const (
	// maxChargedUse limits the average by which steps are ordered, in multiples of the entitled share. A
	// workspace that borrowed much while others were idle is within its share again 0.7 windows after
	// it stops.
	maxChargedUse = 2
	// largeStepShare is how much of the entitled share the largest running step counts for when small
	// steps are ordered. The rest is left to them: a gang may be larger than the share, but it can
	// neither be divided nor be stopped for them.
	largeStepShare = 0.5
	// smallWork is the work of a small step at most, as a fraction of the work that the entitled
	// share allows in a window.
	smallWork = 0.1
)

// Cell holds what is known about the workers and the workspaces.
type Cell struct {
	// Capacity is the capacity of all workers that accept tasks.
	Capacity resource.Vector
	// Workspace returns the current configuration of a workspace, with weight 0 if it has none.
	Workspace func(name string) workspace.Workspace
	// InUse returns the resources that the tasks of a workspace take.
	InUse func(name string) resource.Vector
	// Complete is set if it is known what all workers run.
	Complete bool
}

// Step holds how many tasks of a step take resources, and how many wait for them.
type Step struct {
	Workspace string
	// Need is what each task needs.
	Need            resource.Vector
	Taking, Waiting int
	// Capped is set if the step waits because its workspace has reached its cap.
	Capped bool
}

// Steps returns the descriptions of some steps.
func Steps[S any](all []S, describe func(S) Step) iter.Seq[Step] {
	return func(yield func(Step) bool) {
		for _, s := range all {
			if !yield(describe(s)) {
				return
			}
		}
	}
}

// demand is what the steps of one workspace take and wait for, as dominant shares of the capacity of
// all workers.
type demand struct {
	weight float64
	// inUse is the part that its tasks take, largestStep that of the step with the most, and waiting
	// the part that tasks wait for.
	inUse, largestStep, waiting float64
	// waitingSteps counts the steps with waiting tasks, cappedSteps those of them that wait because
	// the workspace has reached its cap.
	waitingSteps, cappedSteps int
}

// demands holds the demands by workspace, and the names in the order of the first steps, so that sums
// of fractions do not depend on the order of a map.
type demands struct {
	byName map[string]demand
	names  []string
}

// demandsOf returns the demands of the workspaces, given the open steps.
func demandsOf(c Cell, steps iter.Seq[Step]) demands {
	all := demands{byName: map[string]demand{}}
	for s := range steps {
		if s.Workspace == "" {
			continue
		}
		d, known := all.byName[s.Workspace]
		if !known {
			all.names = append(all.names, s.Workspace)
			d.weight = c.Workspace(s.Workspace).Weight
			d.inUse = c.InUse(s.Workspace).DominantShare(c.Capacity)
		}
		d.add(s, s.Need.DominantShare(c.Capacity))
		all.byName[s.Workspace] = d
	}
	return all
}

// add adds a step whose tasks each need the given part of the workers.
func (d *demand) add(s Step, need float64) {
	d.largestStep = max(d.largestStep, need*float64(s.Taking))
	if s.Waiting == 0 {
		return
	}
	d.waiting += need * float64(s.Waiting)
	d.waitingSteps++
	if s.Capped {
		d.cappedSteps++
	}
}

// isActive reports whether the workspace runs or waits for something.
func (d demand) isActive() bool { return d.inUse > 0 || d.waitingSteps > 0 }

// share is the share of a workspace at the last observation.
type share struct {
	demand
	// entitled is the part of the workers that the workspace may take while others wait for more. It
	// is 0 if the workspace does not run or wait for anything.
	entitled float64
	// used is the part that its tasks took on average.
	used float64
	// refused counts the jobs that were refused because the workspace exceeded its share.
	refused int
	// charged is the average use by which steps are ordered. It is limited to maxChargedUse times
	// entitled. chargedToSmall is the same for small steps: the largest running step counts in it for
	// no more than largeStepShare times entitled.
	charged, chargedToSmall float64
}

// Tracker tracks the shares of the workspaces. It is not safe for concurrent use.
type Tracker struct {
	window     time.Duration
	observedAt time.Time
	// seeded is set once the use by all workspaces has been known.
	seeded bool
	byName map[string]*share
	// totalWeight is the sum of the weights of the active workspaces, as fractions of maxWeight, the
	// largest of them.
	totalWeight, maxWeight float64
}

// New returns a tracker that averages use with the time constant window.
func New(window time.Duration) *Tracker {
	return &Tracker{window: window, byName: map[string]*share{}}
}

// Observe updates the shares with what the open steps take and wait for at present. Up to the first
// observation of a complete cell, the present use counts as the average, so that a new holder knows
// what was borrowed as soon as the workers have reported.
func (t *Tracker) Observe(now time.Time, c Cell, steps iter.Seq[Step]) {
	all := demandsOf(c, steps)
	t.weigh(all)
	keep := t.keep(now)
	for name, s := range t.byName {
		if _, known := all.byName[name]; !known {
			s.demand = demand{}
			s.update(keep, 0)
		}
	}
	for name, d := range all.byName {
		s := t.of(name)
		s.demand = d
		s.update(keep, t.entitled(d))
	}
	t.seeded = t.seeded || c.Complete
}

// weigh sums up the weights of the active workspaces.
func (t *Tracker) weigh(all demands) {
	t.totalWeight, t.maxWeight = 0, 0
	active := 0
	for _, d := range all.byName {
		if d.isActive() {
			active++
			t.maxWeight = max(t.maxWeight, d.weight)
		}
	}
	if t.maxWeight == 0 {
		t.totalWeight = float64(active)
		return
	}
	for _, name := range all.names {
		if d := all.byName[name]; d.isActive() {
			// The sum of large weights could overflow.
			t.totalWeight += d.weight / t.maxWeight
		}
	}
}

// entitled returns the entitled share of a workspace. Without a weight it is 0, unless no active
// workspace has a weight; then all are equal.
func (t *Tracker) entitled(d demand) float64 {
	switch {
	case !d.isActive():
		return 0
	case t.maxWeight == 0:
		return 1 / t.totalWeight
	default:
		return d.weight / t.maxWeight / t.totalWeight
	}
}

// keep returns the weight of the previous average in the new one. If the clock was set back, the
// average stays as it is.
func (t *Tracker) keep(now time.Time) float64 {
	passed := max(0, now.Sub(t.observedAt))
	t.observedAt = now
	if !t.seeded {
		return 0
	}
	return math.Exp(-float64(passed) / float64(t.window))
}

// of returns the share of a workspace, which it adds if it is new.
func (t *Tracker) of(name string) *share {
	s := t.byName[name]
	if s == nil {
		s = &share{}
		t.byName[name] = s
	}
	return s
}

// update sets the entitled share and adds the present use to the averages.
func (s *share) update(keep, entitled float64) {
	s.entitled = entitled
	uncounted := max(0, s.largestStep-largeStepShare*entitled)
	average := func(old, present float64) float64 { return keep*old + (1-keep)*present }
	s.used = average(s.used, s.inUse)
	s.charged = average(s.charged, s.inUse)
	s.chargedToSmall = average(s.chargedToSmall, s.inUse-min(uncounted, s.inUse))
	if entitled > 0 {
		s.charged = min(s.charged, maxChargedUse*entitled)
		s.chargedToSmall = min(s.chargedToSmall, maxChargedUse*entitled)
	}
}

// isExceededBy reports whether an average use is above the entitled share. It never is if no other
// workspace is entitled to anything, even if the tasks take more than the capacity of the workers that
// still accept tasks.
func (s *share) isExceededBy(use float64) bool { return s.entitled < 1 && use > s.entitled }

// IsOver reports whether a step of a workspace is to be placed after those of others in a backlog,
// because the workspace takes more than its entitled share. work is the part of the workers that the
// step's waiting tasks need, times how long they need it, in seconds. A small step is judged without
// most of the largest running step, so that one large gang does not delay the short jobs of its
// workspace.
func (t *Tracker) IsOver(name string, work float64) bool {
	s := t.byName[name]
	switch {
	case s == nil, !s.isActive():
		return false
	case s.entitled == 0:
		return true
	case work <= smallWork*s.entitled*t.window.Seconds():
		return s.isExceededBy(s.chargedToSmall)
	default:
		return s.isExceededBy(s.charged)
	}
}

// CountOver returns how many workspaces take more than their entitled share.
func (t *Tracker) CountOver() int {
	n := 0
	for _, s := range t.byName {
		if s.isActive() && s.isExceededBy(s.charged) {
			n++
		}
	}
	return n
}

// IsUnder reports whether a workspace takes less than its entitled share, counting also what it
// waits for. weight is its weight now. No workspace does before it is known what all workers run.
func (t *Tracker) IsUnder(name string, weight float64) bool {
	s := t.of(name)
	if !t.seeded {
		return false
	}
	if !s.isActive() {
		return s.used < t.entitledIfActive(weight)
	}
	return s.used < s.entitled && s.inUse+s.waiting < s.entitled
}

// entitledIfActive returns what the entitled share of a workspace that is not active would be if it
// were.
func (t *Tracker) entitledIfActive(weight float64) float64 {
	if t.maxWeight == 0 && weight == 0 {
		return 1 / (t.totalWeight + 1)
	}
	return 1 / (1 + t.totalWeight*(t.maxWeight/weight))
}

// RecordRefusal counts a job that was refused because its workspace exceeded its share.
func (t *Tracker) RecordRefusal(name string) {
	if name != "" {
		t.of(name).refused++
	}
}

// Status returns the state of some workspaces in the order of their names. used returns the resources
// that the tasks of a workspace take.
func (t *Tracker) Status(all map[string]workspace.Workspace, used func(name string) resource.Vector) []job.WorkspaceStatus {
	var status []job.WorkspaceStatus
	for name, w := range ordered.Map(all) {
		s := t.of(name)
		status = append(status, job.WorkspaceStatus{
			Name: name, Weight: w.Weight, Entitled: s.entitled, InUse: s.used, Borrowed: max(0, s.used-s.entitled), Refused: s.refused,
			Used: used(name), Cap: w.Cap, Waiting: s.waitingSteps, Capped: s.cappedSteps,
		})
	}
	return status
}
