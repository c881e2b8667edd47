// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package tcpproxy provides a TCP proxy between processes under test. It can reset or
// stall the open connections. Stalled connections stay open at both ends, and new ones
// work.
package tcpproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// Direction is a direction of a connection.
type Direction string

// The directions: Requests is what the end that opened the connection sends, Answers is
// what it receives.
const (
	Requests Direction = "requests"
	Answers  Direction = "answers"
)

// Proxy forwards connections to any number of addresses. It is safe for concurrent use.
type Proxy struct {
	goroutines conc.WaitGroup

	mu          sync.Mutex
	listeners   []net.Listener
	connections map[*connection]struct{}
	refusing    bool
	closed      bool
	// rate limits each direction of a new connection, in bytes per second; 0 is no limit.
	rate int
}

// New returns a proxy that forwards nothing yet. The caller must close it.
func New() *Proxy { return &Proxy{connections: map[*connection]struct{}{}} }

// connection is a forwarded connection: in is the accepted one, out the one opened to the
// address.
type connection struct {
	in, out net.Conn
	// requestsStalled and answersStalled are set if that direction is stalled.
	requestsStalled, answersStalled atomic.Bool
}

// close closes both ends.
func (c *connection) close() {
	_ = c.in.Close()
	_ = c.out.Close()
}

// Forward starts to listen on a free local port, forwards connections to address, and
// returns the address of the listener.
func (p *Proxy) Forward(address string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p.mu.Lock()
	p.listeners = append(p.listeners, l)
	p.mu.Unlock()
	p.goroutines.Go(func() { p.accept(l, address) })
	return l.Addr().String(), nil
}

// accept accepts connections until the proxy is closed.
func (p *Proxy) accept(l net.Listener, address string) {
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
		p.startForwarding(&connection{in: in, out: out})
	}
}

// startForwarding starts to forward both directions of a connection.
func (p *Proxy) startForwarding(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.refusing {
		c.close()
		return
	}
	p.connections[c] = struct{}{}
	rate := p.rate
	if rate > 0 {
		c.limitBuffers()
	}
	p.goroutines.Go(func() { p.copy(c, c.out, c.in, &c.requestsStalled, rate) })
	p.goroutines.Go(func() { p.copy(c, c.in, c.out, &c.answersStalled, rate) })
}

// SetRate limits each direction of connections that are opened from now on, in bytes per
// second; 0 is no limit.
func (p *Proxy) SetRate(rate int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = rate
}

// rateLimitBuffer is the size in bytes of the socket buffers of a rate-limited
// connection. Bytes that fit in these buffers are not delayed for the sender.
const rateLimitBuffer = 32 << 10

// limitBuffers limits the socket buffers of a connection to rateLimitBuffer.
func (c *connection) limitBuffers() {
	for _, conn := range []net.Conn{c.in, c.out} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(rateLimitBuffer)
			_ = tcp.SetWriteBuffer(rateLimitBuffer)
		}
	}
}

// copySize is the maximum number of bytes forwarded at a time.
const copySize = 32 << 10

// copy forwards one direction until the connection ends. Once the direction is stalled,
// nothing more is read from it, and neither bytes nor its end are forwarded.
func (p *Proxy) copy(c *connection, to, from net.Conn, stalled *atomic.Bool, rate int) {
	buffer := make([]byte, copySize)
	for {
		n, err := from.Read(buffer)
		if stalled.Load() {
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
			p.removeEnded(c)
			return
		}
	}
}

// removeEnded closes and removes a connection that has ended in one direction. It leaves
// a connection with a stalled direction open.
func (p *Proxy) removeEnded(c *connection) {
	if c.requestsStalled.Load() || c.answersStalled.Load() {
		return
	}
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, c)
}

// Stall stops forwarding on all open connections in the given directions, or in both if
// none is given. It returns the number of open connections.
func (p *Proxy) Stall(directions ...Direction) int {
	if len(directions) == 0 {
		directions = []Direction{Requests, Answers}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		for _, d := range directions {
			switch d {
			case Requests:
				c.requestsStalled.Store(true)
			case Answers:
				c.answersStalled.Store(true)
			}
		}
	}
	return len(p.connections)
}

// Reset closes all open connections at both ends.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.close()
		delete(p.connections, c)
	}
}

// SetRefusing makes the proxy close new connections at once, or forward them again.
func (p *Proxy) SetRefusing(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing = refuse
}

// Close closes all listeners and connections, stalled ones included, and waits for all
// goroutines of the proxy to end.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	for _, l := range p.listeners {
		_ = l.Close()
	}
	for c := range p.connections {
		c.close()
	}
	p.mu.Unlock()
	p.goroutines.Wait()
}
