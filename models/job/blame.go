// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package job

import (
	"encoding/json"
	"fmt"
	"math"
)

// Blame is the evidence that a task crashes the workers it runs on. It is written to the log, so
// that the next holder of the cell has it too.
type Blame struct {
	// Crashes counts the workers that crashed, or may have crashed, while they ran the task. Several
	// workers of a gang that crash during one run count once.
	Crashes int `json:"n"`
	// Alone counts those crashes where no other task had started on the worker shortly before.
	Alone int `json:"a,omitempty"`
	// Odds is the probability that the task crashes its workers, divided by the probability that
	// it does not, by the crashes that are certain.
	Odds float64 `json:"o"`
	// CautiousOdds is the same with those workers counted as crashed that are missing, or 0 if none is.
	CautiousOdds float64 `json:"q,omitempty"`
	// RecentCrashes lists the newest crashes, oldest first.
	RecentCrashes []Crash `json:"c,omitempty"`
	// MaxWorkTime and MinWorkTime are the longest and the shortest time that the task had run when
	// a worker crashed. Only crashes with an exact run time count.
	MaxWorkTime Milliseconds `json:"l,omitempty"`
	MinWorkTime Milliseconds `json:"s,omitempty"`
	// LastStartWorkers names the workers of the last start after the newest crash (one, or several
	// for a gang), and LastStartUnixMilli is its time in milliseconds since 1970. If such a worker
	// is gone when another box takes over the cell, the new holder counts this as a crash under
	// the task.
	LastStartWorkers   []string `json:"w,omitempty"`
	LastStartUnixMilli int64    `json:"t,omitempty"`
}

// TimeBound is the relation of a measured run time to the time that the task really ran before its
// worker crashed.
type TimeBound string

// The relations of a measured run time to the real one.
const (
	// Exact means that the task ran for the measured time.
	Exact TimeBound = ""
	// AtMost means that the task ran for some part of the measured time.
	AtMost TimeBound = "within"
	// AtLeast means that the task ran for the measured time or longer.
	AtLeast TimeBound = "least"
)

// Crash describes the crash of a worker that ran a task, with the rates from which its odds were
// computed. It is stored so that the odds can be recomputed once the crash rate is known better.
type Crash struct {
	// Worked is how long the task had run, and Bound the relation of that value to the real time.
	Worked Milliseconds `json:"w"`
	Bound  TimeBound    `json:"t,omitempty"`
	// DetectionDelay is the longest time that may have passed between the crash and its
	// detection. It is set only if Bound is Exact; Worked then includes the delay.
	DetectionDelay Milliseconds `json:"d,omitempty"`
	// Workers is the number of workers that the task ran on, more than one for a gang. 0 counts
	// as 1.
	Workers int `json:"n,omitempty"`
	// SameRun is set if the crash came under the same run as the crash before it in the list:
	// another worker of a gang crashed. The task caused at most one crash of a run.
	SameRun bool `json:"r,omitempty"`
	// OtherTasksHazard is the rate of crashes per second caused by the other tasks on the worker,
	// BackgroundHazard the rate of crashes that no task causes.
	OtherTasksHazard float64 `json:"o"`
	BackgroundHazard float64 `json:"i"`
	// BackgroundWeight is the weight, 0 to 1, with which the crash was added to the rate of
	// crashes that no task causes.
	BackgroundWeight float64 `json:"k,omitempty"`
	// Missing is set while it is not known for sure whether the worker has crashed.
	Missing *MissingWorker `json:"m,omitempty"`
}

// MissingWorker describes a worker that may have crashed, or may be out of reach and go on. It is
// stored so that the next holder can determine which.
type MissingWorker struct {
	// Name is the worker's name, BornUnixMilli the start time of its incarnation in milliseconds since
	// 1970, or 0 if that is not known.
	Name          string `json:"n"`
	BornUnixMilli int64  `json:"b,omitempty"`
	// Address and Rack are those of the worker.
	Address string `json:"a,omitempty"`
	Rack    string `json:"r,omitempty"`
	// SinceUnixMilli is when the worker stopped answering, in milliseconds since 1970.
	SinceUnixMilli int64 `json:"t"`
	// Alone is set if this crash is one of those that Blame.Alone counts.
	Alone bool `json:"l,omitempty"`
	// Overdue is set once the worker has been missing for so long that it counts as crashed until it
	// answers again.
	Overdue bool `json:"o,omitempty"`
}

// IsCertain reports whether the crash counts as one that has certainly happened.
func (c Crash) IsCertain() bool { return c.Missing == nil || c.Missing.Overdue }

// isValid reports whether a stored crash has a known bound and values within their ranges.
func (c Crash) isValid() bool {
	known := c.Bound == Exact || c.Bound == AtMost || c.Bound == AtLeast
	return known && c.Worked >= 0 && c.DetectionDelay >= 0 && c.Workers >= 0 &&
		c.OtherTasksHazard >= 0 && c.BackgroundHazard >= 0 && c.OtherTasksHazard+c.BackgroundHazard > 0 &&
		c.BackgroundWeight >= 0 && c.BackgroundWeight <= 1 && (c.Missing == nil || c.Missing.Name != "")
}

// UnmarshalJSON decodes a stored Blame and returns an error if a value is out of range.
func (b *Blame) UnmarshalJSON(data []byte) error {
	type plain Blame
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.Crashes < 1 || p.Alone < 0 || p.Alone > p.Crashes || p.Odds < 0 || math.IsInf(p.Odds, 0) ||
		p.CautiousOdds < 0 || math.IsInf(p.CautiousOdds, 0) || p.MinWorkTime < 0 || p.MaxWorkTime < p.MinWorkTime {
		return fmt.Errorf("blame: want Crashes >= 1, Alone in 0..Crashes, finite Odds and CautiousOdds >= 0, MinWorkTime in 0..MaxWorkTime, got %+v", p)
	}
	for _, c := range p.RecentCrashes {
		if !c.isValid() {
			return fmt.Errorf("blame: crash: want a known Bound, no negative value, a hazard above 0, BackgroundWeight <= 1, the name of a missing worker, got %+v", c)
		}
	}
	*b = Blame(p)
	return nil
}
