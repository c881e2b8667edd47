// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package evacuations tracks which failure domains the operators have requested to evacuate. It does
// no I/O and reads no clock.
package evacuations

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"saddlevane/models/evacuation"
)

// Tracker holds the evacuations that are in force. The zero value holds none.
type Tracker struct {
	// since maps each evacuated domain to the time at which the request was applied.
	since map[string]time.Time
	// offsets has the offset of the last applied record of each domain.
	offsets map[string]int64
	// next is the offset up to which the stream was applied.
	next int64
	// unreadable has the last problem that was reported for each unreadable record.
	unreadable map[string]string
}

// Transition is the start or the end of an evacuation.
type Transition struct {
	Domain  string
	Started bool
}

// Apply applies an update and returns what it changes, sorted by domain. An update that is older than
// the state changes nothing: reads may overtake each other, and a log may return old records again.
func (t *Tracker) Apply(now time.Time, u evacuation.Update) []Transition {
	if t.since == nil {
		t.since, t.offsets, t.unreadable = map[string]time.Time{}, map[string]int64{}, map[string]string{}
	}
	if u.Complete && u.Next < t.next {
		return nil
	}
	before := maps.Clone(t.since)
	if u.Complete {
		t.withdrawUnnamed(u)
	}
	for _, c := range u.Changes {
		t.apply(now, c)
	}
	t.next = max(t.next, u.Next)
	return transitions(before, t.since)
}

// withdrawUnnamed ends the evacuations that a complete update does not name. An unreadable record
// changes nothing, so an evacuation with one stays in force.
func (t *Tracker) withdrawUnnamed(u evacuation.Update) {
	named := map[string]bool{}
	for _, c := range u.Changes {
		named[c.Domain] = true
	}
	maps.DeleteFunc(t.since, func(domain string, _ time.Time) bool {
		_, unreadable := u.Unreadable[domain]
		return !named[domain] && !unreadable
	})
	maps.DeleteFunc(t.offsets, func(domain string, _ int64) bool { return !named[domain] })
}

// apply applies the record of one domain unless a later one was applied before.
func (t *Tracker) apply(now time.Time, c evacuation.Change) {
	if last, known := t.offsets[c.Domain]; known && c.Offset < last {
		return
	}
	t.offsets[c.Domain] = c.Offset
	if !c.Requested {
		delete(t.since, c.Domain)
		return
	}
	if _, evacuated := t.since[c.Domain]; !evacuated {
		t.since[c.Domain] = now
	}
}

// transitions returns the differences between two sets of evacuated domains.
func transitions(before, after map[string]time.Time) []Transition {
	var all []Transition
	for domain := range after {
		if _, known := before[domain]; !known {
			all = append(all, Transition{Domain: domain, Started: true})
		}
	}
	for domain := range before {
		if _, remains := after[domain]; !remains {
			all = append(all, Transition{Domain: domain})
		}
	}
	slices.SortFunc(all, func(a, b Transition) int { return cmp.Compare(a.Domain, b.Domain) })
	return all
}

// NewProblems returns the unreadable records of an update, sorted by key, that were not returned
// before with the same reason.
func (t *Tracker) NewProblems(u evacuation.Update) []string {
	var keys []string
	for _, key := range slices.Sorted(maps.Keys(u.Unreadable)) {
		if t.unreadable[key] == u.Unreadable[key] || len(t.unreadable) >= maxProblems {
			continue
		}
		t.unreadable[key] = u.Unreadable[key]
		keys = append(keys, key)
	}
	return keys
}

// maxProblems bounds the unreadable records that are remembered so that each is reported once.
const maxProblems = 1000

// Includes reports whether a domain is evacuated.
func (t *Tracker) Includes(domain string) bool {
	_, evacuated := t.since[domain]
	return evacuated
}

// Domains returns the evacuated domains, sorted.
func (t *Tracker) Domains() []string { return slices.Sorted(maps.Keys(t.since)) }

// Since returns when the request to evacuate a domain was applied, or the zero time if the domain is
// not evacuated.
func (t *Tracker) Since(domain string) time.Time { return t.since[domain] }
