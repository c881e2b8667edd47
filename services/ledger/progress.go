// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"saddlevane/models/record"
	"saddlevane/models/spec"
	"saddlevane/models/task"

	"github.com/RoaringBitmap/roaring/v2"
)

// Progress is what the log records about the tasks of one object. The sets of intents,
// done and failed tasks only grow, so their records may be repeated and may arrive in
// any order. An operator's settlement takes precedence over earlier records.
type Progress struct {
	intents *roaring.Bitmap
	done    *roaring.Bitmap
	failed  *roaring.Bitmap
	// rerun holds tasks that an operator has allowed to start once more. A new intent
	// removes its tasks from the set.
	rerun *roaring.Bitmap
}

func newProgress() *Progress {
	return &Progress{
		intents: roaring.New(), done: roaring.New(), failed: roaring.New(), rerun: roaring.New(),
	}
}

// Done returns the tasks that succeeded; the set must not be modified.
func (p *Progress) Done() *roaring.Bitmap { return p.done }

// Failed returns the tasks that failed permanently; the set must not be modified.
func (p *Progress) Failed() *roaring.Bitmap { return p.failed }

// Intents returns the tasks that have a recorded intent to start them; the set must not
// be modified.
func (p *Progress) Intents() *roaring.Bitmap { return p.intents }

// Ended reports whether the task at index has succeeded or failed permanently.
func (p *Progress) Ended(index int) bool {
	i := uint32(index)
	return p.done.Contains(i) || p.failed.Contains(i)
}

// MayHaveStarted reports whether the task at index may have been started: it has an
// intent, and no operator has allowed it to start again since.
func (p *Progress) MayHaveStarted(index int) bool {
	return p.intents.Contains(uint32(index)) && !p.rerun.Contains(uint32(index))
}

// addIntents records the intent to start the tasks from from up to, but not including, to.
func (p *Progress) addIntents(from, to uint64) {
	p.intents.AddRange(from, to)
	p.rerun.RemoveRange(from, to)
}

// addDone records that the tasks from from up to, but not including, to have succeeded.
func (p *Progress) addDone(from, to uint64) { p.done.AddRange(from, to) }

// addFailed records that the tasks from from up to, but not including, to have failed permanently.
func (p *Progress) addFailed(from, to uint64) { p.failed.AddRange(from, to) }

// Progress returns the progress of the tasks of id, which is empty if the log has no
// records of them.
func (l *Ledger) Progress(id task.ObjectID) *Progress {
	if p, ok := l.progress[id]; ok {
		return p
	}
	return newProgress()
}

// applyTasks applies a record about tasks of one object; add stores each of its ranges.
func (l *Ledger) applyTasks(t *record.Tasks, add func(p *Progress, from, to uint64)) Change {
	p, ok := l.progress[t.Object]
	if !ok {
		p = newProgress()
		l.progress[t.Object] = p
	}
	for _, r := range t.Ranges {
		add(p, uint64(r.From), uint64(r.To))
	}
	return Change{Progress: []task.ObjectID{t.Object}}
}

// Ranges returns the maximal ranges of consecutive members of set, in ascending order.
func Ranges(set *roaring.Bitmap) []record.Range {
	var ranges []record.Range
	for it := set.Iterator(); it.HasNext(); {
		i := it.Next()
		n := len(ranges)
		if n > 0 && ranges[n-1].To == int(i) {
			ranges[n-1].To++
			continue
		}
		ranges = append(ranges, record.Range{From: int(i), To: int(i) + 1})
	}
	return ranges
}

// applySettlements applies an operator's settlements of tasks with unknown outcome. Only
// tasks with an intent and no outcome are unknown; settlements of others are ignored.
func (l *Ledger) applySettlements(file *spec.File) {
	for _, s := range file.Settled {
		key, err := s.Key()
		if err != nil {
			continue
		}
		p, ok := l.progress[key.Object]
		if !ok || !p.MayHaveStarted(key.Index) || p.Ended(key.Index) {
			continue
		}
		switch i := uint32(key.Index); s.As {
		case spec.OutcomeDone:
			p.done.Add(i)
		case spec.OutcomeFailed:
			p.failed.Add(i)
		case spec.OutcomeRerun:
			p.rerun.Add(i)
		}
	}
}
