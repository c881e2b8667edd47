package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards connections to one address. While it is cut, it says nothing: bytes wait, and new
// connections are forwarded only after the cut.
type proxy struct {
	listener net.Listener
	addr     string

	mu    sync.Mutex
	cut   chan struct{}
	conns map[net.Conn]bool
}

// newProxy starts a proxy on a free port.
func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, addr: l.Addr().String(), conns: map[net.Conn]bool{}}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(in, to)
		}
	}()
	return p, nil
}

// setCut begins or ends a cut.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case cut && p.cut == nil:
		p.cut = make(chan struct{})
	case !cut && p.cut != nil:
		close(p.cut)
		p.cut = nil
	}
}

// await returns once the proxy is not cut.
func (p *proxy) await() {
	for {
		p.mu.Lock()
		cut := p.cut
		p.mu.Unlock()
		if cut == nil {
			return
		}
		<-cut
	}
}

// serve forwards one connection.
func (p *proxy) serve(in net.Conn, to string) {
	p.await()
	out, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		if tcp, ok := in.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = in.Close()
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	p.mu.Unlock()
	go p.copy(out, in)
	p.copy(in, out)
}

// copy forwards one direction of a connection.
func (p *proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.await()
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	p.mu.Lock()
	delete(p.conns, to)
	delete(p.conns, from)
	p.mu.Unlock()
}

// reset resets all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	p.setCut(false)
	_ = p.listener.Close()
	p.reset()
}
