// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"saddlevane/models/order"
	"saddlevane/services/relay"

	"gotest.tools/v3/assert"
)

// fullBatch returns a batch with each kind of order and of result.
func fullBatch() relay.Batch {
	return relay.Batch{
		From: "10.1.0.11:7340", Incarnation: "01M0JPVH8KD3MYTHZT124XCZDT",
		Orders: []relay.Order{
			{ID: 1, Worker: order.Incarnation{Name: "w"}, Address: "a", AnswerTimeout: 300, OverdueAfter: 200, Renew: &order.Renew{LeaseEnd: 9, Fence: 2, Acknowledged: 3, MaxWait: 400}},
			{ID: 2, Worker: order.Incarnation{Name: "w"}, Address: "a", AnswerTimeout: 300, Start: &order.Start{Run: run(1), Spec: "text", LeaseEnd: 9, Fence: 2, Checkpoint: "c", Ticket: "t"}},
			{ID: 3, Worker: order.Incarnation{Name: "w"}, Address: "a", AnswerTimeout: 300, Stop: &order.Stop{Run: run(2), Fence: 2}},
			{ID: 4, Worker: order.Incarnation{Name: "w"}, Address: "a", AnswerTimeout: 300, Throttle: &order.Throttle{Run: run(3), Percent: 40, Fence: 2}},
		},
		Results: []relay.Result{
			{ID: 1, Answer: order.Answer{Outcome: order.CarriedOut, Clock: 7}},
			{ID: 2, Answer: order.Answer{Outcome: order.Refused, Reason: order.StaleRun, Clock: 7, Problem: "status 409 old"}},
			{ID: 3, Answer: order.Answer{Outcome: order.Unknown, Problem: "no answer"}},
			{ID: 4, Answer: order.Answer{Outcome: order.CarriedOut, Clock: 7}, Report: &order.Report{Clock: 7}},
			{ID: 5, Answer: order.Answer{Outcome: order.CarriedOut, Clock: 7}, Report: &order.Report{
				Incarnation: order.Incarnation{BornUnixMilli: 1764750912345}, Clock: 7, Running: []order.Running{{Run: run(4), Checkpoint: "c", Progress: 30, Measurement: 5}},
				Ended: []order.End{{Number: 8, Run: run(5), Status: order.GangBroken, Checkpoint: "d"}},
			}},
		},
	}
}

func TestBatchRoundTrip(t *testing.T) {
	assert.DeepEqual(t, roundTrip(t, fullBatch()), fullBatch())
}

// An idle worker's renewal and its answer are exchanged 1,000 times a second in a cell, so
// each must take 120 bytes at most.
func TestIdleRenewalIsSmall(t *testing.T) {
	renewal := relay.Order{ID: 123456, Worker: order.Incarnation{Name: "i-299c99caea"}, Address: "10.3.64.47:8684", AnswerTimeout: 7330, OverdueAfter: 1200, Renew: &order.Renew{LeaseEnd: 486000, Fence: 12, Acknowledged: 57, MaxWait: 1000}}
	result := relay.Result{ID: 123456, Answer: order.Answer{Outcome: order.CarriedOut, Clock: 482113}, Report: &order.Report{Incarnation: order.Incarnation{BornUnixMilli: 1764750912345}, Clock: 482113}}
	for _, b := range []relay.Batch{{From: "f", Incarnation: "l", Orders: []relay.Order{renewal}}, {From: "f", Incarnation: "l", Results: []relay.Result{result}}} {
		data, err := json.Marshal(b)
		assert.NilError(t, err)
		assert.Check(t, len(data) <= 120, "%d bytes: %s", len(data), data)
	}
}

func TestTruncatedBatchIsRejected(t *testing.T) {
	data, err := json.Marshal(fullBatch())
	assert.NilError(t, err)
	var w struct{ Orders, Ended []byte }
	assert.NilError(t, json.Unmarshal(data, &w))
	var got relay.Batch
	for _, part := range []string{"orders", "ended"} {
		packed := map[string][]byte{"orders": w.Orders, "ended": w.Ended}[part]
		accepted := 0
		for n := 1; n < len(packed); n++ {
			cut, err := json.Marshal(map[string]any{"from": "f", "life": "l", part: packed[:n]})
			assert.NilError(t, err)
			if json.Unmarshal(cut, &got) == nil {
				accepted++
			}
		}
		assert.Check(t, accepted < 5, "%d proper prefixes of %s were accepted", accepted, part)
	}
}

