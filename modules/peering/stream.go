// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peering

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"saddlevane/modules/clock"
	"saddlevane/modules/frame"
	"saddlevane/modules/ordered"
)

const (
	// minLinkRate is the minimum rate of a working link, in bytes per second: slow links have
	// 10 Mbit/s.
	minLinkRate = 10_000_000 / 8
	// minDecodeRate is the minimum rate at which a busy box decodes a message, in bytes per
	// second: a fifteenth of a core decodes 2 MB. The box reads nothing more from the link
	// until the message is decoded.
	minDecodeRate = 2_000_000
	// sendBuffer is the size of the socket's send buffer, in bytes. The system holds up to
	// twice as much. Without the limit, a silent link would be noticed only after megabytes
	// were written.
	sendBuffer = 128 << 10
	// maxBufferedTime is how long a link of the minimum rate takes to send what the system
	// holds.
	maxBufferedTime = 2 * sendBuffer * time.Second / minLinkRate
	// largeMessage is the size, in bytes, from which on a message may take long to decode.
	largeMessage = 64 << 10
	// busyPerAnswerTimeout is the number of busy notifications that are sent per AnswerTimeout
	// while a message is decoded.
	busyPerAnswerTimeout = 4
	// writeChunk is the number of bytes written at a time. The write deadline applies to each
	// chunk, so it limits the progress of a write regardless of the size of the message.
	writeChunk = 64 << 10
)

// limitSendBuffer limits the socket's send buffer of a connection to sendBuffer. If this fails,
// it only takes longer until a silent link is discarded.
func limitSendBuffer(raw net.Conn) {
	if c, ok := raw.(*net.TCPConn); ok {
		_ = c.SetWriteBuffer(sendBuffer)
	}
}

// stream carries the messages of a link. It is safe for concurrent writers.
type stream struct {
	link   *link
	reader *bufio.Reader
	// writeMu is held while a message is written, but not while it is encoded, so that probes
	// are answered meanwhile.
	writeMu sync.Mutex
}

// newStream returns the stream of a link.
func newStream(k *link) *stream {
	s := &stream{link: k}
	s.reader = bufio.NewReader(s)
	return s
}

// readMessage reads a message. Nothing more is read while a large message is decoded, which the peer
// would take for silence, so it is notified meanwhile.
func (s *stream) readMessage(m *message) error {
	data, err := frame.Read(s.reader)
	if err != nil {
		return err
	}
	if len(data) >= largeMessage {
		defer s.reportBusy()()
	}
	return m.decode(data)
}

// reportBusy sends busy notifications to the peer until end is called. Under a load of 22 on 8
// processors, decoding a message of 1 MB took 1.5 s. The peer allows 0.5 s plus AnswerTimeout,
// and without the notifications it discarded the link each time.
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
				// An error means that the link is closed.
				_ = s.link.rpc.notify(methodBusy)
			}
		}
	})
	return func() { close(done) }
}

// buffers holds buffers in which messages are encoded.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

// writeMessage writes the message that encode appends to a buffer.
func (s *stream) writeMessage(encode func([]byte) ([]byte, error)) error {
	buffer := buffers.Get().(*[]byte)
	data, err := frame.Append((*buffer)[:0], encode)
	if err == nil {
		_, err = s.Write(data)
	}
	if cap(data) <= largeMessage {
		*buffer = data
		buffers.Put(buffer)
	}
	return err
}

// Read reads from the connection.
func (s *stream) Read(b []byte) (int, error) {
	s.link.reading.Store(true)
	defer s.link.reading.Store(false)
	return s.link.conn.Read(b)
}

// Write writes a whole message in chunks, each with a deadline. An error closes the link,
// because the peer could not decode anything after a partial message.
func (s *stream) Write(b []byte) (n int, err error) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	for n < len(b) {
		chunk := b[n:min(n+writeChunk, len(b))]
		written, err := s.link.write(chunk)
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

// write writes a chunk. Its deadline allows a working link enough time for the chunk and all
// data written before.
func (k *link) write(chunk []byte) (int, error) {
	now := k.links.settings.Now()
	k.mu.Lock()
	deadline := ordered.Later(now, k.deliveredBy).Add(maxBufferedTime + k.links.settings.AnswerTimeout)
	k.mu.Unlock()
	// The deadline is in Go's clock, which the clock of the links may be ahead of.
	if err := k.conn.SetWriteDeadline(clock.Deadline(deadline.Sub(now))); err != nil {
		return 0, err
	}
	n, err := k.conn.Write(chunk)
	if err != nil {
		return n, err
	}
	// A deadline left in place would wake up the process when it passes. An error would mean
	// that the link is closed, but the chunk has been written.
	_ = k.conn.SetWriteDeadline(time.Time{})
	return n, nil
}

// recordWrite records when the peer should have received and decoded a message of n bytes that
// was just written.
func (k *link) recordWrite(n int) {
	now := k.links.settings.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	sent := ordered.Later(k.deliveredBy, now).Add(time.Duration(n) * time.Second / minLinkRate)
	if latest := now.Add(maxBufferedTime); sent.After(latest) {
		// The system does not buffer more than this.
		sent = latest
	}
	decoded := now.Add(time.Duration(n) * time.Second / minDecodeRate)
	k.deliveredBy = ordered.Later(k.deliveredBy, ordered.Later(sent, decoded))
}

// handleWriteError closes a link after a failed write.
func (k *link) handleWriteError(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		k.discard(k.links.settings.Now(), ReasonWrite)
		return
	}
	k.close()
}
