// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package order

import "strconv"

// Incarnation names one life of a worker. A worker that starts again may keep its name; it runs and
// knows nothing of before then, and its clock, its ends and its fence begin anew.
type Incarnation struct {
	// Name is the worker's name, by which it is called.
	Name string `json:"ID"`
	// BornUnixMilli is when the life began by the worker's own clock, in milliseconds since
	// 1970, or 0 where the platform does not tell. That clock may step back: two different
	// numbers are two lives, but the larger need not be the later.
	BornUnixMilli int64 `json:"born_unix_ms,omitempty"`
}

// DiffersFrom says whether two names of lives surely mean different ones.
func (l Incarnation) DiffersFrom(o Incarnation) bool {
	return l.Name != o.Name || l.BornUnixMilli != o.BornUnixMilli && l.BornUnixMilli != 0 && o.BornUnixMilli != 0
}

// String returns the name and, if it is known, when the life began.
func (l Incarnation) String() string {
	if l.BornUnixMilli == 0 {
		return l.Name
	}
	return l.Name + "@" + strconv.FormatInt(l.BornUnixMilli, 10)
}
