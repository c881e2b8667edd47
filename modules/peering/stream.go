// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peering

import (
	"bufio"
	"encoding/json"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"saddlevane/modules/clock"
	"saddlevane/modules/frame"
	"saddlevane/modules/ordered"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// minLinkRate is how fast a link that works carries bytes at least, in bytes a second:
	// thin links have 10 Mbit/s.
	minLinkRate = 10_000_000 / 8
	// minDecodeRate is how fast a busy box decodes a message at least, in bytes a second: a
	// fifteenth of a core decodes 2 MB. Until it has, it reads nothing more from the link.
	minDecodeRate = 2_000_000
	// sendBuffer is how many bytes the system is asked to take for a link before they are
	// sent. It holds up to twice as many; without the bound, silence would show only after
	// megabytes.
	sendBuffer = 128 << 10
	// maxBufferedTime is how long a link of the least rate takes for what the system holds.
	maxBufferedTime = 2 * sendBuffer * time.Second / minLinkRate
	// largeMessage is from which size on a message may take long to decode, in bytes.
	largeMessage = 64 << 10
	// busyPerAnswerTimeout is how many times the peer is told within the bound on answers that a
	// message is being decoded.
	busyPerAnswerTimeout = 4
	// writeChunk is how many bytes are written at a time, so that the bound on writes is
	// one on their progress, however long a message is.
	writeChunk = 64 << 10
)

// limitSendBuffer has the system hold no more than sendBuffer for a connection. Where that
// cannot be set, only the time is longer until a silent link is given up.
func limitSendBuffer(raw net.Conn) {
	if c, ok := raw.(*net.TCPConn); ok {
		_ = c.SetWriteBuffer(sendBuffer)
	}
}

// stream carries the messages of a link. It may be written to by several goroutines.
type stream struct {
	link   *link
	reader *bufio.Reader
	// writing is held while a message is written, but not while it is encoded: a probe is
	// answered meanwhile.
	writeMu sync.Mutex
}

// newStream returns the stream of a link.
func newStream(k *link) *stream {
	s := &stream{link: k}
	s.reader = bufio.NewReader(s)
	return s
}

// ReadObject reads a message. While a large one is decoded nothing more is read, and the
// peer, which would take that for silence, is told.
func (s *stream) ReadObject(v any) error {
	data, err := frame.Read(s.reader)
	if err != nil {
		return err
	}
	if len(data) >= largeMessage {
		defer s.reportBusy()()
	}
	return json.Unmarshal(data, v)
}

// reportBusy tells the peer that this end is at work, until end is called. Under a load of
// 22 on 8 processors a message of 1 MB took 1.5 s to decode, and the peer, which allows
// it 0.5 s and the bound on answers, gave the link up each time.
func (s *stream) reportBusy() (end func()) {
	done := make(chan struct{})
	s.link.links.wg.Go(func() {
		ticker := time.NewTicker(s.link.links.settings.AnswerTimeout / busyPerAnswerTimeout)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				// An error says that the link has ended.
				_ = s.WriteObject(&jsonrpc2.Request{Method: methodBusy, Notif: true})
			}
		}
	})
	return func() { close(done) }
}

// WriteObject writes a message.
func (s *stream) WriteObject(v any) error { return frame.Codec{}.WriteObject(s, v) }

// Read reads from the connection.
func (s *stream) Read(b []byte) (int, error) {
	s.link.reading.Store(true)
	defer s.link.reading.Store(false)
	return s.link.conn.Read(b)
}

// Write writes a whole message in parts that must each be taken in time. A failure ends
// the link: the peer could make nothing of what comes after half a message.
func (s *stream) Write(b []byte) (n int, err error) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	for n < len(b) {
		part := b[n:min(n+writeChunk, len(b))]
		written, err := s.link.write(part)
		n += written
		if err != nil {
			s.link.handleWriteError(err)
			return n, err
		}
	}
	s.link.recordWrite(n)
	return n, nil
}

// Close closes the connection.
func (s *stream) Close() error {
	s.link.links.removeLink(s.link)
	return s.link.conn.Close()
}

// write writes a part of a message within the time that a link that works takes for it
// and for what was written before.
func (k *link) write(part []byte) (int, error) {
	now := k.links.settings.Now()
	k.mu.Lock()
	by := ordered.Later(now, k.deliveredBy).Add(maxBufferedTime + k.links.settings.AnswerTimeout)
	k.mu.Unlock()
	// The deadline is one of Go's clock, which the links' own may be ahead of.
	if err := k.conn.SetWriteDeadline(clock.Deadline(by.Sub(now))); err != nil {
		return 0, err
	}
	n, err := k.conn.Write(part)
	if err != nil {
		return n, err
	}
	// A deadline left behind would wake the process when it passes. An error would say
	// that the link has ended, and the part is written.
	_ = k.conn.SetWriteDeadline(time.Time{})
	return n, nil
}

// recordWrite notes when the peer should have a message of some bytes that was written.
func (k *link) recordWrite(n int) {
	now := k.links.settings.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	carried := ordered.Later(k.deliveredBy, now).Add(time.Duration(n) * time.Second / minLinkRate)
	if most := now.Add(maxBufferedTime); carried.After(most) {
		// The system has no more of it.
		carried = most
	}
	decoded := now.Add(time.Duration(n) * time.Second / minDecodeRate)
	k.deliveredBy = ordered.Later(k.deliveredBy, ordered.Later(carried, decoded))
}

// handleWriteError ends a link on which a write has failed.
func (k *link) handleWriteError(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		k.discard(k.links.settings.Now(), ReasonWrite)
		return
	}
	k.close()
}
