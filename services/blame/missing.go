// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package blame

import (
	"slices"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/modules/ordered"
)

// A worker that does not answer and is not listed when its lease expires may have crashed, or may be out
// of reach and go on. Its tasks become suspects at once, but no job is given up for it until the crash
// is certain: another incarnation answers in its place, or nothing is heard of it for missingTimeout. If
// the worker itself answers again, nothing is held against its tasks.

// missingTimeout is the time after which a missing worker counts as crashed. Tasks that destroy their
// workers for good would wait without end otherwise.
const missingTimeout = 30 * time.Second

// missingWorker is a worker that may have crashed.
type missingWorker struct {
	job.MissingWorker
	// weight is the weight with which the crash is added to the background rate once it is certain.
	weight float64
	tasks  []job.TaskID
}

// missingWorker describes the worker of a crash for the blame of a task that was on it, or returns nil if
// the crash is certain.
func (c *Crash) missingWorker(t RunningTask) *job.MissingWorker {
	if !c.Missing {
		return nil
	}
	return &job.MissingWorker{
		Worker: c.Incarnation.String(), Name: c.Incarnation.Name, Address: c.Address, Rack: c.Rack, SinceUnixMilli: c.UnixMilli, Alone: t.Alone,
	}
}

// addMissing adds the worker of an assessed crash to the missing ones.
func (tr *Tracker) addMissing(a *assessment) {
	m := tr.missingEntry(*a.crash.missingWorker(RunningTask{}))
	m.weight = max(m.weight, a.backgroundWeight)
	for _, t := range a.crash.Tasks {
		m.tasks = append(m.tasks, t.Task)
	}
}

// missingEntry returns the entry of a missing worker, which it adds if there is none.
func (tr *Tracker) missingEntry(w job.MissingWorker) *missingWorker {
	m := tr.missing[w.Worker]
	if m == nil {
		m = &missingWorker{MissingWorker: w}
		tr.missing[w.Worker] = m
	}
	return m
}

// restoreMissing adds the missing workers that the logged blame of a task names.
func (tr *Tracker) restoreMissing(t job.TaskID, b job.Blame) {
	for _, c := range b.RecentCrashes {
		if c.Missing == nil {
			continue
		}
		m := tr.missingEntry(*c.Missing)
		m.weight = max(m.weight, c.BackgroundWeight)
		m.tasks = append(m.tasks, t)
	}
}

// Resolution says what became of a missing worker.
type Resolution struct {
	Worker string
	// Crashed is set if the worker counts as crashed, and not set if it is alive.
	Crashed bool
	// Tasks are those whose blame has changed.
	Tasks []job.TaskID
}

// ResolveByAnswer determines what became of missing workers after an incarnation of a worker has answered
// at an address: it was missing itself and has not crashed, or it has replaced one that has.
func (tr *Tracker) ResolveByAnswer(now time.Time, by order.Incarnation, address string) []Resolution {
	var resolved []Resolution
	if m := tr.missing[by.String()]; m != nil {
		resolved = append(resolved, tr.withdraw(now, m))
	}
	var replaced []string
	for worker, m := range tr.missing {
		if m.Name == by.Name || address != "" && m.Address == address {
			replaced = append(replaced, worker)
		}
	}
	slices.Sort(replaced)
	for _, worker := range replaced {
		resolved = append(resolved, tr.confirm(now, tr.missing[worker]))
	}
	return resolved
}

// ResolveAsCrashed counts a worker as crashed if it is missing. It reports whether it was.
func (tr *Tracker) ResolveAsCrashed(now time.Time, incarnation order.Incarnation) (Resolution, bool) {
	m := tr.missing[incarnation.String()]
	if m == nil {
		return Resolution{}, false
	}
	return tr.confirm(now, m), true
}

// ResolveOverdue determines what became of the workers that have been missing for missingTimeout: those
// that isListed says the platform lists under their names are alive, all others count as crashed. unixMilli
// is the present time in milliseconds since 1970.
func (tr *Tracker) ResolveOverdue(now time.Time, unixMilli int64, isListed func(name string) bool) []Resolution {
	var resolved []Resolution
	for _, m := range ordered.Map(tr.missing) {
		switch missingFor := time.Duration(unixMilli-m.SinceUnixMilli) * time.Millisecond; {
		case missingFor < missingTimeout:
		case isListed(m.Name):
			resolved = append(resolved, tr.withdraw(now, m))
		default:
			resolved = append(resolved, tr.confirm(now, m))
		}
	}
	return resolved
}

