// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import "time"

// Stop says how a planned stop goes.
type Stop struct {
	// Grace is how long new requests are still served, Most bounds the stop.
	Grace time.Duration `yaml:"grace"`
	Most  time.Duration `yaml:"most"`
}

func defaultStop() Stop { return Stop{Grace: 3 * time.Second, Most: time.Minute} }

func (s *Stop) check(c *checker) {
	between(c, "stop.grace", s.Grace, 0, 10*time.Minute)
	between(c, "stop.most", s.Most, time.Second, time.Hour)
	below(c, "stop.grace", s.Grace, "stop.most", s.Most)
}
