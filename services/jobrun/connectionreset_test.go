// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/services/jobrun"
	"saddlevane/tests/tcpproxy"

	"gotest.tools/v3/assert"
)

// newForwarder returns a forwarder for connections between boxes, or to services, which is closed when
// the test ends.
func newForwarder(t *testing.T) *tcpproxy.Proxy {
	t.Helper()
	f := tcpproxy.New()
	t.Cleanup(f.Close)
	return f
}

// via returns a function that returns, for an address, an address that leads to it through f.
func via(t *testing.T, f *tcpproxy.Proxy) func(address string) string {
	t.Helper()
	return func(address string) string {
		forwarded, err := f.Forward(address)
		assert.NilError(t, err)
		return forwarded
	}
}

func TestCallsSucceedWhenConnectionsToHolderAreReset(t *testing.T) {
	on := newPlatform(t)
	links := newForwarder(t)
	holder := startBoxVia(t, on.Calls(), "a", io.Discard, via(t, links))
	waitServed(t, holder, jobrun.Request{Submit: submission("first")}, "")
	other := startBox(t, on, "b", io.Discard)
	waitServed(t, other, jobrun.Request{Submit: submission("second")}, "")
	assert.Check(t, holder.holdsCell())

	for round := range 6 {
		var calls sync.WaitGroup
		for i := range 10 {
			calls.Go(func() {
				a := other.loop.Serve(context.Background(), jobrun.Request{Submit: submission(fmt.Sprintf("j%d-%d", round, i))})
				assert.Check(t, a.Outcome == exchange.OK, "call %d in round %d: %+v", i, round, a)
			})
		}
		links.Reset()
		calls.Wait()
	}
	if t.Failed() {
		return
	}
	for round := range 6 {
		for i := range 10 {
			id := fmt.Sprintf("j%d-%d", round, i)
			waitServed(t, other, jobrun.Request{State: job.ID(id)}, job.Succeeded)
			assert.Equal(t, on.StartCount(id+".0.0.0"), 1)
		}
	}
}
