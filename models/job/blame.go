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
	// Seen are the crashes, the last last.
	RecentCrashes []Crash `json:"c,omitempty"`
	// Longest is the longest time for which it may have been at work when a worker
	// crashed, Shortest the shortest.
	MaxWorkTime Milliseconds `json:"l,omitempty"`
	MinWorkTime Milliseconds `json:"s,omitempty"`
	// LastStartWorkers has the workers on which it was started last since, one but for a gang, and
	// LastStartUnixMilli when, in milliseconds since 1970: if one is gone when another box takes the
	// cell over, it crashed under the task.
	LastStartWorkers   []string `json:"w,omitempty"`
	LastStartUnixMilli int64    `json:"t,omitempty"`
}

// TimeBound is what is known of when a worker crashed under a task.
type TimeBound string

const (
	// Exact: the task had been at work for a known time.
	Exact TimeBound = ""
	// AtMost: it had been at work for some part of a known time.
	AtMost TimeBound = "within"
	// AtLeast: it had been at work for a known time, or longer.
	AtLeast TimeBound = "least"
)

// Crash is the crash of a worker under a task, as it was judged. It is kept so that it can
// be judged again by what is known later.
type Crash struct {
	// Worked is how long the task had been at work, and Time what is known of that.
	Worked Milliseconds `json:"w"`
	Bound  TimeBound    `json:"t,omitempty"`
	// Late is by how much the crash may have been seen too late, where Time is Exact.
	DetectionDelay Milliseconds `json:"d,omitempty"`
	// Workers is on how many workers it ran, a gang on several. 0 counts as 1.
	Workers int `json:"n,omitempty"`
	// Others is the hazard, a second, of a crash by the tasks beside it, Itself that of one
	// by no task.
	OtherTasksHazard float64 `json:"o"`
	BackgroundHazard float64 `json:"i"`
	// Counted is the weight with which it counts among the crashes by themselves.
	BackgroundWeight float64 `json:"k,omitempty"`
}

// isValid says whether a crash can have been kept.
func (c Crash) isValid() bool {
	known := c.Bound == Exact || c.Bound == AtMost || c.Bound == AtLeast
	return known && c.Worked >= 0 && c.DetectionDelay >= 0 && c.Workers >= 0 && c.OtherTasksHazard >= 0 && c.BackgroundHazard >= 0 && c.OtherTasksHazard+c.BackgroundHazard > 0 && c.BackgroundWeight >= 0 && c.BackgroundWeight <= 1
}

// UnmarshalJSON reads what was kept, and refuses what makes no sense.
func (b *Blame) UnmarshalJSON(data []byte) error {
	type plain Blame
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.Crashes < 1 || p.Alone < 0 || p.Alone > p.Crashes || p.Odds < 0 || math.IsInf(p.Odds, 0) || p.MinWorkTime < 0 || p.MaxWorkTime < p.MinWorkTime {
		return fmt.Errorf("blame: %+v makes no sense", p)
	}
	for _, c := range p.RecentCrashes {
		if !c.isValid() {
			return fmt.Errorf("blame: crash %+v makes no sense", c)
		}
	}
	*b = Blame(p)
	return nil
}
