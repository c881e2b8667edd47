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
	data, err := Append(nil, func(b []byte) ([]byte, error) {
		encoded, err := json.Marshal(obj)
		return append(b, encoded...), err
	})
	if err == nil {
		_, err = w.Write(data)
	}
	return err
}

// Append appends a frame with the object that encode appends.
func Append(b []byte, encode func([]byte) ([]byte, error)) ([]byte, error) {
	start := len(b)
	b, err := encode(append(b, make([]byte, frameHeader)...))
	if err != nil {
		return b, err
	}
	size := len(b) - start - frameHeader
	if size > maxMessage {
		return b, fmt.Errorf("peer message of %d bytes exceeds the limit of %d bytes", size, maxMessage)
	}
	binary.BigEndian.PutUint32(b[start:], uint32(size))
	return b, nil
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

// directSize is the size, in bytes, up to which the buffer for an object is allocated at once.
const directSize = 64 << 10

// Read reads one object without decoding it. The buffer for a large one grows only as bytes arrive, so
// a peer that announces a large object but sends little uses little memory.
func Read(r *bufio.Reader) ([]byte, error) {
	header, err := r.Peek(frameHeader)
	if err != nil {
		if err == io.EOF && len(header) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	size := int64(binary.BigEndian.Uint32(header))
	if _, err := r.Discard(frameHeader); err != nil {
		return nil, err
	}
	if size > maxMessage {
		return nil, fmt.Errorf("peer message of %d bytes exceeds the limit of %d bytes", size, maxMessage)
	}
	if size <= directSize {
		return readDirect(r, size)
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

// readDirect reads an object into a buffer of its size.
func readDirect(r *bufio.Reader, size int64) ([]byte, error) {
	data := make([]byte, size)
	_, err := io.ReadFull(r, data)
	if err == io.EOF && size > 0 {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return data, nil
}