func FuzzBatch(f *testing.F) {
	data, err := json.Marshal(fullBatch())
	assert.NilError(f, err)
	f.Add(data)
	for _, text := range []string{`{}`, `{"from":"f","life":"l","orders":"AAAA"}`, `{"from":"f","life":"l","ended":"AAAAAAIC"}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var b relay.Batch
		if json.Unmarshal(data, &b) != nil || b.Check() != nil {
			return
		}
		again, err := json.Marshal(b)
		assert.NilError(t, err)
		var back relay.Batch
		assert.NilError(t, json.Unmarshal(again, &back))
		assert.NilError(t, back.Check())
	})
}

// Boxes of other releases may write the fields of a batch in other forms.
func TestBatchIsDecodedInAnyForm(t *testing.T) {
	data, err := json.Marshal(fullBatch())
	assert.NilError(t, err)
	var fields map[string]string
	assert.NilError(t, json.Unmarshal(data, &fields))
	spaced, err := json.MarshalIndent(fields, "", " ")
	assert.NilError(t, err)
	escaped := bytes.Replace(data, []byte(`"from"`), []byte(`"fro\u006d"`), 1)
	extended := bytes.Replace(data, []byte(`{`), []byte(`{"new":[1,{}],`), 1)
	for _, form := range [][]byte{data, spaced, escaped, extended} {
		var got relay.Batch
		assert.NilError(t, got.UnmarshalJSON(form))
		assert.DeepEqual(t, got, fullBatch())
	}
	for _, form := range []string{"", "{", `{"from"`, `{"from":"f"`, `{"from":"f",}`, `{"from":"f","life":"l"}}`, `{"from":"f","life":"l","orders":"A"}`, `{"from":"f","life":"l";}`} {
		var got relay.Batch
		assert.Check(t, got.UnmarshalJSON([]byte(form)) != nil, "%s", form)
	}
}

// A sender's name that needs escape sequences is kept.
func TestBatchKeepsAnyAddress(t *testing.T) {
	b := relay.Batch{From: "[fe80::1%\"ü\"]:1", Incarnation: `a\b`}
	assert.DeepEqual(t, roundTrip(t, b), b)
}

const (
	ordersPerBatch = 50
	// maxBatchAllocations is how many objects it may take to encode and decode a batch besides those of
	// each order or result.
	maxBatchAllocations = 20
)

// countBatchAllocations returns how many objects it takes to encode and decode a batch.
func countBatchAllocations(t *testing.T, b relay.Batch) float64 {
	t.Helper()
	buffer := make([]byte, 0, 1<<16)
	return testing.AllocsPerRun(200, func() {
		data, err := b.AppendJSON(buffer)
		if err != nil {
			t.Error(err)
		}
		var back relay.Batch
		if err := back.UnmarshalJSON(data); err != nil {
			t.Error(err)
		}
	})
}

func TestBatchIsNotEncodedRepeatedly(t *testing.T) {
	orders := relay.Batch{From: "10.1.0.11:7340", Incarnation: "01M0JPVH8KD3MYTHZT124XCZDT"}
	results := orders
	for i := range ordersPerBatch {
		orders.Orders = append(orders.Orders, relay.Order{
			ID: uint64(i), Worker: order.Incarnation{Name: "i-299c99caea"}, Address: "10.3.64.47:8684", AnswerTimeout: 300,
			Renew: &order.Renew{LeaseEnd: 486000, Fence: 12, Acknowledged: 57, MaxWait: 1000},
		})
		results.Results = append(results.Results, relay.Result{
			ID: uint64(i), Answer: order.Answer{Outcome: order.CarriedOut, Clock: 482113},
			Report: &order.Report{
				Incarnation: order.Incarnation{BornUnixMilli: 1764750912345}, Clock: 482113, Ended: []order.End{{Number: 8, Run: run(5), Status: order.Done}},
			},
		})
	}
	// The order itself, its worker's name and its address.
	got := countBatchAllocations(t, orders)
	assert.Check(t, got <= 3*ordersPerBatch+maxBatchAllocations, "%v objects for %d renewals", got, ordersPerBatch)
	// The report, its list of ends and the job of the end.
	got = countBatchAllocations(t, results)
	assert.Check(t, got <= 3*ordersPerBatch+maxBatchAllocations, "%v objects for %d reports", got, ordersPerBatch)
}
