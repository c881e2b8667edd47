// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package models_test checks that the decoders of all wire types reject invalid input.
package models_test

import (
	"encoding/json"
	"testing"

	"saddlevane/models/box"
	"saddlevane/models/peer"
	"saddlevane/models/platform"
	"saddlevane/models/record"
	"saddlevane/models/request"
	"saddlevane/models/task"
	"saddlevane/models/worker"

	"gotest.tools/v3/assert"
)

// decoders maps each wire type to a function that decodes its input and encodes the result again, which
// must never panic.
var decoders = map[string]func([]byte) error{
	"box list":    roundTrip[box.List],
	"hello":       roundTrip[peer.Hello],
	"forward":     roundTrip[peer.Forward],
	"answer":      roundTrip[peer.Answer],
	"log read":    roundTrip[platform.Read],
	"envelope":    func(data []byte) error { _, err := record.Decode(data); return err },
	"snapshot":    roundTrip[record.Snapshot],
	"report":      roundTrip[worker.Report],
	"sync":        roundTrip[worker.Sync],
	"request key": func(data []byte) error { _, err := request.ParseKey(string(data)); return err },
	"task":        func(data []byte) error { var id task.ID; return id.UnmarshalText(data) },
}

// roundTrip decodes data into a T and encodes it again.
func roundTrip[T any](data []byte) error {
	var v T
	if err := json.Unmarshal(data, &v); err != nil {
		return err
	}
	_, err := json.Marshal(v)
	return err
}

func TestInvalidWireValuesAreRejected(t *testing.T) {
	for _, test := range []struct{ decoder, text string }{
		{"box list", `{"boxes":[{"name":"x","role":"entry","domain":"a","address":"host:1","state":"live"}]}`},
		{"box list", `{"boxes":[{"name":"x","role":"king","domain":"a","address":"127.0.0.1:1","state":"live"}]}`},
		{"box list", `{"boxes":[{"name":"x","role":"entry","domain":"a","address":"127.0.0.1:1","state":"up"}]}`},
		{"box list", `{"boxes":[{"name":"x","role":"entry","domain":"a","address":"127.0.0.1:1","state":"live"},{"name":"x","role":"entry","domain":"a","address":"127.0.0.1:1","state":"live"}]}`},
		{"hello", `{"box":"x"}`},
		{"hello", `{"box":"x","incarnation":"i","domain":"a","address":"nowhere"}`},
		{"answer", `{"status":200,"verdict":"perhaps"}`},
		{"answer", `{"verdict":"ran"}`},
		{"log read", `{"first":5,"next":3}`},
		{"log read", `{"first":0,"next":3,"records":[{"offset":2},{"offset":1}]}`},
		{"envelope", `{"id":"x","from":"y","entries":[{}]}`},
		{"envelope", `{"id":"x","from":"y","entries":[{"claim":{"shard":"a.0"},"mark":{}}]}`},
		{"envelope", `{"id":"x","from":"y","entries":[{"done":{"object":"j@1","ranges":[{"from":3,"to":2}]}}]}`},
		{"envelope", `{"id":"x","from":"y","entries":[{"done":{"object":"j","ranges":[]}}]}`},
		{"envelope", `{"entries":[]}`},
		{"report", `{"worker":"w","epoch":-1}`},
		{"report", `{"worker":"w","tasks":[{"task":"j@1/0.0","resources":{"processors":"-1"}}]}`},
		{"sync", `{"starts":[{"task":"j"}]}`},
		{"request key", `a~b`},
		{"request key", `a~b~c`},
		{"task", `j@1/-2.0`},
	} {
		assert.Check(t, decoders[test.decoder]([]byte(test.text)) != nil, "%s %s", test.decoder, test.text)
	}
}

func FuzzDecoders(f *testing.F) {
	f.Add([]byte(`{"boxes":[{"name":"x","role":"entry","domain":"a","address":"127.0.0.1:1","state":"live"}]}`))
	f.Add([]byte(`{"id":"x","from":"y","entries":[{"claim":{"shard":"a.0"}},{"publish":{"file":"f","data":"name: f"}}]}`))
	f.Add([]byte(`{"worker":"w","granted":true,"epoch":1,"capacity":{"processors":"8","memory":"1GiB"},"tasks":[{"task":"j@1/0.0","state":"running","resources":{"processors":"1","memory":"1B"}}]}`))
	f.Add([]byte(`{"first":0,"next":3,"records":[{"offset":1,"at_ms":5,"data":"x"}]}`))
	f.Add([]byte(`e~i~01ARZ3NDEKTSV4RRFFQ69G5FAV`))
	f.Add([]byte(`name@12/3.0`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		for _, decode := range decoders {
			_ = decode(data)
		}
	})
}
