package main

import (
	"net"
	"sync"
	"time"
)

// proxy stands between the daemons and one runner. While it is cut, it says nothing: bytes on open channels
// wait, and a channel that is opened meanwhile comes to nothing.
type proxy struct {
	address string

	mu  sync.Mutex
	cut chan struct{}
}

func newProxy(to string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &proxy{address: l.Addr().String()}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(in, to)
		}
	}()
	return p
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

// await returns once the runner is not cut off, and reports whether it had to wait.
func (p *proxy) await() bool {
	for waited := false; ; waited = true {
		p.mu.Lock()
		cut := p.cut
		p.mu.Unlock()
		if cut == nil {
			return waited
		}
		<-cut
	}
}

func (p *proxy) serve(in net.Conn, to string) {
	if p.await() {
		_ = in.Close()
		return
	}
	out, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		_ = in.Close()
		return
	}
	go p.forward(out, in)
	p.forward(in, out)
}

// forward passes on what comes from one end of a channel, and its end.
func (p *proxy) forward(to, from net.Conn) {
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
}
