// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"

	"saddlevane/models/job"
	"saddlevane/services/dispatch"
	"saddlevane/services/jobrun"

	"gotest.tools/v3/assert"
)

// resetter forwards connections and resets all of them when it is told to.
type resetter struct {
	t  *testing.T
	mu sync.Mutex
	// refuses resets new connections too.
	refuses bool
	conns   []net.Conn
}

// via forwards to an address and returns where it listens.
func (r *resetter) via(address string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { _ = l.Close(); r.reset() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", address)
			if err != nil {
				_ = in.Close()
				continue
			}
			r.mu.Lock()
			if r.refuses {
				_ = in.Close()
			}
			r.conns = append(r.conns, in, out)
			r.mu.Unlock()
			go func() { _, _ = io.Copy(out, in); _ = out.Close() }()
			go func() { _, _ = io.Copy(in, out); _ = in.Close() }()
		}
	}()
	return l.Addr().String()
}

func (r *resetter) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
}

func TestACallerIsServedThoughConnectionsToTheHolderAreReset(t *testing.T) {
	on := platformOf(t)
	links := &resetter{t: t}
	holder := startVia(t, on.Calls(), "a", io.Discard, links.via)
	served(t, holder, jobrun.Request{Submit: submission("first")}, "")
	other := start(t, on, "b", io.Discard)
	served(t, other, jobrun.Request{Submit: submission("second")}, "")
	assert.Check(t, holder.holds())

	for round := range 6 {
		var calls sync.WaitGroup
		for i := range 10 {
			calls.Go(func() {
				a := other.loop.Serve(context.Background(), jobrun.Request{Submit: submission(fmt.Sprintf("j%d-%d", round, i))})
				assert.Check(t, a.Outcome == dispatch.OK, "call %d in round %d: %+v", i, round, a)
			})
		}
		links.reset()
		calls.Wait()
	}
	if t.Failed() {
		return
	}
	for round := range 6 {
		for i := range 10 {
			id := fmt.Sprintf("j%d-%d", round, i)
			served(t, other, jobrun.Request{State: job.ID(id)}, job.Succeeded)
			assert.Equal(t, on.Runs(id+".0.0.0"), 1)
		}
	}
}
