// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/order"
	"saddlevane/services/relay"
)

// BenchmarkRenewal measures the holder's cost of a renewal through a relay, including
// encoding and decoding but without the link. 48 renewals share a batch, and each worker
// runs five tasks.
func BenchmarkRenewal(b *testing.B) {
	var report order.Report
	for i := range 5 {
		report.Running = append(report.Running, order.Running{Run: run(int64(100_000 + i)), Checkpoint: "00000bb87a21d94b", Progress: 40, Measurement: 16000})
	}
	var client *relay.Client
	send := func(_ context.Context, _ claim.Member, sent relay.Batch) relay.DeliveryStatus {
		if _, err := json.Marshal(sent); err != nil {
			b.Error(err)
		}
		back := relay.Batch{From: sent.From, Incarnation: sent.Incarnation}
		for _, o := range sent.Orders {
			back.Results = append(back.Results, relay.Result{ID: o.ID, Answer: order.Answer{Outcome: order.CarriedOut, Clock: 7}, Report: &report})
		}
		data, err := json.Marshal(back)
		if err != nil {
			b.Error(err)
		}
		b.SetBytes(int64(len(data) / len(back.Results)))
		var got relay.Batch
		if err := json.Unmarshal(data, &got); err != nil {
			b.Error(err)
		}
		client.HandleResults(got)
		return relay.Delivered
	}
	selector := relay.NewSelector(relay.Limits{MinWorkers: 1, WorkersPerRelay: 48}, "a-00")
	selector.AddBoxes([]claim.Member{member("b", 0)})
	selector.UpdateWorkers(listing(48, "b"))
	client = relay.NewClient(member("a", 0), time.Now, selector, relay.WorkerCalls{}, func(int64) bool { return true }, send)
	defer client.Close()
	workers := client.WorkerCalls()
	for b.Loop() {
		var calls sync.WaitGroup
		for i := range 48 {
			calls.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				workers.Renew(ctx, "10.3.64.47:8684", order.Incarnation{Name: fmt.Sprintf("w-b-%03d", i)}, order.Renew{LeaseEnd: 9, Fence: 4, Acknowledged: 11, MaxWait: 400})
			})
		}
		calls.Wait()
	}
	b.ReportMetric(float64(b.N*48), "looks")
}
