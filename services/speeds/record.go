// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package speeds

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
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
	// maxRecordBytes bounds the record to a quarter of what a record of the log may have.
	maxRecordBytes = 64 << 10
	// bytesPerSecond is what records of speeds take of a box's connection, which has some kilobytes a
	// second.
	bytesPerSecond = 300
	// minRecordInterval is the minimum time between two records.
	minRecordInterval = 3 * time.Second
	// restKey is the key of the entry for all workers that have none of their own: the mean of their
	// logarithms, and their number instead of the variance.
	restKey = ""
	// maxRest is more than the number of workers of any cell.
	maxRest = 1 << 20
)

// Entry is the recorded speed of a worker: the logarithm, compared with the mean of all, and the
// variance, in units of 1/recordScale.
type Entry [2]int

// rest is workers that an earlier holder knew, but left out of its record.
type rest struct {
	count     int
	mean      float64
	updatedAt time.Time
}

// IsRecordDue reports whether there was evidence since the last call of Record and a record may be written.
// The more bytes the last one had, the later the next is due.
func (t *Tracker) IsRecordDue(now time.Time) bool {
	age := now.Sub(t.recordedAt)
	return t.changed && (age < 0 || age >= t.recordInterval)
}

// Record returns what is recorded for the next holder. It forgets the workers of which nothing is known any
// more, and leaves out those of which little is known and, beyond maxRecordBytes, those that differ least.
func (t *Tracker) Record(now time.Time) map[string]Entry {
	t.forgetOld(now)
	workers := t.recorded(now)
	entries := make(map[string]Entry, len(workers)+1)
	size, sum := 0, t.sum
	for _, worker := range workers {
		s := t.speeds[worker]
		e := Entry{thousandths(s.mean - t.mean()), int(math.Ceil(recordScale * s.varianceAt(now)))}
		if size += e.bytes(worker); size > maxRecordBytes {
			break
		}
		entries[worker] = e
		sum -= s.mean
	}
	if left := len(t.speeds) - len(entries) + t.rest.count; left > 0 {
		sum += t.rest.mean * float64(t.rest.count)
		entries[restKey] = Entry{thousandths(sum/float64(left) - t.mean()), left}
	}
	t.changed, t.recordedAt = false, now
	t.recordInterval = max(minRecordInterval, time.Duration(size)*time.Second/bytesPerSecond)
	return entries
}

// recorded returns the workers of which enough is known for a record, those that differ most first.
func (t *Tracker) recorded(now time.Time) []string {
	var workers []string
	differences := map[string]float64{}
	for worker, s := range ordered.Map(t.speeds) {
		e := t.Of(now, worker)
		if worker == restKey || e.class() == 0 && s.varianceAt(now) >= priorVariance/2 {
			continue
		}
		workers = append(workers, worker)
		differences[worker] = math.Abs(e.certainDifference())
	}
	slices.SortStableFunc(workers, func(a, b string) int { return cmp.Compare(differences[b], differences[a]) })
	return workers
}

// thousandths returns a logarithm in units of 1/recordScale.
func thousandths(log float64) int { return int(math.Round(recordScale * log)) }

// bytes returns the number of bytes of the entry of a worker in a record.
func (e Entry) bytes(worker string) int {
	// A string is always encoded without an error.
	key, _ := json.Marshal(worker)
	return len(key) + len(":[,],") + len(strconv.Itoa(e[0])) + len(strconv.Itoa(e[1]))
}

// forgetOld forgets the workers whose evidence is so old that nothing is known of them.
func (t *Tracker) forgetOld(now time.Time) {
	t.sum = 0
	if now.Sub(t.rest.updatedAt) >= growthTime {
		t.rest = rest{}
	}
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
		if !isValid(worker, e) {
			faulty = fmt.Errorf("recorded speed of worker %q: values out of range: %v", worker, e)
			continue
		}
		if worker == restKey {
			continue
		}
		s := t.of(now, worker)
		t.sum -= s.mean
		s.mean = float64(e[0]) / recordScale
		s.variance = min(priorVariance, float64(e[1])/recordScale+takeoverVariance)
		t.sum += s.mean
	}
	if e := entries[restKey]; isValid(restKey, e) {
		t.rest = rest{count: e[1], mean: float64(e[0]) / recordScale, updatedAt: now}
	}
	t.usual = t.median()
	return faulty
}

// isValid reports whether the recorded speed of a worker is within range.
func isValid(worker string, e []int) bool {
	limit := recordScale
	if worker == restKey {
		limit = maxRest
	}
	return len(e) == 2 && e[0] >= -maxRecordedLog*recordScale && e[0] <= maxRecordedLog*recordScale && e[1] >= 0 && e[1] <= limit
}
