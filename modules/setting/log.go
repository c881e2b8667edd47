// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

// Log holds the level and format of the daemon's log.
type Log struct {
	Level  string `yaml:"level"`
	Format string `yaml:"format"`
}

func defaultLog() Log { return Log{Level: "info", Format: "json"} }

func (l *Log) check(c *checker) {
	switch l.Level {
	case "debug", "info", "warning", "error":
	default:
		c.addProblem("log.level", "want debug, info, warning or error, got %q", l.Level)
	}
	if l.Format != "json" && l.Format != "text" {
		c.addProblem("log.format", "want json or text, got %q", l.Format)
	}
}
