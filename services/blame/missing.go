// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package blame

import (
	"cmp"
	"slices"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
)

// A worker that does not answer and is not listed when its lease expires may have crashed, or may be out
// of reach and go on. Its tasks become suspects at once, but no job is given up for it until the crash
// is certain: another incarnation answers in its place, or nothing is heard of it for missingTimeout. If
// the worker itself answers again, nothing is held against its tasks.

const (
	// missingTimeout is the time after which a missing worker counts as crashed until it answers again:
	// regions may lose each other for minutes. Tasks that destroy their workers for good would wait
	// without end otherwise.
	missingTimeout = 5 * time.Minute
	// overdueCheckInterval is how often overdue workers are looked for: there may be thousands that are
	// missing.
	overdueCheckInterval = time.Second
)

// missingWorker is a worker that may have crashed.
type missingWorker struct {
	job.MissingWorker
	// weight is the weight with which the crash is added to the background rate once it is certain.
	weight float64
	tasks  []job.TaskID
	// overdueAt is when the worker counts as crashed, by the clock of this holder. It is zero if an earlier
	// holder lost the worker and that is not determined yet.
	overdueAt time.Time
}

// incarnation returns the worker's incarnation.
func (m *missingWorker) incarnation() order.Incarnation {
	return order.Incarnation{Name: m.Name, BornUnixMilli: m.BornUnixMilli}
}

// isWorkerOf reports whether a crash is that of the missing worker.
func (m *missingWorker) isWorkerOf(c job.Crash) bool {
	return c.Missing != nil && c.Missing.Name == m.Name && c.Missing.BornUnixMilli == m.BornUnixMilli
}

// missingWorkers holds missing workers, also by their names and addresses.
type missingWorkers struct {
	byIncarnation map[order.Incarnation]*missingWorker
	byName        map[string][]*missingWorker
	byAddress     map[string][]*missingWorker
	nextCheckAt   time.Time
}

// newMissingWorkers returns an empty set.
func newMissingWorkers() missingWorkers {
	return missingWorkers{
		byIncarnation: map[order.Incarnation]*missingWorker{}, byName: map[string][]*missingWorker{}, byAddress: map[string][]*missingWorker{},
	}
}

// entry returns the entry of a missing worker, which it adds if there is none.
func (ms *missingWorkers) entry(w job.MissingWorker) *missingWorker {
	m := &missingWorker{MissingWorker: w}
	if known := ms.byIncarnation[m.incarnation()]; known != nil {
		return known
	}
	ms.byIncarnation[m.incarnation()] = m
	ms.byName[m.Name] = append(ms.byName[m.Name], m)
	if m.Address != "" {
		ms.byAddress[m.Address] = append(ms.byAddress[m.Address], m)
	}
	return m
}

// remove removes a worker.
func (ms *missingWorkers) remove(m *missingWorker) {
	delete(ms.byIncarnation, m.incarnation())
	removeFrom(ms.byName, m.Name, m)
	removeFrom(ms.byAddress, m.Address, m)
}

// removeFrom removes a worker from the list of a key.
func removeFrom(lists map[string][]*missingWorker, key string, m *missingWorker) {
	lists[key] = slices.DeleteFunc(lists[key], func(o *missingWorker) bool { return o == m })
	if len(lists[key]) == 0 {
		delete(lists, key)
	}
}

// describeMissing describes the worker of a crash for the blame of the tasks that were on it, or returns nil if
// the crash is certain.
func (c *Crash) describeMissing() *job.MissingWorker {
	if !c.Missing {
		return nil
	}
	return &job.MissingWorker{
		Name: c.Incarnation.Name, BornUnixMilli: c.Incarnation.BornUnixMilli, Address: c.Address, Rack: c.Rack, SinceUnixMilli: c.UnixMilli,
	}
}

// addMissing adds the worker of an assessed crash to the missing ones.
func (tr *Tracker) addMissing(now time.Time, a *assessment) {
	m := tr.missing.entry(*a.crash.describeMissing())
	m.weight, m.overdueAt = max(m.weight, a.backgroundWeight), now.Add(missingTimeout)
	for _, t := range a.crash.Tasks {
		m.tasks = append(m.tasks, t.Task)
	}
}

