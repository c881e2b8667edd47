// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package order

import "strconv"

// Incarnation identifies one incarnation of a worker. A worker that restarts may keep its name, but
// it has lost all runs and all state: its clock, the numbers of its ends and its fence start afresh.
type Incarnation struct {
	// Name is the name of the worker in calls to it.
	Name string `json:"ID"`
	// BornUnixMilli is when the incarnation started by the worker's own clock, in milliseconds
	// since 1970, or 0 if the platform does not report it. That clock may step back: two different
	// values are two incarnations, but the larger value need not be the later incarnation.
	BornUnixMilli int64 `json:"born_unix_ms,omitempty"`
}

// DiffersFrom reports whether i and o are certainly different incarnations. They may be the same if
// the start time of one is unknown.
func (i Incarnation) DiffersFrom(o Incarnation) bool {
	return i.Name != o.Name || i.BornUnixMilli != o.BornUnixMilli && i.BornUnixMilli != 0 && o.BornUnixMilli != 0
}

// String returns "name@born", or just the name if the start time is unknown.
func (i Incarnation) String() string {
	if i.BornUnixMilli == 0 {
		return i.Name
	}
	return i.Name + "@" + strconv.FormatInt(i.BornUnixMilli, 10)
}
