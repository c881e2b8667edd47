// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/modules/httpclient"
	"saddlevane/services/relay"

	"gotest.tools/v3/assert"
)

// longRenewal sends a renewal that waits up to 5 s to a relay whose worker answers as given, and returns
// the result, how long it took, and the orders that the worker got.
func longRenewal(t *testing.T, answer func(call int, r order.Renew) (order.Report, order.Answer)) (relay.Result, time.Duration, []order.Renew) {
	t.Helper()
	var calls []order.Renew
	done := make(chan relay.Result, 1)
	server := relay.NewServer(time.Now, relay.WorkerCalls{
		Renew: func(ctx context.Context, _ string, _ order.Incarnation, r order.Renew) (order.Report, order.Answer) {
			calls = append(calls, r)
			report, a := answer(len(calls), r)
			if a.Outcome == order.Unknown {
				<-ctx.Done()
				return report, a
			}
			if len(report.Running)+len(report.Ended) == 0 {
				<-time.After(r.MaxWait.Duration())
			}
			return report, a
		},
	}, func(_ context.Context, _ claim.Member, b relay.Batch) relay.DeliveryStatus {
		done <- b.Results[0]
		return relay.Delivered
	})
	defer server.Close()
	start := time.Now()
	o := relay.Order{
		ID: 1, Worker: order.Incarnation{Name: "w"}, Address: "a", Renew: &order.Renew{LeaseEnd: 9, Fence: 4, MaxWait: 5000},
		AnswerTimeout: 11000, OverdueAfter: 5200,
	}
	assert.NilError(t, server.HandleOrders(relay.Batch{From: "holder", Incarnation: "1", Orders: []relay.Order{o}}))
	result := <-done
	return result, time.Since(start), calls
}

// idle is the report of a worker without runs.
func idle() (order.Report, order.Answer) {
	return order.Report{Incarnation: order.Incarnation{Name: "w"}}, order.Answer{Outcome: order.CarriedOut}
}

func TestLongRenewalOfIdleWorkerIsOneMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		result, took, calls := longRenewal(t, func(int, order.Renew) (order.Report, order.Answer) { return idle() })
		assert.Equal(t, result.Answer.Outcome, order.CarriedOut)
		assert.Assert(t, took >= 5*time.Second && took < 5100*time.Millisecond, "%v", took)
		assert.Equal(t, len(calls), 5)
		for i, r := range calls {
			assert.Equal(t, r.MaxWait, job.Milliseconds(1000))
			assert.Equal(t, r.LeaseEnd > 0, i == 0, "only the first call extends the lease")
			assert.Equal(t, r.Fence, int64(4))
		}
	})
}

// A worker that is asked for long must not keep what happens there from the holder.
func TestLongRenewalEndsWhenSomethingHappens(t *testing.T) {
	for name, event := range map[string]func() (order.Report, order.Answer){
		"a run": func() (order.Report, order.Answer) {
			r, a := idle()
			r.Running = []order.Running{{}}
			return r, a
		},
		"an end": func() (order.Report, order.Answer) {
			r, a := idle()
			r.Ended = []order.End{{Number: 1}}
			return r, a
		},
		"another incarnation": func() (order.Report, order.Answer) {
			return order.Report{Incarnation: order.Incarnation{Name: "w", BornUnixMilli: 7}}, order.Answer{Outcome: order.CarriedOut}
		},
		"a later holder": func() (order.Report, order.Answer) {
			return order.Report{}, order.Answer{Outcome: order.Refused, Reason: order.Fenced}
		},
		"silence": func() (order.Report, order.Answer) { return order.Report{}, order.Answer{Outcome: order.Unknown} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, took, calls := longRenewal(t, func(call int, r order.Renew) (order.Report, order.Answer) {
					if call == 3 {
						return event()
					}
					report, a := idle()
					report.Incarnation.BornUnixMilli = 5
					return report, a
				})
				assert.Equal(t, len(calls), 3)
				assert.Assert(t, took <= 3300*time.Millisecond, "%v", took)
			})
		})
	}
}

// If the link to a relay is closed, the relay may be lost. The holder must not wait for its results.
func TestPendingOrdersEndWhenTheLinkToTheRelayIsClosed(t *testing.T) {
	h := newRelayHarness(t)
	h.update(func() { h.dropResults = true })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		// The order may not be pending yet when the link is closed for the first time.
		for ticker := time.NewTicker(10 * time.Millisecond); ctx.Err() == nil; <-ticker.C {
			h.client.HandleLinkClosed("other")
			h.client.HandleLinkClosed(member("b", 0).Address)
		}
	}()
	start := time.Now()
	assert.Equal(t, h.startRun(10*time.Second).Outcome, order.Unknown)
	assert.Assert(t, time.Since(start) < 5*time.Second)
}

// TestLongRenewalDoesNotAcknowledgeEndsOfLaterIncarnation lets the worker restart between two calls of a
// renewal, after which the next incarnation ends a run that has the number of an end of the earlier one.
func TestLongRenewalDoesNotAcknowledgeEndsOfLaterIncarnation(t *testing.T) {
	var acknowledged int64
	calls := relay.WorkerCalls{
		Renew: func(_ context.Context, _ string, w order.Incarnation, r order.Renew) (order.Report, order.Answer) {
			if acknowledged == 0 {
				acknowledged = r.Acknowledged
				return order.Report{Incarnation: w}, order.Answer{Outcome: order.CarriedOut}
			}
			report := order.Report{Incarnation: order.Incarnation{Name: w.Name, BornUnixMilli: w.BornUnixMilli + 1}}
			if end := int64(1); end > r.Acknowledged {
				report.Ended = []order.End{{Number: end, Run: run(1), Status: order.Done}}
			}
			return report, order.Answer{Outcome: order.CarriedOut}
		},
	}
	ctx := httpclient.WithOverdueAfter(t.Context(), 5200*time.Millisecond)
	report, answer := calls.RenewInParts(ctx, "a", order.Incarnation{Name: "w", BornUnixMilli: 1}, order.Renew{LeaseEnd: 9, Fence: 4, Acknowledged: 1, MaxWait: 5000})
	assert.Equal(t, answer.Outcome, order.CarriedOut)
	assert.Equal(t, acknowledged, int64(1))
	assert.Equal(t, len(report.Ended), 1, "the end of the later incarnation is lost")
}
