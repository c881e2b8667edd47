// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"testing"
	"time"
)

// lateOrderWorlds returns how many worlds TestNoTaskRunsTwiceBesideLateOrders runs for each share, and
// the first seed. SADDLEVANE_LATE_ORDERS and SADDLEVANE_LATE_ORDERS_SEED override them.
func lateOrderWorlds(t *testing.T) (worlds, first int64) {
	return worldRange(t, "SADDLEVANE_LATE_ORDERS", 4, 800_000)
}

// Workers restart under their names while many orders, renewals included, are carried out seconds late.
// No task that is done may run again, and no job may wait forever while there is room.
func TestNoTaskRunsTwiceBesideLateOrders(t *testing.T) {
	worlds, first := lateOrderWorlds(t)
	playLateOrderWorlds(t, worlds, first, func(*world) {})
}

// playLateOrderWorlds plays worlds with restarts and late orders for each share of late orders. schedule schedules
// what else happens in a world.
func playLateOrderWorlds(t *testing.T, worlds, first int64, schedule func(w *world)) {
	t.Helper()
	for _, share := range []float64{0.05, 0.2} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			for seed := first; seed < first+worlds; seed++ {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					w := newWorld(t, seed, 3, 24)
					w.scheduleRestarts()
					w.lateOrderShare, w.lateOrdersIncludeRenewals = share, true
					schedule(w)
					w.runChecked(int(restartPeriod / (200 * time.Millisecond)))
					w.lateOrderShare, w.lateOrdersIncludeRenewals = 0, false
					w.run(settleTime)
					w.runUntilEndedWithoutIdleWaits()
				})
			}
		})
	}
}
