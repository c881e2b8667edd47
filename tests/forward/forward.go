// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package forward stands between processes that are tested and forwards their
// connections, until it resets or silences them. Silenced connections stay open at
// both ends, and new ones work.
package forward

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// Direction is which way bytes go.
type Direction string

// The directions: what the end that opened a connection sends, and what it is
// answered.
const (
	Requests Direction = "requests"
	Answers  Direction = "answers"
)

// Proxy forwards connections to any number of addresses. It may be used by
// several goroutines.
type Proxy struct {
	goroutines conc.WaitGroup

	mu          sync.Mutex
	listeners   []net.Listener
	connections map[*connection]struct{}
	refusing    bool
	closed      bool
	// rate is how many bytes a second pass in each direction of a connection, or 0 for
	// all that come.
	rate int
}

// New returns a forwarder; Close ends it.
func New() *Proxy { return &Proxy{connections: map[*connection]struct{}{}} }

// connection is a forwarded connection: the one taken, and the one opened for it.
type connection struct {
	in, out net.Conn
	// requests and answers say whether that direction is silent.
	requestsStalled, answersStalled atomic.Bool
}

// close closes both ends.
func (p *connection) close() {
	_ = p.in.Close()
	_ = p.out.Close()
}

// Forward forwards to an address and returns where it listens.
func (f *Proxy) Forward(address string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	f.listeners = append(f.listeners, l)
	f.mu.Unlock()
	f.goroutines.Go(func() { f.accept(l, address) })
	return l.Addr().String(), nil
}

// accept takes connections until the forwarder is closed.
func (f *Proxy) accept(l net.Listener, address string) {
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
		f.startForwarding(&connection{in: in, out: out})
	}
}

// startForwarding forwards both directions of a connection.
func (f *Proxy) startForwarding(p *connection) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || f.refusing {
		p.close()
		return
	}
	f.connections[p] = struct{}{}
	rate := f.rate
	if rate > 0 {
		p.limitBuffers()
	}
	f.goroutines.Go(func() { f.copy(p, p.out, p.in, &p.requestsStalled, rate) })
	f.goroutines.Go(func() { f.copy(p, p.in, p.out, &p.answersStalled, rate) })
}

// SetRate sets how many bytes a second pass in each direction of connections that are
// opened from now on.
func (f *Proxy) SetRate(rate int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rate = rate
}

// rateLimitBuffer is how many bytes the system is asked to hold for a connection whose rate
// is bounded: what it holds passes at once.
const rateLimitBuffer = 32 << 10

// limitBuffers bounds what the system holds of a connection.
func (p *connection) limitBuffers() {
	for _, c := range []net.Conn{p.in, p.out} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(rateLimitBuffer)
			_ = tcp.SetWriteBuffer(rateLimitBuffer)
		}
	}
}

// copySize is how many bytes are forwarded at a time.
const copySize = 32 << 10

// copy forwards one direction. Once that is silent nothing is read any more, and
// neither bytes nor the end of the connection are passed on.
func (f *Proxy) copy(p *connection, to, from net.Conn, silent *atomic.Bool, rate int) {
	buffer := make([]byte, copySize)
	for {
		n, err := from.Read(buffer)
		if silent.Load() {
			return
		}
		if rate > 0 {
			time.Sleep(time.Duration(n) * time.Second / time.Duration(rate))
		}
		if err == nil {
			_, err = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			f.removeEnded(p)
			return
		}
	}
}

// removeEnded forgets a connection that is over in a direction that is not silent.
func (f *Proxy) removeEnded(p *connection) {
	if p.requestsStalled.Load() || p.answersStalled.Load() {
		return
	}
	p.close()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.connections, p)
}

// Stall silences all open connections in some directions, in both if none is named.
// It returns how many there were.
func (f *Proxy) Stall(directions ...Direction) int {
	if len(directions) == 0 {
		directions = []Direction{Requests, Answers}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.connections {
		for _, d := range directions {
			switch d {
			case Requests:
				p.requestsStalled.Store(true)
			case Answers:
				p.answersStalled.Store(true)
			}
		}
	}
	return len(f.connections)
}

// Reset closes all open connections at both ends.
func (f *Proxy) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.connections {
		p.close()
		delete(f.connections, p)
	}
}

// SetRefusing closes new connections at once, or takes them again.
func (f *Proxy) SetRefusing(refuses bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusing = refuses
}

// Close closes all connections, silent ones too, and waits for what is under way.
func (f *Proxy) Close() {
	f.mu.Lock()
	f.closed = true
	for _, l := range f.listeners {
		_ = l.Close()
	}
	for p := range f.connections {
		p.close()
	}
	f.mu.Unlock()
	f.goroutines.Wait()
}
