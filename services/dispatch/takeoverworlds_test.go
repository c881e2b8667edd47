// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"testing"
	"time"
)

// takeoverWorlds returns how many worlds TestNoTaskRunsTwiceOverTakeoversBesideLateOrders runs for each share,
// and the first seed. SADDLEVANE_TAKEOVERS and SADDLEVANE_TAKEOVERS_SEED override them.
func takeoverWorlds(t *testing.T) (worlds, first int64) {
	return worldRange(t, "SADDLEVANE_TAKEOVERS", 2, 870_000)
}

// The holder is lost many times while many orders, renewals included, are carried out seconds late. After every
// second loss half of the workers restart, and calls do not reach them at first, while late orders do.
func TestNoTaskRunsTwiceOverTakeoversBesideLateOrders(t *testing.T) {
	worlds, first := takeoverWorlds(t)
	playLateOrderWorlds(t, worlds, first, func(w *world) { w.scheduleTakeovers(6 + 2*w.rng.Intn(2)) })
}

// maxRestartDelay is the longest time from the loss of a holder until a worker restarts because of it.
const maxRestartDelay = 8 * time.Second

// scheduleTakeovers schedules losses of the holder. After every second one half of the workers restart.
func (w *world) scheduleTakeovers(losses int) {
	for i := range losses {
		w.after(time.Duration(w.rng.Int63n(int64(restartPeriod))), func() {
			if h := w.holder(); h != nil {
				w.killBox(h, time.Second)
			}
			if i%2 == 1 {
				w.restartHalfOfWorkers()
			}
		})
	}
}

// restartHalfOfWorkers restarts half of the workers within maxRestartDelay. Calls do not reach a later incarnation
// for 0.5 to 4 s; orders in transit do.
func (w *world) restartHalfOfWorkers() {
	for i, f := range w.workers {
		if w.rng.Intn(2) == 0 {
			continue
		}
		w.after(time.Duration(w.rng.Int63n(int64(maxRestartDelay))), func() {
			w.restartWorker(i)
			f.unreachable = true
			w.after(time.Duration(500+w.rng.Intn(3500))*time.Millisecond, func() { f.unreachable = false })
		})
	}
}
