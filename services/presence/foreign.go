// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package presence

import "saddlevane/models/order"

// maxForeignEntries bounds the entries of other writers that are remembered, so that each is
// told of once.
const maxForeignEntries = 1000

// ForeignEntries are the entries that name no worker, and why. The zero value knows none.
type ForeignEntries struct{ reasons map[string]string }

// ForeignEntry is an entry that names no worker.
type ForeignEntry struct{ Entry, Reason string }

// Update takes a change of the list, and returns the entries that name no worker, each once for
// each reason.
func (f *ForeignEntries) Update(l order.Listing) []ForeignEntry {
	if f.reasons == nil {
		f.reasons = map[string]string{}
	}
	for _, o := range l.Present {
		delete(f.reasons, o.Name)
	}
	var news []ForeignEntry
	for _, id := range l.Removed {
		why, foreign := l.Unreadable[id]
		if !foreign {
			delete(f.reasons, id)
			continue
		}
		if f.reasons[id] == why || len(f.reasons) >= maxForeignEntries {
			continue
		}
		f.reasons[id] = why
		news = append(news, ForeignEntry{Entry: id, Reason: why})
	}
	return news
}
