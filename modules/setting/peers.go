// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"strconv"
	"time"
)

// Peers holds the settings by which entry boxes monitor each other.
type Peers struct {
	Heartbeat time.Duration `yaml:"heartbeat"`
	// DeadAfter is how long a peer that sends no heartbeat still counts as live.
	DeadAfter time.Duration `yaml:"dead_after"`
	// Seeds are the addresses of peers to contact when the list of boxes cannot be read.
	Seeds []string `yaml:"seeds"`
}

func defaultPeers() Peers {
	return Peers{Heartbeat: 500 * time.Millisecond, DeadAfter: 1500 * time.Millisecond}
}

func (p *Peers) check(c *checker) {
	checkRange(c, "peers.heartbeat", p.Heartbeat, 10*time.Millisecond, time.Minute)
	checkRange(c, "peers.dead_after", p.DeadAfter, 20*time.Millisecond, 10*time.Minute)
	checkBelow(c, "peers.heartbeat", 2*p.Heartbeat, "peers.dead_after", p.DeadAfter)
	for i, seed := range p.Seeds {
		c.checkAddress("peers.seeds["+strconv.Itoa(i)+"]", seed)
	}
}
