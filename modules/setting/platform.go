// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import "time"

// Platform holds the settings for access to the platform's services.
type Platform struct {
	// LogURL and BoxesURL are the addresses of the log and of the list of boxes.
	LogURL   string `yaml:"log"`
	BoxesURL string `yaml:"boxes"`
	// Timeout limits the time of one call.
	Timeout time.Duration `yaml:"timeout"`
	// ReadWait is how long a read waits at the log for new records.
	ReadWait time.Duration `yaml:"wait"`
	// BoxesInterval is the time between two reads of the list of boxes.
	BoxesInterval time.Duration `yaml:"boxes_every"`
	// AppendInterval is the minimum time between two appends of this process.
	AppendInterval time.Duration `yaml:"append_every"`
	// Retention is how long the log keeps records.
	Retention time.Duration `yaml:"retention"`
}

func defaultPlatform() Platform {
	return Platform{
		Timeout: 3 * time.Second, ReadWait: 2 * time.Second, BoxesInterval: time.Second,
		AppendInterval: 100 * time.Millisecond, Retention: 24 * time.Hour,
	}
}

func (p *Platform) check(c *checker) {
	c.checkURL("platform.log", p.LogURL)
	c.checkURL("platform.boxes", p.BoxesURL)
	checkRange(c, "platform.timeout", p.Timeout, 10*time.Millisecond, time.Minute)
	checkRange(c, "platform.wait", p.ReadWait, 0, time.Minute)
	checkBelow(c, "platform.wait", p.ReadWait, "platform.timeout", p.Timeout)
	checkRange(c, "platform.boxes_every", p.BoxesInterval, 10*time.Millisecond, time.Minute)
	checkRange(c, "platform.append_every", p.AppendInterval, time.Millisecond, time.Minute)
	checkRange(c, "platform.retention", p.Retention, time.Second, 365*24*time.Hour)
}
