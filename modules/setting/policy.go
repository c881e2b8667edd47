// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

// Policy holds the weights of placement decisions and the routing policy.
type Policy struct {
	// Tight is the weight of workers that a task nearly fills, Balance that of workers whose
	// processors and memory run out together.
	Tight   float64 `yaml:"tight"`
	Balance float64 `yaml:"balance"`
	// Spread is the penalty for each task of the same service in the same group.
	Spread float64 `yaml:"spread"`
	// Routing is the policy by which requests are assigned to targets.
	Routing string `yaml:"routing"`
}

// The routing policies. RoutingPlain is round robin without priorities or early refusal, the
// baseline for comparisons.
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
		c.addProblem("policy.routing", "want %s or %s, got %q", RoutingShared, RoutingPlain, p.Routing)
	}
}
