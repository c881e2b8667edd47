// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"saddlevane/models/verdict"
	"saddlevane/tests/cell"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"
)

// loadGenerator sends requests at a fixed mean rate, whether or not earlier ones were answered
// (open loop).
type loadGenerator struct {
	cell *cell.Cell
	rate float64
	// entries are the boxes that requests are sent to.
	entries   []*cell.Entry
	client    *http.Client
	startedAt time.Time
	mu        sync.Mutex
	// byClass holds the results of each class in the measured period.
	byClass map[string]*tally
	// keyed holds the nonces of the requests with an idempotency key.
	keyed map[string]bool
	sent  int
}

// tally holds the results of one class of requests.
type tally struct {
	offered, done, refused, unknown int
	waitTime, refusalTime           *hdrhistogram.Histogram
	serviceTime                     time.Duration
}

// newLoadGenerator returns a generator that sends rate requests per second to all entry boxes, or
// with skew only to those of domain a.
func newLoadGenerator(c *cell.Cell, rate float64, skew bool) *loadGenerator {
	l := &loadGenerator{cell: c, rate: rate, entries: c.Entries(), client: newClient(), byClass: map[string]*tally{}, keyed: map[string]bool{}}
	if skew {
		l.entries = c.EntriesIn("a")
	}
	for _, k := range requestKinds {
		l.byClass[k.class] = &tally{waitTime: newHistogram(), refusalTime: newHistogram()}
	}
	return l
}

// newHistogram returns a histogram of microseconds up to one minute.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

// run sends requests for warmUpPeriod and measurePeriod, and waits for all responses.
func (l *loadGenerator) run(ctx context.Context) {
	r := rand.New(rand.NewPCG(uint64(l.rate), 3))
	var tasks conc.WaitGroup
	l.startedAt = time.Now()
	next := l.startedAt
	for i := 0; time.Since(l.startedAt) < warmUpPeriod+measurePeriod; i++ {
		next = next.Add(time.Duration(r.ExpFloat64() / l.rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		k, e := pickKind(r), l.entries[r.IntN(len(l.entries))]
		service := time.Duration(math.Round(r.ExpFloat64()*k.serviceTime.Seconds()*1000)) * time.Millisecond
		nonce := fmt.Sprintf("%.0f-%d", l.rate, i)
		tasks.Go(func() { l.sendRequest(ctx, k, e, service, nonce) })
	}
	tasks.Wait()
	l.client.CloseIdleConnections()
}

// sendRequest sends one request and counts its result. service is the time that the target takes.
func (l *loadGenerator) sendRequest(ctx context.Context, k requestKind, e *cell.Entry, service time.Duration, nonce string) {
	key := ""
	if k.keyed {
		key, _ = cell.IssueKey(ctx, l.client, e)
	}
	start := time.Now()
	path := fmt.Sprintf("runners/%s?ms=%d", k.class, service.Milliseconds())
	resp, _, err := cell.SendRequest(ctx, l.client, e, path, key, nonce, nonce)
	took := time.Since(start)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	if k.keyed {
		l.keyed[nonce] = true
	}
	t := l.byClass[k.class]
	if at := start.Sub(l.startedAt); at >= warmUpPeriod {
		t.offered++
	}
	// A result counts at the time of the response, not of the request.
	if at := time.Since(l.startedAt); at < warmUpPeriod || at >= warmUpPeriod+measurePeriod {
		return
	}
	switch {
	case err != nil || verdict.Verdict(resp.Header.Get("Saddlevane-Verdict")) == verdict.MayHaveRun:
		t.unknown++
	case verdict.Verdict(resp.Header.Get("Saddlevane-Verdict")) == verdict.NotRun:
		t.refused++
		_ = t.refusalTime.RecordValue(max(took.Microseconds(), 1))
	default:
		t.done++
		t.serviceTime += service
		_ = t.waitTime.RecordValue(max((took - service).Microseconds(), 1))
	}
}

// print writes one table row per class.
func (l *loadGenerator) print(out io.Writer, factor float64) {
	served := time.Duration(0)
	for _, t := range l.byClass {
		served += t.serviceTime
	}
	used := served.Seconds() / measurePeriod.Seconds() / (benchTargets * benchSlots)
	for _, k := range requestKinds {
		t := l.byClass[k.class]
		rate := func(n int) float64 { return float64(n) / measurePeriod.Seconds() }
		fmt.Fprintf(out, "| %.1fx | %s | %.0f | %.0f | %.0f | %d | %s | %s | %s | %s | %.0f%% |\n", factor, k.class,
			rate(t.offered), rate(t.done), rate(t.refused), t.unknown,
			formatMicros(t.waitTime.ValueAtQuantile(50)), formatMicros(t.waitTime.ValueAtQuantile(99)), formatMicros(t.waitTime.Max()),
			formatMicros(t.refusalTime.ValueAtQuantile(99)), 100*used)
	}
}

// formatMicros formats n microseconds, rounded to 100 µs.
func formatMicros(n int64) string {
	return (time.Duration(n) * time.Microsecond).Round(100 * time.Microsecond).String()
}
