// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package blame

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"saddlevane/models/job"
)

// A crash that one task has caused is no sign that workers crash for a common cause. When several
// workers crash at about the same time, each raises the hazard of a common cause with which the
// others are assessed. Once one of the crashes is attributed to a task, that hazard is computed
// again for the crashes under other tasks at about the same time.

// explanationTime is how long after a crash its common causes are computed again: about the time in
// which a task that crashes its workers is started four times.
const explanationTime = 30 * time.Second

// recordedCrash is one of the crashes under a task, as this holder recorded it.
type recordedCrash struct {
	assessment *assessment
	// commonHazard is the part of the recorded BackgroundHazard that is due to common causes.
	commonHazard float64
}

// addCrash adds the newest crash under the task.
func (r *taskRecord) addCrash(a *assessment) {
	r.crashes = append(r.crashes, recordedCrash{assessment: a, commonHazard: a.commonHazard})
	r.crashes = r.crashes[max(0, len(r.crashes)-len(r.blame.RecentCrashes)):]
}

// blameIndex returns the index in the task's RecentCrashes of the crash at index i in r.crashes.
func (r *taskRecord) blameIndex(i int) int {
	return len(r.blame.RecentCrashes) - len(r.crashes) + i
}

// explainCrashes records to which degree a task whose probability exceeds attributionThreshold
// explains the crashes under it, and assesses the crashes under other tasks again that came at about
// the same time.
func (tr *Tracker) explainCrashes(now time.Time, t job.TaskID) {
	r := tr.tasks[t]
	var explained []time.Time
	for i, c := range r.crashes {
		if !r.blame.RecentCrashes[r.blameIndex(i)].IsCertain() {
			continue
		}
		probability := certainProbability(r.blame) * causedShare(r.blame.RecentCrashes, r.blameIndex(i))
		if tr.Background.RecordExplained(c.assessment.crash.Incarnation, probability) {
			explained = append(explained, c.assessment.crash.At)
		}
	}
	if len(explained) == 0 {
		return
	}
	for _, other := range slices.SortedFunc(maps.Keys(tr.tasks), compareTasks) {
		if other != t {
			tr.reassessNear(now, other, explained)
		}
	}
}

// compareTasks orders tasks by job, instance, step and index.
func compareTasks(a, b job.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// reassessNear computes the hazard of a common cause again for the crashes under a task that came
// at about the time of an explained one, and the odds of the task from them.
func (tr *Tracker) reassessNear(now time.Time, t job.TaskID, explained []time.Time) {
	r := tr.tasks[t]
	b := r.blame
	b.RecentCrashes = slices.Clone(b.RecentCrashes)
	lowered := false
	for i := range r.crashes {
		c := &r.crashes[i]
		at := c.assessment.crash.At
		near := func(other time.Time) bool { return other.Sub(at).Abs() <= commonCauseWindow }
		if now.Sub(at) > explanationTime || !slices.ContainsFunc(explained, near) {
			continue
		}
		if common := tr.Background.commonHazard(c.assessment.crash); common < c.commonHazard {
			b.RecentCrashes[r.blameIndex(i)].BackgroundHazard -= c.commonHazard - common
			c.commonHazard, lowered = common, true
		}
	}
	if !lowered {
		return
	}
	b = Reassess(b, tr.Background.rate())
	tr.setBlame(t, b)
	if IsGuilty(b) && !r.giveUpPending {
		tr.scheduleGiveUp(now, t)
	}
}
