package main

import (
	"net"
	"sync"
)

// muter lets all channels that are open at a moment go silent for good, without a reset.
type muter struct {
	mu    sync.Mutex
	conns map[*mutedConn]bool
}

func (m *muter) muteAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		c.mute()
	}
}

// mutedListener accepts channels that a muter can silence.
type mutedListener struct {
	net.Listener
	muter *muter
}

func (l mutedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	m := &mutedConn{Conn: c, muter: l.muter, muted: make(chan struct{}), closed: make(chan struct{})}
	l.muter.mu.Lock()
	l.muter.conns[m] = true
	l.muter.mu.Unlock()
	return m, nil
}

// mutedConn is a channel that may have gone silent: what arrives is dropped, and nothing is sent.
type mutedConn struct {
	net.Conn
	muter    *muter
	once     sync.Once
	muteOnce sync.Once
	muted    chan struct{}
	closed   chan struct{}
}

func (c *mutedConn) mute() { c.muteOnce.Do(func() { close(c.muted) }) }

func (c *mutedConn) isMuted() bool {
	select {
	case <-c.muted:
		return true
	default:
		return false
	}
}

func (c *mutedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isMuted() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *mutedConn) Write(b []byte) (int, error) {
	if c.isMuted() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *mutedConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.muter.mu.Lock()
		delete(c.muter.conns, c)
		c.muter.mu.Unlock()
	})
	if c.isMuted() {
		// The other end must not see that it is closed.
		return nil
	}
	return c.Conn.Close()
}
