// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"saddlevane/modules/setting"
	"saddlevane/services/core"
	"saddlevane/services/journal"
	"saddlevane/services/membership"
	"saddlevane/services/placement"
	"saddlevane/services/routing"
	"saddlevane/services/shard"
)

// journalLimit is the largest number of journal entries that may wait to be appended to the log.
const journalLimit = 10_000

// coreSettings converts the settings to those of the reducer.
func coreSettings(s setting.Settings) core.Settings {
	return core.Settings{
		Journal: journal.Settings{
			Interval: s.Platform.AppendInterval, RetryAfter: 5 * s.Platform.AppendInterval, Limit: journalLimit,
		},
		Membership: membership.Settings{
			HeartbeatInterval: s.Peers.Heartbeat, DeadAfter: s.Peers.DeadAfter, Seeds: s.Peers.Seeds,
		},
		Routing: routing.Settings{
			KeyTTL: s.Requests.KeyTTL, MaxKeys: s.Requests.MaxKeys,
			RetryRatio: s.Requests.RetryRatio, RetryBurst: s.Requests.RetryBurst,
			EjectAfter: s.Requests.EjectAfter, EjectFor: s.Requests.EjectFor, MaxEjectFor: s.Requests.MaxEjectFor,
			MinAttemptTimeout: s.Requests.MinAttemptTimeout,
		},
		Shard:     shardSettings(s),
		Retention: s.Platform.Retention, StopGrace: s.Stop.Grace, MaxStopTime: s.Stop.MaxStopTime,
	}
}

// shardSettings converts the settings to those of a shard's holder.
func shardSettings(s setting.Settings) shard.Settings {
	return shard.Settings{
		Lease: s.Workers.Lease, RenewInterval: s.Workers.RenewInterval, ClockMargin: s.Workers.ClockMargin, TaskLease: s.Workers.TaskLease,
		GoneAfter: s.Workers.GoneAfter, SettleTime: s.Workers.SettleTime, Backoff: s.Queue.Backoff, MaxBackoff: s.Queue.MaxBackoff,
		GangOvertakeTimeout: s.Queue.GangOvertakeTimeout, QuarantineAfter: s.Workers.QuarantineAfter,
		QuarantineFor: s.Workers.QuarantineFor, PlacementsPerTick: s.Queue.PlacementsPerTick,
		StopsPerTick: s.Queue.StopsPerTick,
	}
}

// policies returns the routing and placement policies that the settings select.
func policies(p setting.Policy) core.Policies {
	weights := placement.Weights{Tight: p.Tight, Balance: p.Balance}
	routes := routing.DefaultPolicy()
	if p.Routing == setting.RoutingPlain {
		routes = routing.BaselinePolicy()
	}
	return core.Policies{
		Routing: routes,
		Shard:   shard.Policy{BatchWeights: weights, ServiceWeights: weights, SpreadPenalty: p.Spread},
	}
}
