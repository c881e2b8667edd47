// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import "time"

// Platform says how to reach the platform's services.
type Platform struct {
	// Log and Boxes are the addresses of the log and of the list of boxes.
	Log   string `yaml:"log"`
	Boxes string `yaml:"boxes"`
	// Timeout bounds one call.
	Timeout time.Duration `yaml:"timeout"`
	// Wait is how long a read waits at the log for new records.
	Wait time.Duration `yaml:"wait"`
	// BoxesEvery is the time between two reads of the list.
	BoxesEvery time.Duration `yaml:"boxes_every"`
	// AppendEvery is the least time between two appends of this process.
	AppendEvery time.Duration `yaml:"append_every"`
	// Retention is how long the log keeps records.
	Retention time.Duration `yaml:"retention"`
}

func defaultPlatform() Platform {
	return Platform{
		Timeout: 3 * time.Second, Wait: 2 * time.Second, BoxesEvery: time.Second,
		AppendEvery: 100 * time.Millisecond, Retention: 24 * time.Hour,
	}
}

func (p *Platform) check(c *checker) {
	c.url("platform.log", p.Log)
	c.url("platform.boxes", p.Boxes)
	between(c, "platform.timeout", p.Timeout, 10*time.Millisecond, time.Minute)
	between(c, "platform.wait", p.Wait, 0, time.Minute)
	below(c, "platform.wait", p.Wait, "platform.timeout", p.Timeout)
	between(c, "platform.boxes_every", p.BoxesEvery, 10*time.Millisecond, time.Minute)
	between(c, "platform.append_every", p.AppendEvery, time.Millisecond, time.Minute)
	between(c, "platform.retention", p.Retention, time.Second, 365*24*time.Hour)
}
