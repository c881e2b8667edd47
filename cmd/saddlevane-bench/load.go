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

// load sends requests at a rate, whether or not earlier ones were answered.
type load struct {
	cell *cell.Cell
	rate float64
	// entries are the boxes that callers ask.
	entries []*cell.Entry
	client  *http.Client
	begun   time.Time
	mu      sync.Mutex
	// byClass holds what came of each class while measured.
	byClass map[string]*tally
	keyed   map[string]bool
	sent    int
}

// tally is what came of one class.
type tally struct {
	offered, done, refused, unknown int
	wait, refusal                   *hdrhistogram.Histogram
	served                          time.Duration
}

func newLoad(c *cell.Cell, rate float64, skew bool) *load {
	l := &load{cell: c, rate: rate, entries: c.Entries(), client: newClient(), byClass: map[string]*tally{}, keyed: map[string]bool{}}
	if skew {
		l.entries = c.EntriesIn("a")
	}
	for _, k := range kinds {
		l.byClass[k.class] = &tally{wait: newHistogram(), refusal: newHistogram()}
	}
	return l
}

// newHistogram counts microseconds up to a minute.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

// run sends for the warm-up and the measured time, and waits for all answers.
func (l *load) run(ctx context.Context) {
	r := rand.New(rand.NewPCG(uint64(l.rate), 3))
	var tasks conc.WaitGroup
	l.begun = time.Now()
	next := l.begun
	for i := 0; time.Since(l.begun) < warmUp+measured; i++ {
		next = next.Add(time.Duration(r.ExpFloat64() / l.rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		k, e := pick(r), l.entries[r.IntN(len(l.entries))]
		service := time.Duration(math.Round(r.ExpFloat64()*k.service.Seconds()*1000)) * time.Millisecond
		nonce := fmt.Sprintf("%.0f-%d", l.rate, i)
		tasks.Go(func() { l.ask(ctx, k, e, service, nonce) })
	}
	tasks.Wait()
	l.client.CloseIdleConnections()
}

func (l *load) ask(ctx context.Context, k kind, e *cell.Entry, service time.Duration, nonce string) {
	key := ""
	if k.keyed {
		key, _ = cell.IssueKey(ctx, l.client, e)
	}
	begun := time.Now()
	path := fmt.Sprintf("runners/%s?ms=%d", k.class, service.Milliseconds())
	resp, _, err := cell.Ask(ctx, l.client, e, path, key, nonce, nonce)
	took := time.Since(begun)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	if k.keyed {
		l.keyed[nonce] = true
	}
	t := l.byClass[k.class]
	if at := begun.Sub(l.begun); at >= warmUp {
		t.offered++
	}
	// What came of a request counts when it came.
	if at := time.Since(l.begun); at < warmUp || at >= warmUp+measured {
		return
	}
	switch {
	case err != nil || verdict.Verdict(resp.Header.Get("Saddlevane-Verdict")) == verdict.MayHaveRun:
		t.unknown++
	case verdict.Verdict(resp.Header.Get("Saddlevane-Verdict")) == verdict.NotRun:
		t.refused++
		_ = t.refusal.RecordValue(max(took.Microseconds(), 1))
	default:
		t.done++
		t.served += service
		_ = t.wait.RecordValue(max((took - service).Microseconds(), 1))
	}
}

// print writes a row for each class.
func (l *load) print(out io.Writer, factor float64) {
	served := time.Duration(0)
	for _, t := range l.byClass {
		served += t.served
	}
	used := served.Seconds() / measured.Seconds() / (benchTargets * benchSlots)
	for _, k := range kinds {
		t := l.byClass[k.class]
		rate := func(n int) float64 { return float64(n) / measured.Seconds() }
		fmt.Fprintf(out, "| %.1fx | %s | %.0f | %.0f | %.0f | %d | %s | %s | %s | %s | %.0f%% |\n", factor, k.class,
			rate(t.offered), rate(t.done), rate(t.refused), t.unknown,
			micros(t.wait.ValueAtQuantile(50)), micros(t.wait.ValueAtQuantile(99)), micros(t.wait.Max()),
			micros(t.refusal.ValueAtQuantile(99)), 100*used)
	}
}

func micros(n int64) string {
	return (time.Duration(n) * time.Microsecond).Round(100 * time.Microsecond).String()
}
