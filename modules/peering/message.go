// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peering

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/sourcegraph/jsonrpc2"
)

// JSONAppender is implemented by parameters and results that append their JSON encoding to a buffer.
// It avoids the copies and checks that encoding/json makes of what a json.Marshaler returns.
type JSONAppender interface {
	AppendJSON(b []byte) ([]byte, error)
}

// message is a received message: a request, or the response to the call with the given ID.
type message struct {
	request  *jsonrpc2.Request
	id       uint64
	response response
}

// The parts of the messages that this package writes.
const (
	messageStart  = `{"jsonrpc":"2.0"`
	idStart       = messageStart + `,"id":`
	methodStart   = `,"method":"`
	paramsStart   = `","params":`
	resultStart   = `,"result":`
	errorStart    = `,"error":`
	emptyRequest  = `"}`
	messageEnd    = '}'
	nullJSON      = "null"
	decimalDigits = 10
)

// appendRequest appends a call. params may be nil.
func appendRequest(b []byte, id uint64, method string, params any) ([]byte, error) {
	b = append(b, idStart...)
	b = strconv.AppendUint(b, id, decimalDigits)
	b = append(b, methodStart...)
	b = append(b, method...)
	if params == nil {
		return append(b, emptyRequest...), nil
	}
	b, err := appendJSON(append(b, paramsStart...), params)
	return append(b, messageEnd), err
}

// appendNotification appends a notification without parameters.
func appendNotification(b []byte, method string) []byte {
	b = append(append(b, messageStart...), methodStart...)
	return append(append(b, method...), emptyRequest...)
}

// appendResponse appends the response to a request: result, or problem if it is not nil.
func appendResponse(b []byte, id jsonrpc2.ID, result any, problem error) ([]byte, error) {
	b, err := appendID(append(b, idStart...), id)
	if err != nil {
		return b, err
	}
	start := len(b)
	if problem == nil {
		b, problem = appendJSON(append(b, resultStart...), result)
	}
	if problem == nil {
		return append(b, messageEnd), nil
	}
	returned, ok := problem.(*jsonrpc2.Error)
	if !ok {
		returned = &jsonrpc2.Error{Message: problem.Error()}
	}
	b, err = appendJSON(append(b[:start], errorStart...), returned)
	return append(b, messageEnd), err
}

// appendID appends the ID of a request.
func appendID(b []byte, id jsonrpc2.ID) ([]byte, error) {
	if !id.IsString {
		return strconv.AppendUint(b, id.Num, decimalDigits), nil
	}
	return appendJSON(b, id.Str)
}

// appendJSON appends the JSON encoding of v.
func appendJSON(b []byte, v any) ([]byte, error) {
	switch v := v.(type) {
	case nil:
		return append(b, nullJSON...), nil
	case JSONAppender:
		return v.AppendJSON(b)
	}
	data, err := json.Marshal(v)
	return append(b, data...), err
}

// decode decodes a message. The message refers to data.
func (m *message) decode(data []byte) error {
	if m.decodeOwn(data) {
		return nil
	}
	return m.decodeAny(data)
}

// decodeOwn decodes a message as this package writes it. It returns false for others. It does not check
// the parameters or the result, which are checked when they are decoded.
func (m *message) decodeOwn(data []byte) bool {
	rest, ok := bytes.CutPrefix(data, []byte(idStart))
	if !ok {
		return false
	}
	id, rest, ok := cutNumber(rest)
	rest, ended := bytes.CutSuffix(rest, []byte{messageEnd})
	if !ok || !ended {
		return false
	}
	if result, ok := bytes.CutPrefix(rest, []byte(resultStart)); ok {
		m.id, m.response.result = id, result
		return true
	}
	rest, ok = bytes.CutPrefix(rest, []byte(methodStart))
	if !ok {
		return false
	}
	method, params, ok := bytes.Cut(rest, []byte(paramsStart))
	if !ok || !isPlainText(method) {
		return false
	}
	raw := json.RawMessage(params)
	m.request = &jsonrpc2.Request{Method: string(method), Params: &raw, ID: jsonrpc2.ID{Num: id}}
	return true
}

// cutNumber returns the unsigned number at the start of data, and what follows it.
func cutNumber(data []byte) (n uint64, rest []byte, ok bool) {
	end := bytes.IndexFunc(data, func(r rune) bool { return r < '0' || r > '9' })
	if end <= 0 {
		return 0, data, false
	}
	n, err := strconv.ParseUint(string(data[:end]), decimalDigits, 64)
	return n, data[end:], err == nil
}

// isPlainText reports whether a JSON string with these bytes between its quotes has them as its value.
func isPlainText(b []byte) bool {
	for _, c := range b {
		if c < ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}

// wireMessage is any message. A field that the message does not have is nil.
type wireMessage struct {
	ID     json.RawMessage `json:"id"`
	Method *string         `json:"method"`
	Params json.RawMessage `json:"params"`
	Result json.RawMessage `json:"result"`
	Error  *jsonrpc2.Error `json:"error"`
}

// errNeither means that a message is not exactly one of a request and a response.
var errNeither = errors.New("the message is not exactly one of a request and a response")

// decodeAny decodes any message.
func (m *message) decodeAny(data []byte) error {
	var w wireMessage
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	isResponse := w.Result != nil || w.Error != nil
	if (w.Method != nil) == isResponse {
		return errNeither
	}
	var id jsonrpc2.ID
	isNotification := w.ID == nil || string(w.ID) == nullJSON
	if !isNotification {
		if err := json.Unmarshal(w.ID, &id); err != nil {
			return fmt.Errorf("id: %w", err)
		}
	}
	if isResponse {
		m.id, m.response = id.Num, response{result: w.Result, problem: w.Error}
		return nil
	}
	m.request = &jsonrpc2.Request{Method: *w.Method, ID: id, Notif: isNotification}
	if w.Params != nil {
		m.request.Params = &w.Params
	}
	return nil
}
