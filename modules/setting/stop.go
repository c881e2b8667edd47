// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import "time"

// Stop holds the settings of a planned stop.
type Stop struct {
	// Grace is how long new requests are still served, MaxStopTime the maximum duration of the
	// stop.
	Grace       time.Duration `yaml:"grace"`
	MaxStopTime time.Duration `yaml:"most"`
}

func defaultStop() Stop { return Stop{Grace: 3 * time.Second, MaxStopTime: time.Minute} }

func (s *Stop) check(c *checker) {
	checkRange(c, "stop.grace", s.Grace, 0, 10*time.Minute)
	checkRange(c, "stop.most", s.MaxStopTime, time.Second, time.Hour)
	checkBelow(c, "stop.grace", s.Grace, "stop.most", s.MaxStopTime)
}
