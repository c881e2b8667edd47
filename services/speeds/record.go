// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package speeds

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"saddlevane/modules/ordered"
)

const (
	// recordScale is the number of units of a recorded value that make one, since a thousandth is
	// precise enough.
	recordScale = 1000
	// maxRecordedLog bounds the logarithm of a recorded speed: no worker is 20,000 times as fast as
	// the mean.
	maxRecordedLog = 10
)

// entry is the recorded speed of a worker: the logarithm, compared with the mean of all, and the
// variance, in units of 1/recordScale.
type entry [2]int

// HasChanged reports whether there was evidence since the last call of Record.
func (t *Tracker) HasChanged() bool { return t.changed }

// Record returns what is recorded for the next holder, and resets HasChanged. It forgets the workers of
// which nothing is known any more.
func (t *Tracker) Record(now time.Time) map[string]entry {
	t.forgetOld(now)
	t.changed = false
	entries := make(map[string]entry, len(t.speeds))
	for worker, s := range t.speeds {
		entries[worker] = entry{int(math.Round(recordScale * (s.mean - t.mean()))), int(math.Ceil(recordScale * s.varianceAt(now)))}
	}
	return entries
}

// forgetOld forgets the workers whose evidence is so old that nothing is known of them.
func (t *Tracker) forgetOld(now time.Time) {
	t.sum = 0
	for worker, s := range ordered.Map(t.speeds) {
		if s.isForgottenAt(now) {
			delete(t.speeds, worker)
			continue
		}
		t.sum += s.mean
	}
	t.usual = t.median()
}

// Restore sets the speeds to what an earlier holder has recorded. Values out of range are dropped,
// and an error that names one of them is returned. It does nothing if the record is empty.
func (t *Tracker) Restore(now time.Time, record []byte) error {
	if len(record) == 0 {
		return nil
	}
	var entries map[string][]int
	if err := json.Unmarshal(record, &entries); err != nil {
		return fmt.Errorf("recorded speeds: %w", err)
	}
	var faulty error
	for worker, e := range ordered.Map(entries) {
		if !isValid(e) {
			faulty = fmt.Errorf("recorded speed of worker %q: values out of range: %v", worker, e)
			continue
		}
		s := t.of(now, worker)
		t.sum -= s.mean
		s.mean = float64(e[0]) / recordScale
		s.variance = min(priorVariance, float64(e[1])/recordScale+takeoverVariance)
		t.sum += s.mean
	}
	t.usual = t.median()
	return faulty
}

// isValid reports whether a recorded speed is within range.
func isValid(e []int) bool {
	return len(e) == 2 && e[0] >= -maxRecordedLog*recordScale && e[0] <= maxRecordedLog*recordScale && e[1] >= 0 && e[1] <= recordScale
}