// restoreMissing adds the missing workers that the logged blame of a task names.
func (tr *Tracker) restoreMissing(t job.TaskID, b job.Blame) {
	for _, c := range b.RecentCrashes {
		if c.Missing == nil {
			continue
		}
		m := tr.missing.entry(*c.Missing)
		m.weight = max(m.weight, c.BackgroundWeight)
		m.tasks = append(m.tasks, t)
	}
}

// Resolution says what became of a missing worker.
type Resolution struct {
	Worker order.Incarnation
	// Crashed is set if the worker counts as crashed, and not set if it is alive.
	Crashed bool
	// Tasks are those whose blame has changed.
	Tasks []job.TaskID
}

// ResolveByAnswer determines what became of missing workers after an incarnation of a worker has answered
// at an address: it was missing itself and has not crashed, or it has replaced one that has.
func (tr *Tracker) ResolveByAnswer(now time.Time, by order.Incarnation, address string) []Resolution {
	var resolved []Resolution
	for _, m := range slices.Concat(tr.missing.byName[by.Name], tr.missing.byAddress[address]) {
		switch {
		case tr.missing.byIncarnation[m.incarnation()] != m:
			// It is in both lists.
		case m.incarnation().DiffersFrom(by):
			resolved = append(resolved, tr.confirm(now, m))
		default:
			resolved = append(resolved, tr.withdraw(now, m))
		}
	}
	return resolved
}

// ResolveAsCrashed counts a worker as crashed if it is missing. It reports whether it was.
func (tr *Tracker) ResolveAsCrashed(now time.Time, incarnation order.Incarnation) (Resolution, bool) {
	m := tr.missing.byIncarnation[incarnation]
	if m == nil {
		return Resolution{}, false
	}
	return tr.confirm(now, m), true
}

// ResolveOverdue determines what became of the workers that have been missing for missingTimeout: those
// that isListed says the platform lists are alive, all others count as crashed until they answer.
// unixMilli is the present time in milliseconds since 1970.
func (tr *Tracker) ResolveOverdue(now time.Time, unixMilli int64, isListed func(order.Incarnation) bool) []Resolution {
	if now.Before(tr.missing.nextCheckAt) {
		return nil
	}
	tr.missing.nextCheckAt = now.Add(overdueCheckInterval)
	var resolved []Resolution
	for _, m := range tr.overdue(now, unixMilli) {
		if isListed(m.incarnation()) {
			resolved = append(resolved, tr.withdraw(now, m))
		} else {
			resolved = append(resolved, tr.presumeCrashed(now, m))
		}
	}
	return resolved
}

// overdue returns the missing workers that have become overdue, in the order of their names, and removes
// those that are held against no task any more.
func (tr *Tracker) overdue(now time.Time, unixMilli int64) []*missingWorker {
	var all []*missingWorker
	for _, m := range tr.missing.byIncarnation {
		if m.overdueAt.IsZero() {
			// The clocks of two boxes may differ, so the time that is left is bounded.
			left := missingTimeout - time.Duration(unixMilli-m.SinceUnixMilli)*time.Millisecond
			m.overdueAt = now.Add(min(max(0, left), missingTimeout))
		}
		switch {
		case now.Before(m.overdueAt):
		case !m.Overdue:
			all = append(all, m)
		case !slices.ContainsFunc(m.tasks, func(t job.TaskID) bool { return tr.isHeldFor(t, m) }):
			tr.missing.remove(m)
		}
	}
	slices.SortFunc(all, func(a, b *missingWorker) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.BornUnixMilli, b.BornUnixMilli))
	})
	return all
}

// confirm counts a missing worker as crashed for good.
func (tr *Tracker) confirm(now time.Time, m *missingWorker) Resolution {
	tr.missing.remove(m)
	if !m.Overdue {
		tr.Background.AddCrash(m.Rack, m.weight)
	}
	return Resolution{Worker: m.incarnation(), Crashed: true, Tasks: tr.changeBlame(now, m, func(b job.Blame) job.Blame {
		return withMissing(b, m, nil)
	})}
}

// presumeCrashed counts a missing worker as crashed until it answers again.
func (tr *Tracker) presumeCrashed(now time.Time, m *missingWorker) Resolution {
	m.Overdue = true
	tr.Background.AddCrash(m.Rack, m.weight)
	return Resolution{Worker: m.incarnation(), Crashed: true, Tasks: tr.changeBlame(now, m, func(b job.Blame) job.Blame {
		return withMissing(b, m, func(w *job.MissingWorker) { w.Overdue = true })
	})}
}

