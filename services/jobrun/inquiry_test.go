// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun_test

import (
	"context"
	"fmt"
	"io"
	"testing"

	"saddlevane/models/exchange"
	"saddlevane/services/jobrun"

	"gotest.tools/v3/assert"
)

// TestBoxWithoutLogLearnsNextHolderFromOtherBoxes guards against refusals that last as long as the log
// turns a box away. The holder and another box lose the log, and a third box takes the cell over. The box
// without the log still forwarded its calls to the first holder, which did not know the next one either.
func TestBoxWithoutLogLearnsNextHolderFromOtherBoxes(t *testing.T) {
	on := newPlatform(t)
	calls, disconnected := disconnectableLog(on)
	direct := func(address string) string { return address }
	first := startBoxVia(t, calls, "a", io.Discard, direct)
	waitServed(t, first, jobrun.Request{Submit: submission("first")}, "")
	withoutLog := startBoxVia(t, calls, "b", io.Discard, direct)
	next := startBox(t, on, "c", io.Discard)
	waitServed(t, withoutLog, jobrun.Request{Submit: submission("warm1")}, "")
	waitServed(t, next, jobrun.Request{Submit: submission("warm2")}, "")
	assert.Check(t, first.holdsCell())

	disconnected.Store(true)
	waitUntil(t, "the third box holds the cell", next.holdsCell)
	// Some calls may still go to the first box as the holder.
	waitServed(t, withoutLog, jobrun.Request{Submit: submission("second")}, "")
	for i := range 5 {
		a := withoutLog.loop.Serve(context.Background(), jobrun.Request{Submit: submission(fmt.Sprint("j", i))})
		assert.Check(t, a.Outcome == exchange.OK, "call %d: %+v", i, a)
	}
}
