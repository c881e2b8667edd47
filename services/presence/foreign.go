// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package presence

import "saddlevane/models/order"

// maxForeignEntries bounds the foreign entries that are remembered so that each is reported only
// once.
const maxForeignEntries = 1000

// ForeignEntries holds the entries of the worker list that name no worker, written by other
// programs, each with the reason. The zero value holds none.
type ForeignEntries struct{ reasons map[string]string }

// ForeignEntry is an entry that names no worker, with the reason reason it does not.
type ForeignEntry struct{ Entry, Reason string }

// Update applies a change of the worker list and returns the entries that name no worker, each once
// for each reason.
func (f *ForeignEntries) Update(l order.Listing) []ForeignEntry {
	if f.reasons == nil {
		f.reasons = map[string]string{}
	}
	for _, o := range l.Present {
		delete(f.reasons, o.Name)
	}
	var added []ForeignEntry
	for _, id := range l.Removed {
		reason, foreign := l.Unreadable[id]
		if !foreign {
			delete(f.reasons, id)
			continue
		}
		if f.reasons[id] == reason || len(f.reasons) >= maxForeignEntries {
			continue
		}
		f.reasons[id] = reason
		added = append(added, ForeignEntry{Entry: id, Reason: reason})
	}
	return added
}
