// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/services/learned"
)

// lessons are what ends and answers have shown.
type lessons struct {
	// good is the share of workers that suited a queue's steps.
	good map[string]float64
	// stopTime is how long it usually takes until a task that is to end has ended.
	stopTime time.Duration
	// fleetSpeed is the mean over all workers of what speed.mean is of one.
	fleetSpeed float64
	// times is what is known of the run times of each queue's steps.
	times map[string]*learned.RunTimes
	// changed says that times were learned that the log does not have.
	changed bool
}

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

// newLessons returns what is believed before anything was seen.
func newLessons() lessons {
	return lessons{good: map[string]float64{}, times: map[string]*learned.RunTimes{}, stopTime: firstStopTime}
}

// advised takes how many of the workers asked about suited a step of a queue.
func (l *lessons) advised(queue string, asked, good int) {
	if asked == 0 {
		return
	}
	l.good[queue] = l.goodShare(queue)*(1-forgetting) + forgetting*float64(good)/float64(asked)
}

// stopped takes how long a stop took from its order until its end was told.
func (l *lessons) stopped(took time.Duration) {
	l.stopTime += time.Duration(forgetting * float64(took-l.stopTime))
}

// goodShare returns the share of workers that are expected to suit.
func (l *lessons) goodShare(queue string) float64 {
	if share, ok := l.good[queue]; ok {
		return max(leastGood, share)
	}
	return firstGood
}
