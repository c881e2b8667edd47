// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import "time"

// Connections limits how long an open connection may be silent before it is discarded. A
// connection can go silent for good without a reset while new connections work.
type Connections struct {
	// ProbeAfter is how long nothing may be received on a link to another entry box before the
	// link is probed.
	ProbeAfter time.Duration `yaml:"probe"`
	// AnswerTimeout is how long the answer to a probe may take. It is also how long the answer
	// to a call that may be retried may be overdue before the call is retried on a new
	// connection.
	AnswerTimeout time.Duration `yaml:"answer"`
	// IdleTimeout is how long a connection to the platform or a worker is kept without a call.
	// It limits how long silent connections that nobody uses hold resources. With 350 workers,
	// 4,050 connections were opened per minute with 10 s, 2,800 with 75 s, 7,700 with 3 s and
	// 13,500 with 1 s, with no difference to callers.
	IdleTimeout time.Duration `yaml:"unused"`
	// CallerTimeout is how long nothing may be received or acknowledged on a caller's
	// connection before it is closed.
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
