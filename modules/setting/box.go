// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

// Box says which entry box this is.
type Box struct {
	Name   string `yaml:"name"`
	Domain string `yaml:"domain"`
	// Processors is how much of a processor the daemon may use, and Link the rate
	// of the box's network in Mbit/s. The cell is held by a large box.
	Processors float64 `yaml:"processors"`
	LinkMbps   float64 `yaml:"link_mbps"`
	// Memory is how much the daemon may use, in MiB; 0 means as much as there is.
	MemoryMiB int64 `yaml:"memory_mb"`
}

// heapShare is the part of its memory that a daemon's heap may take before the
// garbage collector works harder: what has arrived and is not read counts too.
const heapShare = 0.7

// HeapLimit returns how large the heap should stay, in bytes, or 0 for any size.
func (b *Box) HeapLimit() int64 { return int64(float64(b.MemoryMiB<<20) * heapShare) }

// minHolderLinkMbps is the rate, in Mbit/s, below which a box counts as a quarter of its
// processors: the reports of 350 workers come to about 20 Mbit/s in bursts.
const minHolderLinkMbps = 50

// Size is how much the box can do, in thousandths of a processor.
func (b *Box) Size() int64 {
	size := int64(b.Processors * 1000)
	if b.LinkMbps < minHolderLinkMbps {
		size /= 4
	}
	return size
}

func defaultBox() Box { return Box{Processors: 1, LinkMbps: 1000} }

func (b *Box) check(c *checker) {
	c.name("box.name", b.Name)
	c.name("box.domain", b.Domain)
	checkRange(c, "box.processors", b.Processors, 0.001, 1024)
	checkRange(c, "box.link_mbps", b.LinkMbps, 0.001, 1e6)
	checkRange(c, "box.memory_mb", b.MemoryMiB, 0, 1<<30)
}

// Listen says where the daemon listens.
type Listen struct {
	// Callers is for callers' requests and the balancer's health checks.
	Callers string `yaml:"callers"`
	// Operators is for the operators' tool, metrics and dumps.
	Operators string `yaml:"operators"`
	// Peers is for other entry boxes.
	Peers string `yaml:"peers"`
	// Advertise is the address under which other entry boxes reach Peers, if it is
	// another one.
	Advertise string `yaml:"advertise"`
}

// PeerAddress returns the address under which other entry boxes reach this one.
func (l *Listen) PeerAddress() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Peers
}

func defaultListen() Listen {
	return Listen{Callers: "127.0.0.1:8080", Operators: "127.0.0.1:8081", Peers: "127.0.0.1:8082"}
}

func (l *Listen) check(c *checker) {
	c.address("listen.callers", l.Callers)
	c.address("listen.operators", l.Operators)
	c.address("listen.peers", l.Peers)
	if l.Advertise != "" {
		c.address("listen.advertise", l.Advertise)
	}
	if l.Callers == l.Operators || l.Callers == l.Peers || l.Operators == l.Peers {
		c.fail("listen", "the three addresses must differ")
	}
}
