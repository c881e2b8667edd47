// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package job

import (
	"encoding/json"
	"fmt"
	"math"
)

// Blame is what is held against a task under which workers have crashed. The log keeps
// it, so that a task which crashes its workers is known to the next holder too.
type Blame struct {
	// Crashes counts the workers that crashed under the task.
	Crashes int `json:"n"`
	// Alone counts those of them on which no other task had begun shortly before.
	Alone int `json:"a,omitempty"`
	// Odds are how much likelier it is that the task crashes its workers than that it
	// does not.
	Odds float64 `json:"o"`
	// Longest is the longest time for which it may have been at work when a worker
	// crashed, Shortest the shortest.
	Longest  Milliseconds `json:"l,omitempty"`
	Shortest Milliseconds `json:"s,omitempty"`
	// TriedOn has the workers on which it was started last since, one but for a gang, and
	// TriedAt when, in milliseconds since 1970: if one is gone when another box takes the
	// cell over, it crashed under the task.
	TriedOn []string `json:"w,omitempty"`
	TriedAt int64    `json:"t,omitempty"`
}

// UnmarshalJSON reads what was kept, and refuses what makes no sense.
func (b *Blame) UnmarshalJSON(data []byte) error {
	type plain Blame
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.Crashes < 1 || p.Alone < 0 || p.Alone > p.Crashes || p.Odds < 0 || math.IsInf(p.Odds, 0) || p.Shortest < 0 || p.Longest < p.Shortest {
		return fmt.Errorf("blame: %+v makes no sense", p)
	}
	*b = Blame(p)
	return nil
}
