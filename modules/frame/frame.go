// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package frame frames the messages between entry boxes.
package frame

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
)

// maxMessage bounds one message between entry boxes, in bytes.
const maxMessage = 64 << 20

// Codec frames JSON objects for jsonrpc2 with their length, and refuses
// long ones before it reads them.
type Codec struct{}

// WriteObject writes one object.
func (Codec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > maxMessage {
		return fmt.Errorf("peer message of %d bytes, the limit is %d", len(data), maxMessage)
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, frameHeader+len(data)), uint32(len(data)))
	_, err = w.Write(append(frame, data...))
	return err
}

// frameHeader is the size of the length before an object, in bytes.
const frameHeader = 4

// ReadObject reads one object.
func (Codec) ReadObject(r *bufio.Reader, v any) error {
	data, err := Read(r)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// Read reads one object that is not decoded yet. It grows its buffer only as bytes arrive,
// so a peer that announces much and sends little costs little.
func Read(r *bufio.Reader) ([]byte, error) {
	var header [frameHeader]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := int64(binary.BigEndian.Uint32(header[:]))
	if size > maxMessage {
		return nil, fmt.Errorf("peer message of %d bytes, the limit is %d", size, maxMessage)
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
