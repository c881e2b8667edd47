// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package frame implements the length-prefixed framing of messages between entry boxes.
package frame

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
)

// maxMessage is the maximum size of one message between entry boxes, in bytes.
const maxMessage = 64 << 20

// Codec is a jsonrpc2 codec that prefixes each JSON object with its length. It refuses objects
// over the limit before it reads them.
type Codec struct{}

// WriteObject writes one object.
func (Codec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > maxMessage {
		return fmt.Errorf("peer message of %d bytes exceeds the limit of %d bytes", len(data), maxMessage)
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, frameHeader+len(data)), uint32(len(data)))
	_, err = w.Write(append(frame, data...))
	return err
}

// frameHeader is the size of the length prefix, in bytes.
const frameHeader = 4

// ReadObject reads and decodes one object.
func (Codec) ReadObject(r *bufio.Reader, v any) error {
	data, err := Read(r)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// Read reads one object without decoding it. Its buffer grows only as bytes arrive, so a peer
// that announces a large object but sends little uses little memory.
func Read(r *bufio.Reader) ([]byte, error) {
	var header [frameHeader]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := int64(binary.BigEndian.Uint32(header[:]))
	if size > maxMessage {
		return nil, fmt.Errorf("peer message of %d bytes exceeds the limit of %d bytes", size, maxMessage)
	}
	data, err := io.ReadAll(io.LimitReader(r, size))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) < size {
		return nil, io.ErrUnexpectedEOF
	}
	return data, nil
}
