// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peering_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"saddlevane/modules/frame"
	"saddlevane/modules/peering"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"
)

// dialRaw opens a connection to a box without links.
func dialRaw(t *testing.T, address string) net.Conn {
	t.Helper()
	raw, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	return raw
}

// Boxes of earlier releases use package jsonrpc2, and both releases are at work during an upgrade.
func TestBoxOfEarlierReleaseIsAnswered(t *testing.T) {
	b := newBox(t)
	c := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(dialRaw(t, b.address), frame.Codec{}),
		jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) { return nil, nil }))
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var got string
	assert.NilError(t, c.Call(ctx, "greet", map[string]string{"a": "b"}, &got))
	assert.Equal(t, got, "greet")
	assert.NilError(t, c.Call(ctx, "greet", nil, &got, jsonrpc2.PickID(jsonrpc2.ID{Str: "five", IsString: true})))
	assert.NilError(t, c.Call(ctx, "peering.ping", nil, nil))
	assert.NilError(t, c.Notify(ctx, "peering.busy", nil))
	refused, ok := errors.AsType[*jsonrpc2.Error](c.Call(ctx, methodRefuse, nil, &got))
	assert.Check(t, ok)
	assert.Equal(t, refused.Message, "it is refused")
}

func TestBoxOfEarlierReleaseIsCalled(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	served := make(chan *jsonrpc2.Conn, 1)
	go func() {
		raw, err := listener.Accept()
		if err != nil {
			return
		}
		handle := func(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
			switch req.Method {
			case methodRefuse:
				return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "bad"}
			case "nothing":
				return nil, nil
			}
			var params []string
			if err := json.Unmarshal(*req.Params, &params); err != nil {
				return nil, err
			}
			return strings.Join(params, `"`), nil
		}
		served <- jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(raw, frame.Codec{}), jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(handle)))
	}()
	a := newBox(t)
	got, _, err := a.call(listener.Addr().String(), peering.Call{Method: "join", Params: []string{"a", `<&>`, "ü\n"}})
	assert.NilError(t, err)
	assert.Equal(t, got, "a\"<&>\"ü\n")
	defer (<-served).Close()
	got, _, err = a.call(listener.Addr().String(), peering.Call{Method: "nothing", Params: "x"})
	assert.NilError(t, err)
	assert.Equal(t, got, "")
	_, _, err = a.call(listener.Addr().String(), peering.Call{Method: methodRefuse})
	refused, ok := errors.AsType[*jsonrpc2.Error](err)
	assert.Check(t, ok, "%v", err)
	assert.DeepEqual(t, refused, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "bad"})
}

// Whatever the order of its fields, a message is served as it was meant or closes the link.
func TestMessagesAreDecodedAsWritten(t *testing.T) {
	for _, c := range []struct{ message, want string }{
		{`{"jsonrpc":"2.0","id":5,"method":"greet","params":{}}`, `"result":"greet"`},
		{`{"jsonrpc":"2.0","id":5,"method":"greet"}`, `"result":"greet"`},
		{`{"jsonrpc":"2.0","id":5,"method":"gree\u0074","params":{}}`, `"result":"greet"`},
		{`{"jsonrpc":"2.0","id":5,"method":"greet","meta":{"x":"\",\"params\":"},"params":{}}`, `"result":"greet"`},
		{` { "params" : null, "method" : "greet" , "id" : 5, "jsonrpc" : "2.0" } `, `"result":"greet"`},
		{`{"jsonrpc":"2.0","id":"x\ny","method":"greet","params":1}`, `"id":"x\ny"`},
		{`{"jsonrpc":"2.0","id":5,"method":"refuse","params":1}`, `"error":{"code":0,"message":"it is refused"}`},
		{`{"jsonrpc":"2.0","id":5}`, ""},
		{`{"jsonrpc":"2.0","id":5,"method":"greet","result":null}`, ""},
		{`{"jsonrpc":"2.0","id":5,"method":`, ""},
		{`[{"jsonrpc":"2.0","id":5,"method":"greet"}]`, ""},
		{`{"jsonrpc":"2.0","id":{},"method":"greet"}`, ""},
		{``, ""},
	} {
		t.Run(c.message, func(t *testing.T) {
			raw := dialRaw(t, newBox(t).address)
			assert.NilError(t, raw.SetDeadline(time.Now().Add(10*time.Second)))
			data, err := frame.Append(nil, func(b []byte) ([]byte, error) { return append(b, c.message...), nil })
			assert.NilError(t, err)
			_, err = raw.Write(data)
			assert.NilError(t, err)
			got, err := frame.Read(bufio.NewReader(raw))
			if c.want == "" {
				assert.Check(t, err != nil, "answered with %s", got)
				return
			}
			assert.NilError(t, err)
			assert.Check(t, strings.Contains(string(got), c.want), "%s", got)
		})
	}
}

// Closing the links waits for the calls that they serve.
func TestCloseWaitsForServedCalls(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var ended atomic.Bool
	began := make(chan struct{})
	b := peering.New(context.Background(), listener, settings(), func(ctx context.Context, _ *peering.Conn, _ *jsonrpc2.Request) (any, error) {
		close(began)
		<-ctx.Done()
		ended.Store(true)
		return nil, nil
	})
	b.Serve()
	raw := dialRaw(t, listener.Addr().String())
	assert.NilError(t, frame.Codec{}.WriteObject(raw, map[string]any{"id": 1, "method": "wait"}))
	<-began
	b.Close()
	assert.Check(t, ended.Load())
}

// maxCallAllocations is how many objects a call and its answer may take in both boxes: contexts, the
// message in each direction, what is decoded of it, and the goroutine that serves it. Each time that the
// parameters were decoded without their type or copied would add to it.
const maxCallAllocations = 40

func TestMessagesAreNotEncodedRepeatedly(t *testing.T) {
	a, b := newBox(t), newBox(t)
	params := map[string]any{}
	for _, name := range strings.Split("abcdefghijklmnopqrst", "") {
		params[name] = []string{"x", "y", "z"}
	}
	encoded, err := json.Marshal(params)
	assert.NilError(t, err)
	call := peering.Call{Method: "greet", Params: json.RawMessage(encoded)}
	_, _, err = a.call(b.address, call)
	assert.NilError(t, err)
	got := testing.AllocsPerRun(200, func() {
		if _, _, err := a.call(b.address, call); err != nil {
			t.Error(err)
		}
	})
	assert.Check(t, got <= maxCallAllocations, "%v objects for a call and its answer", got)
}
