// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/resource"
	"saddlevane/models/stream"
	"saddlevane/modules/frame"
	"saddlevane/services/jobrun"
	"saddlevane/services/relay"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"
)

// losingRelay is a box that closes its connection as soon as a batch has arrived that orders a run of the job
// "lost". Of other batches it carries out nothing.
type losingRelay struct {
	listener net.Listener
	serving  sync.WaitGroup
	// starts counts the batches that order a run of that job.
	starts atomic.Int64
}

// newLosingRelay returns a relay that accepts connections until the test ends.
func newLosingRelay(t *testing.T) *losingRelay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &losingRelay{listener: listener}
	r.serving.Go(r.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		r.serving.Wait()
	})
	return r
}

// accept serves connections until the listener is closed.
func (r *losingRelay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.serving.Go(func() { r.serve(conn) })
	}
}

// serve accepts calls until such a batch has arrived or the peer closes the connection.
func (r *losingRelay) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		var call jsonrpc2.Request
		if err := (frame.Codec{}).ReadObject(reader, &call); err != nil {
			return
		}
		if call.Method == "jobs.carry" && ordersLostJob(call) {
			r.starts.Add(1)
			return
		}
		result := json.RawMessage("null")
		if err := (frame.Codec{}).WriteObject(conn, &jsonrpc2.Response{ID: call.ID, Result: &result}); err != nil {
			return
		}
	}
}

// ordersLostJob reports whether a batch orders a run of the job "lost".
func ordersLostJob(call jsonrpc2.Request) bool {
	var b relay.Batch
	if err := json.Unmarshal(*call.Params, &b); err != nil {
		return false
	}
	return slices.ContainsFunc(b.Orders, func(o relay.Order) bool { return o.Start != nil && o.Start.Task.Job == "lost" })
}

// directOrders records the orders about one job that a box itself sends to workers. It answers the
// first start that the worker has done nothing, and never passes on any.
type directOrders struct {
	mu            sync.Mutex
	starts, stops []order.Run
	// startedBeforeStop is set if a second run was ordered before the first one was stopped.
	startedBeforeStop bool
}

func (d *directOrders) start(s order.Start) order.Answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.starts) > 0 && s.Run != d.starts[0] && !slices.Contains(d.stops, d.starts[0]) {
		d.startedBeforeStop = true
	}
	d.starts = append(d.starts, s.Run)
	return order.Answer{Outcome: order.NotDone, Problem: "too busy"}
}

func (d *directOrders) stop(s order.Stop) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stops = append(d.stops, s.Run)
}

// TestOrderInBatchThatMayHaveArrivedIsNotTakenForUnsent guards against a task that is started elsewhere while its
// first run may be running. The link to a relay is closed after a batch was written to it. A start order in the
// batch may be carried out, so the copy that is sent directly is the second one: if the worker refuses that, the
// run has to be stopped before the task is started again.
func TestOrderInBatchThatMayHaveArrivedIsNotTakenForUnsent(t *testing.T) {
	on := newPlatform(t)
	calls, direct := on.Calls(), &directOrders{}
	start, stop := calls.Workers.Start, calls.Workers.Stop
	calls.Workers.Start = func(ctx context.Context, address string, worker order.Incarnation, s order.Start) order.Answer {
		if s.Task.Job == "lost" {
			return direct.start(s)
		}
		return start(ctx, address, worker, s)
	}
	calls.Workers.Stop = func(ctx context.Context, address string, worker order.Incarnation, s order.Stop) order.Answer {
		direct.stop(s)
		return stop(ctx, address, worker, s)
	}
	holder := startBoxWithSettings(t, relaySettings(), calls, "a", io.Discard, func(address string) string { return address })
	waitServed(t, holder, jobrun.Request{Submit: submission("first")}, "")
	waitServed(t, holder, jobrun.Request{State: "first"}, job.Succeeded)

	lossy := newLosingRelay(t)
	value, err := json.Marshal(claim.Member{Box: "b", Incarnation: "b1", Domain: "a", Address: lossy.listener.Addr().String()})
	assert.NilError(t, err)
	_, err = calls.Log.Append(t.Context(), stream.Append{Stream: stream.Boxes, Records: []stream.Record{{Key: "b", Value: value}}})
	assert.NilError(t, err)
	waitUntil(t, "the other box is a relay", func() bool { return holder.loop.Relays()["b"] > 0 })
	waitServed(t, holder, jobrun.Request{Submit: &job.Submission{ID: "lost", Queue: "q", Steps: []job.Step{
		{Tasks: 1, Need: resource.Vector{Processors: resource.Processor}, Estimate: job.Milliseconds((30 * time.Millisecond).Milliseconds())},
	}}}, "")
	waitUntil(t, "a second run was ordered", func() bool {
		direct.mu.Lock()
		defer direct.mu.Unlock()
		return len(direct.starts) > 0 && slices.ContainsFunc(direct.starts, func(r order.Run) bool { return r != direct.starts[0] })
	})
	assert.Check(t, lossy.starts.Load() > 0, "the start was in no batch")
	direct.mu.Lock()
	defer direct.mu.Unlock()
	assert.Check(t, !direct.startedBeforeStop, "a second run was ordered although the first one may be running: %v", direct.starts)
}