// withdraw takes back what a missing worker counts against its tasks.
func (tr *Tracker) withdraw(now time.Time, m *missingWorker) Resolution {
	tr.missing.remove(m)
	if m.Overdue {
		tr.Background.RemoveCrashes(m.weight)
	}
	return Resolution{Worker: m.incarnation(), Tasks: tr.changeBlame(now, m, func(b job.Blame) job.Blame {
		return withoutCrashes(b, m.isWorkerOf)
	})}
}

// changeBlame applies a change to the blame of those tasks of a missing worker that it is still held
// against, and returns them.
func (tr *Tracker) changeBlame(now time.Time, m *missingWorker, change func(job.Blame) job.Blame) []job.TaskID {
	var changed []job.TaskID
	for _, t := range m.tasks {
		if !tr.isHeldFor(t, m) {
			continue
		}
		changed = append(changed, t)
		r := tr.tasks[t]
		before := r.blame.RecentCrashes
		b := change(r.blame)
		if b.Crashes == 0 {
			tr.Clear(t)
			continue
		}
		tr.setBlame(t, tr.attributeCrashes(Reassess(b, tr.Background.rate())))
		if len(b.RecentCrashes) < len(before) {
			// The assessments no longer belong to the crashes at the same indexes.
			r.crashes = nil
			if !slices.ContainsFunc(lastRun(before), func(c job.Crash) bool { return !m.isWorkerOf(c) }) {
				r.run = 0
			}
		}
		r.giveUpPending = false
		if IsGuilty(r.blame) {
			tr.scheduleGiveUp(now, t)
		}
	}
	return changed
}

// isHeldFor reports whether a missing worker is held against a task.
func (tr *Tracker) isHeldFor(t job.TaskID, m *missingWorker) bool {
	r := tr.tasks[t]
	return r != nil && slices.ContainsFunc(r.blame.RecentCrashes, m.isWorkerOf)
}

// withMissing returns b with a change to what is recorded of a missing worker, or with its crash as one
// that is known for sure if change is nil.
func withMissing(b job.Blame, m *missingWorker, change func(*job.MissingWorker)) job.Blame {
	b.RecentCrashes = slices.Clone(b.RecentCrashes)
	for i := range b.RecentCrashes {
		c := &b.RecentCrashes[i]
		if !m.isWorkerOf(*c) {
			continue
		}
		if change == nil {
			c.Missing = nil
			continue
		}
		changed := *c.Missing
		change(&changed)
		c.Missing = &changed
	}
	return b
}

// withoutCrashes returns b without the crashes of missing workers that match. The first crash of a run that
// is left is no longer one under the same run as the crash before it.
func withoutCrashes(b job.Blame, match func(job.Crash) bool) job.Blame {
	if !slices.ContainsFunc(b.RecentCrashes, match) {
		return b
	}
	var kept []job.Crash
	isRunKept := false
	for _, c := range b.RecentCrashes {
		isRunKept = isRunKept && c.SameRun
		if match(c) {
			if c.Missing != nil && c.Missing.Alone {
				b.Alone--
			}
			continue
		}
		c.SameRun = isRunKept
		isRunKept = true
		kept = append(kept, c)
	}
	b.Crashes -= runCount(b.RecentCrashes) - runCount(kept)
	b.Alone = min(b.Alone, b.Crashes)
	b.RecentCrashes = kept
	b.MinWorkTime, b.MaxWorkTime = workTimeRange(kept)
	return b
}

// runCount returns the number of runs of the task under which the crashes came.
func runCount(crashes []job.Crash) int {
	n := 0
	for i, c := range crashes {
		if i == 0 || !c.SameRun {
			n++
		}
	}
	return n
}

// lastRun returns the crashes under the last run.
func lastRun(crashes []job.Crash) []job.Crash {
	return crashes[len(withoutLastRun(crashes)):]
}

// workTimeRange returns the shortest and the longest time that the task had run when a worker crashed, by
// the crashes for which that is exact.
func workTimeRange(crashes []job.Crash) (shortest, longest job.Milliseconds) {
	for _, c := range crashes {
		if c.Bound != job.Exact {
			continue
		}
		if longest == 0 || c.Worked < shortest {
			shortest = c.Worked
		}
		longest = max(longest, c.Worked)
	}
	return shortest, longest
}
