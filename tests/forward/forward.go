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

// Forwarder forwards connections to any number of addresses. It may be used by
// several goroutines.
type Forwarder struct {
	tasks conc.WaitGroup

	mu        sync.Mutex
	listeners []net.Listener
	pairs     map[*pair]struct{}
	refuses   bool
	closed    bool
	// rate is how many bytes a second pass in each direction of a connection, or 0 for
	// all that come.
	rate int
}

// New returns a forwarder; Close ends it.
func New() *Forwarder { return &Forwarder{pairs: map[*pair]struct{}{}} }

// pair is a forwarded connection: the one taken, and the one opened for it.
type pair struct {
	in, out net.Conn
	// requests and answers say whether that direction is silent.
	requests, answers atomic.Bool
}

// close closes both ends.
func (p *pair) close() {
	_ = p.in.Close()
	_ = p.out.Close()
}

// Via forwards to an address and returns where it listens.
func (f *Forwarder) Via(address string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	f.listeners = append(f.listeners, l)
	f.mu.Unlock()
	f.tasks.Go(func() { f.accept(l, address) })
	return l.Addr().String(), nil
}

// accept takes connections until the forwarder is closed.
func (f *Forwarder) accept(l net.Listener, address string) {
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
		f.begin(&pair{in: in, out: out})
	}
}

// begin forwards both directions of a connection.
func (f *Forwarder) begin(p *pair) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || f.refuses {
		p.close()
		return
	}
	f.pairs[p] = struct{}{}
	rate := f.rate
	if rate > 0 {
		p.bound()
	}
	f.tasks.Go(func() { f.copy(p, p.out, p.in, &p.requests, rate) })
	f.tasks.Go(func() { f.copy(p, p.in, p.out, &p.answers, rate) })
}

// Pace sets how many bytes a second pass in each direction of connections that are
// opened from now on.
func (f *Forwarder) Pace(rate int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rate = rate
}

// paceBuffer is how many bytes the system is asked to hold for a connection whose rate
// is bounded: what it holds passes at once.
const paceBuffer = 32 << 10

// bound bounds what the system holds of a connection.
func (p *pair) bound() {
	for _, c := range []net.Conn{p.in, p.out} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(paceBuffer)
			_ = tcp.SetWriteBuffer(paceBuffer)
		}
	}
}

// copySize is how many bytes are forwarded at a time.
const copySize = 32 << 10

// copy forwards one direction. Once that is silent nothing is read any more, and
// neither bytes nor the end of the connection are passed on.
func (f *Forwarder) copy(p *pair, to, from net.Conn, silent *atomic.Bool, rate int) {
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
			f.ended(p)
			return
		}
	}
}

// ended forgets a connection that is over in a direction that is not silent.
func (f *Forwarder) ended(p *pair) {
	if p.requests.Load() || p.answers.Load() {
		return
	}
	p.close()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pairs, p)
}

// Silence silences all open connections in some directions, in both if none is named.
// It returns how many there were.
func (f *Forwarder) Silence(directions ...Direction) int {
	if len(directions) == 0 {
		directions = []Direction{Requests, Answers}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.pairs {
		for _, d := range directions {
			switch d {
			case Requests:
				p.requests.Store(true)
			case Answers:
				p.answers.Store(true)
			}
		}
	}
	return len(f.pairs)
}

// Reset closes all open connections at both ends.
func (f *Forwarder) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.pairs {
		p.close()
		delete(f.pairs, p)
	}
}

// Refuse closes new connections at once, or takes them again.
func (f *Forwarder) Refuse(refuses bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuses = refuses
}

// Close closes all connections, silent ones too, and waits for what is under way.
func (f *Forwarder) Close() {
	f.mu.Lock()
	f.closed = true
	for _, l := range f.listeners {
		_ = l.Close()
	}
	for p := range f.pairs {
		p.close()
	}
	f.mu.Unlock()
	f.tasks.Wait()
}
