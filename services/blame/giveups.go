// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package blame

import (
	"slices"
	"time"

	"saddlevane/models/job"
)

// pendingGiveUp is a task whose job is to be given up at due, unless the task turns out not to be
// guilty by then. When the first of several simultaneous crashes is detected, the others are not
// known yet, and they make a common cause more likely.
type pendingGiveUp struct {
	task job.TaskID
	// assessment is the assessment of the task's newest crash, or nil if this holder has none.
	assessment *assessment
	due        time.Time
}

// reassessNewest assesses the newest crash under a task again, with what is known by now of other workers
// that stopped answering at about the same time.
func (tr *Tracker) reassessNewest(t job.TaskID, r *taskRecord, a *assessment) {
	b := r.blame
	b.RecentCrashes = slices.Clone(b.RecentCrashes)
	b.RecentCrashes[len(b.RecentCrashes)-1].BackgroundHazard = a.backgroundHazard(&tr.Background)
	tr.setBlame(t, Reassess(b, tr.Background.rate()))
	r.crashes[len(r.crashes)-1].commonHazard = tr.Background.commonHazard(a.crash)
}

// GiveUpsDue returns the tasks whose giving up is due at now, after reassessing their last crash.
// The caller gives up the jobs of those that are still guilty (IsGuilty).
func (tr *Tracker) GiveUpsDue(now time.Time) []job.TaskID {
	var due []job.TaskID
	for len(tr.pendingGiveUps) > 0 && !now.Before(tr.pendingGiveUps[0].due) {
		a := tr.pendingGiveUps[0]
		tr.pendingGiveUps = tr.pendingGiveUps[1:]
		r := tr.tasks[a.task]
		if r == nil {
			continue
		}
		if r.newestAssessment() != a.assessment {
			// A later crash was assessed meanwhile.
			continue
		}
		r.giveUpPending = false
		if a.assessment != nil && now.Sub(a.assessment.crash.At) <= explanationTime {
			tr.reassessNewest(a.task, r, a.assessment)
		}
		due = append(due, a.task)
	}
	return due
}

// scheduleGiveUp makes the job of a task due to be given up after giveUpDelay.
func (tr *Tracker) scheduleGiveUp(now time.Time, t job.TaskID) {
	r := tr.tasks[t]
	r.giveUpPending = true
	tr.pendingGiveUps = append(tr.pendingGiveUps, pendingGiveUp{task: t, assessment: r.newestAssessment(), due: now.Add(giveUpDelay)})
}
