// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

// Policy weighs the decisions of a deployment.
type Policy struct {
	// Tight prefers workers that a task nearly fills, Balance workers whose
	// processors and memory run out together.
	Tight   float64 `yaml:"tight"`
	Balance float64 `yaml:"balance"`
	// Spread is the penalty for each task of a service in the same group.
	Spread float64 `yaml:"spread"`
	// Routing is how requests are given to targets.
	Routing string `yaml:"routing"`
}

// The ways to give requests to targets. RoutingPlain, round robin without
// priorities or early refusal, is there to be measured against.
const (
	RoutingShared = "shared"
	RoutingPlain  = "plain"
)

func defaultPolicy() Policy { return Policy{Tight: 1, Balance: 4, Spread: 10, Routing: RoutingShared} }

func (p *Policy) check(c *checker) {
	checkRange(c, "policy.tight", p.Tight, 0, 1000)
	checkRange(c, "policy.balance", p.Balance, 0, 1000)
	checkRange(c, "policy.spread", p.Spread, 0, 1000)
	if p.Routing != RoutingShared && p.Routing != RoutingPlain {
		c.fail("policy.routing", "want %s or %s, got %q", RoutingShared, RoutingPlain, p.Routing)
	}
}
