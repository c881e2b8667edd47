// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package learned

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	// firstGood is believed of a queue of which nothing is known.
	firstGood = 0.4
	// leastGood bounds how many workers are asked about at once.
	leastGood = 0.1
	// forgetting is the weight of one answer among those before.
	forgetting = 0.05
	// firstStopTime is believed of stops as long as none was seen.
	firstStopTime = 200 * time.Millisecond
)

// Lessons are what ends and answers have shown.
type Lessons struct {
	// good is the share of workers that suited a queue's steps.
	good map[string]float64
	// stopTime is how long it usually takes until a task that is to end has ended.
	stopTime time.Duration
	// fleetSpeed is the mean over all workers of what Speed.mean is of one.
	fleetSpeed float64
	// times is what is known of the run times of each queue's steps.
	times map[string]*RunTimes
	// changed says that times were learned that the log does not have.
	changed bool
}

// NewLessons returns what is believed before anything was seen.
func NewLessons() *Lessons {
	return &Lessons{good: map[string]float64{}, times: map[string]*RunTimes{}, stopTime: firstStopTime}
}

// Advised takes how many of the workers asked about suited a step of a queue.
func (l *Lessons) Advised(queue string, asked, good int) {
	if asked == 0 {
		return
	}
	l.good[queue] = l.GoodShare(queue)*(1-forgetting) + forgetting*float64(good)/float64(asked)
}

// GoodShare returns the share of workers that are expected to suit.
func (l *Lessons) GoodShare(queue string) float64 {
	if share, ok := l.good[queue]; ok {
		return max(leastGood, share)
	}
	return firstGood
}

// Stopped takes how long a stop took from its order until its end was told.
func (l *Lessons) Stopped(took time.Duration) {
	l.stopTime += time.Duration(forgetting * float64(took-l.stopTime))
}

// StopTime returns how long it usually takes until a task that is to end has ended.
func (l *Lessons) StopTime() time.Duration { return l.stopTime }

// FleetSpeed returns how slow workers are on average.
func (l *Lessons) FleetSpeed() float64 { return l.fleetSpeed }

// Worked takes how long a task took on some worker, against what it should have.
func (l *Lessons) Worked(ratio float64) { l.fleetSpeed = Fleet(l.fleetSpeed, ratio) }

// Expect returns how long a queue's steps take that are estimated at some time.
func (l *Lessons) Expect(queue string, estimate time.Duration) time.Duration {
	return l.timesOf(queue).Expect(estimate)
}

// Took takes how long a step of a queue took that was estimated at some time.
func (l *Lessons) Took(queue string, estimate, took time.Duration) {
	l.timesOf(queue).Observe(estimate, took)
	l.changed = true
}

// timesOf returns what is known of a queue's run times.
func (l *Lessons) timesOf(queue string) *RunTimes {
	r := l.times[queue]
	if r == nil {
		r = &RunTimes{}
		l.times[queue] = r
	}
	return r
}

// Changed says whether there is more for the log to keep than when Times was called last.
func (l *Lessons) Changed() bool { return l.changed }

// Times returns what the log is to keep of run times.
func (l *Lessons) Times() map[string]*RunTimes {
	l.changed = false
	return l.times
}

// Resume takes over what an earlier holder knew of run times.
func (l *Lessons) Resume(kept []byte) error {
	if len(kept) == 0 {
		return nil
	}
	times := map[string]*RunTimes{}
	if err := json.Unmarshal(kept, &times); err != nil {
		return fmt.Errorf("kept run times: %w", err)
	}
	for queue, r := range times {
		if r != nil {
			l.times[queue] = r
		}
	}
	return nil
}
