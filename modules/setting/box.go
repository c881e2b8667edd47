// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

// Box says which entry box this is.
type Box struct {
	Name   string `yaml:"name"`
	Domain string `yaml:"domain"`
}

func (b *Box) check(c *checker) {
	c.name("box.name", b.Name)
	c.name("box.domain", b.Domain)
}

// Listen says where the daemon listens.
type Listen struct {
	// Callers is for callers' requests and the balancer's health checks.
	Callers string `yaml:"callers"`
	// Operators is for the operators' tool, metrics and dumps.
	Operators string `yaml:"operators"`
	// Peers is for other entry boxes, which must reach it under this address.
	Peers string `yaml:"peers"`
}

func defaultListen() Listen {
	return Listen{Callers: "127.0.0.1:8080", Operators: "127.0.0.1:8081", Peers: "127.0.0.1:8082"}
}

func (l *Listen) check(c *checker) {
	c.address("listen.callers", l.Callers)
	c.address("listen.operators", l.Operators)
	c.address("listen.peers", l.Peers)
	if l.Callers == l.Operators || l.Callers == l.Peers || l.Operators == l.Peers {
		c.fail("listen", "the three addresses must differ")
	}
}
