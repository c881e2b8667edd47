// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peering_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"saddlevane/modules/peering"

	"github.com/sourcegraph/jsonrpc2"
)

// countingListener counts the bytes of its connections in both directions, without the overhead
// of TCP and IP.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept accepts a connection whose bytes are counted.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{Conn: c, bytes: &l.bytes}, err
}

// countingConn is a connection whose bytes are counted.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads and counts the bytes.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes and counts the bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// benchBox returns the links of a box and their listener.
func benchBox(b *testing.B) (*peering.Links, *countingListener) {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	l := &countingListener{Listener: listener}
	box := peering.New(context.Background(), l, settings(), func(_ context.Context, _ *peering.Conn, req *jsonrpc2.Request) (any, error) {
		return req.Method, nil
	})
	box.Serve()
	b.Cleanup(box.Close)
	return box, l
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		b.Fatal(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// BenchmarkProbe measures one probe and its answer, for both boxes together.
func BenchmarkProbe(b *testing.B) {
	from, _ := benchBox(b)
	_, to := benchBox(b)
	probe := func() {
		if _, err := from.Call(context.Background(), to.Addr().String(), peering.Call{Method: "peering.ping"}); err != nil {
			b.Fatal(err)
		}
	}
	probe()
	bytes, used := to.bytes.Load(), cpuTime(b)
	for b.Loop() {
		probe()
	}
	b.ReportMetric(float64(cpuTime(b)-used)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(to.bytes.Load()-bytes)/float64(b.N), "wire-B/op")
}

// BenchmarkIdleLinks measures the cost of links without calls, for both ends together.
func BenchmarkIdleLinks(b *testing.B) {
	const links, span = 200, 5 * time.Second
	from, _ := benchBox(b)
	boxes := make([]*countingListener, links)
	for i := range boxes {
		_, boxes[i] = benchBox(b)
		if _, err := from.Call(context.Background(), boxes[i].Addr().String(), peering.Call{Method: "greet"}); err != nil {
			b.Fatal(err)
		}
	}
	for b.Loop() {
		bytes, used := int64(0), cpuTime(b)
		for _, box := range boxes {
			bytes -= box.bytes.Load()
		}
		time.Sleep(span)
		for _, box := range boxes {
			bytes += box.bytes.Load()
		}
		perLink := links * span.Seconds()
		b.ReportMetric(float64((cpuTime(b)-used).Microseconds())/perLink, "cpu-µs/link/s")
		b.ReportMetric(float64(bytes)/perLink, "wire-B/link/s")
	}
}