// confirm counts a missing worker as crashed.
func (tr *Tracker) confirm(now time.Time, m *missingWorker) Resolution {
	delete(tr.missing, m.Worker)
	tr.Background.AddCrash(m.Rack, m.weight)
	return Resolution{Worker: m.Worker, Crashed: true, Tasks: tr.changeBlame(now, m, func(b job.Blame) job.Blame {
		for i := range b.RecentCrashes {
			if m.isWorkerOf(b.RecentCrashes[i]) {
				b.RecentCrashes[i].Missing = nil
			}
		}
		return b
	})}
}

// withdraw takes back what a missing worker counts against its tasks.
func (tr *Tracker) withdraw(now time.Time, m *missingWorker) Resolution {
	delete(tr.missing, m.Worker)
	return Resolution{Worker: m.Worker, Tasks: tr.changeBlame(now, m, func(b job.Blame) job.Blame {
		return withoutMissing(b, func(o *job.MissingWorker) bool { return o.Worker == m.Worker })
	})}
}

// changeBlame applies a change to the blame of those tasks of a missing worker that are still held against
// it, and returns them.
func (tr *Tracker) changeBlame(now time.Time, m *missingWorker, change func(job.Blame) job.Blame) []job.TaskID {
	var changed []job.TaskID
	for _, t := range m.tasks {
		r := tr.tasks[t]
		if r == nil || !slices.ContainsFunc(r.blame.RecentCrashes, m.isWorkerOf) {
			continue
		}
		changed = append(changed, t)
		before := len(r.blame.RecentCrashes)
		b := r.blame
		b.RecentCrashes = slices.Clone(b.RecentCrashes)
		b = change(b)
		if b.Crashes == 0 {
			tr.Clear(t)
			continue
		}
		tr.setBlame(t, tr.attributeCrashes(Reassess(b, tr.Background.rate())))
		if len(b.RecentCrashes) < before {
			// The assessments no longer belong to the crashes at the same indexes.
			r.crashes, r.run = nil, 0
		}
		tr.reconsiderGiveUp(now, t, r)
	}
	return changed
}

// isHeldFor reports whether a crash of the worker is held against a task already.
func (tr *Tracker) isHeldFor(t job.TaskID, worker order.Incarnation) bool {
	m := tr.missing[worker.String()]
	return m != nil && slices.ContainsFunc(tr.Blame(t).RecentCrashes, m.isWorkerOf)
}

// isWorkerOf reports whether a crash is that of the missing worker.
func (m *missingWorker) isWorkerOf(c job.Crash) bool {
	return c.Missing != nil && c.Missing.Worker == m.Worker
}

// withoutMissing returns b without the crashes of those missing workers that match.
func withoutMissing(b job.Blame, match func(*job.MissingWorker) bool) job.Blame {
	kept := withoutCrashes(b.RecentCrashes, func(c job.Crash) bool { return c.Missing != nil && match(c.Missing) })
	if len(kept) == len(b.RecentCrashes) {
		return b
	}
	for _, c := range b.RecentCrashes {
		if c.Missing != nil && match(c.Missing) && !c.SameRun && c.Missing.Alone {
			b.Alone--
		}
	}
	b.Crashes -= runCount(b.RecentCrashes) - runCount(kept)
	b.RecentCrashes = kept
	b.MinWorkTime, b.MaxWorkTime = workTimeRange(kept)
	return b
}

// certainCrashes returns those of the crashes whose workers have certainly crashed.
func certainCrashes(crashes []job.Crash) []job.Crash {
	return withoutCrashes(crashes, func(c job.Crash) bool { return c.Missing != nil })
}

// withoutCrashes returns the crashes that do not match. The first one of a run that is left is no longer
// one under the same run as the crash before it.
func withoutCrashes(crashes []job.Crash, match func(job.Crash) bool) []job.Crash {
	if !slices.ContainsFunc(crashes, match) {
		return crashes
	}
	var kept []job.Crash
	isRunKept := false
	for _, c := range crashes {
		isRunKept = isRunKept && c.SameRun
		if match(c) {
			continue
		}
		c.SameRun = isRunKept
		isRunKept = true
		kept = append(kept, c)
	}
	return kept
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
