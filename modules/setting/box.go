// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

// Box identifies this entry box and the resources it may use.
type Box struct {
	Name   string `yaml:"name"`
	Domain string `yaml:"domain"`
	// Processors is the number of processors the daemon may use, which may be fractional.
	// LinkMbps is the rate of the box's network in Mbit/s. Both determine Size, because the
	// cell should be held by a large box.
	Processors float64 `yaml:"processors"`
	LinkMbps   float64 `yaml:"link_mbps"`
	// MemoryMiB is the memory the daemon may use, in MiB; 0 means no limit.
	MemoryMiB int64 `yaml:"memory_mb"`
}

// heapShare is the fraction of the daemon's memory that its heap may reach before the garbage
// collector runs more often. The rest is left for data that has been received but not read yet,
// which is not on the heap.
const heapShare = 0.7

// HeapLimit returns the soft limit of the heap in bytes, or 0 for no limit.
func (b *Box) HeapLimit() int64 { return int64(float64(b.MemoryMiB<<20) * heapShare) }

// minHolderLinkMbps is the link rate, in Mbit/s, below which Size counts only a quarter of the
// box's processors: the reports of 350 workers to the holder reach about 20 Mbit/s in bursts.
const minHolderLinkMbps = 50

// Size returns the capacity of the box as a holder, in thousandths of a processor.
func (b *Box) Size() int64 {
	size := int64(b.Processors * 1000)
	if b.LinkMbps < minHolderLinkMbps {
		size /= 4
	}
	return size
}

func defaultBox() Box { return Box{Processors: 1, LinkMbps: 1000} }

func (b *Box) check(c *checker) {
	c.checkName("box.name", b.Name)
	c.checkName("box.domain", b.Domain)
	checkRange(c, "box.processors", b.Processors, 0.001, 1024)
	checkRange(c, "box.link_mbps", b.LinkMbps, 0.001, 1e6)
	checkRange(c, "box.memory_mb", b.MemoryMiB, 0, 1<<30)
}

// Listen holds the addresses that the daemon listens on.
type Listen struct {
	// Callers serves callers' requests and the balancer's health checks.
	Callers string `yaml:"callers"`
	// Operators serves the operators' tool, metrics and dumps.
	Operators string `yaml:"operators"`
	// Peers accepts connections of other entry boxes.
	Peers string `yaml:"peers"`
	// Advertise is the address under which other entry boxes reach Peers, if it differs from
	// Peers.
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
	c.checkAddress("listen.callers", l.Callers)
	c.checkAddress("listen.operators", l.Operators)
	c.checkAddress("listen.peers", l.Peers)
	if l.Advertise != "" {
		c.checkAddress("listen.advertise", l.Advertise)
	}
	if l.Callers == l.Operators || l.Callers == l.Peers || l.Operators == l.Peers {
		c.addProblem("listen", "the three addresses must differ")
	}
}
