// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"saddlevane/models/verdict"
	"saddlevane/tests/cell"

	"github.com/sourcegraph/conc"
)

// callResult is a request and what its caller got.
type callResult struct {
	nonce     string
	startedAt time.Time
	delayMs   int
	class     string
	body      string
	status    int
	verdict   verdict.Verdict
	answer    string
	err       error
}

// isComplete says whether the caller got the whole answer to its own request.
func (a callResult) isComplete() bool {
	return a.err == nil && a.verdict == verdict.Ran && a.answer == a.body
}

// callers are clients that send requests until they are stopped.
type callers struct {
	f      *fixture
	client *http.Client
	// pick chooses the entry box for the next request.
	pickEntry func() *cell.Entry
	// leave makes some callers leave early.
	cancelSome      bool
	maxDelayMs      int
	maxPaddingBytes int
	stop            chan struct{}
	tasks           conc.WaitGroup
	mu              sync.Mutex
	results         []callResult
}

func newCallers(f *fixture) *callers {
	entries := f.Entries()
	return &callers{
		f: f, stop: make(chan struct{}), maxDelayMs: 5, maxPaddingBytes: 100,
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}, Timeout: 30 * time.Second},
		pickEntry: func() *cell.Entry { return entries[rand.IntN(len(entries))] },
	}
}

// run starts n callers that each send one request after the other.
func (c *callers) run(n int, classes ...string) {
	for i := range n {
		c.tasks.Go(func() {
			for j := 0; ; j++ {
				select {
				case <-c.stop:
					return
				default:
				}
				c.addResult(c.sendNew(classes[(i+j)%len(classes)], fmt.Sprintf("%d-%d-%d", i, j, rand.Int64())))
			}
		})
	}
}

func (c *callers) addResult(a callResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, a)
}

func (c *callers) count(ok func(callResult) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, a := range c.results {
		if ok(a) {
			n++
		}
	}
	return n
}

// stopAndCollect stops the callers and returns what they got.
func (c *callers) stopAndCollect() []callResult {
	close(c.stop)
	c.tasks.Wait()
	return c.results
}

// sendNew sends one request, with a key if its class needs one.
func (c *callers) sendNew(class, nonce string) callResult {
	a := callResult{nonce: nonce, startedAt: time.Now(), delayMs: rand.IntN(c.maxDelayMs + 1), class: class, body: nonce + strings.Repeat("x", rand.IntN(c.maxPaddingBytes+1))}
	e := c.pickEntry()
	key := ""
	if class == "extract" {
		if key = c.issueKey(e); key == "" {
			a.status, a.verdict = http.StatusServiceUnavailable, verdict.NotRun
			return a
		}
	}
	return c.send(e, a, key)
}

func (c *callers) send(e *cell.Entry, a callResult, key string) callResult {
	ctx, cancel := context.WithCancel(c.f.ctx)
	defer cancel()
	if c.cancelSome && rand.IntN(4) == 0 {
		timer := time.AfterFunc(time.Duration(rand.IntN(10))*time.Millisecond, cancel)
		defer timer.Stop()
	}
	path := fmt.Sprintf("runners/%s?ms=%d", a.class, a.delayMs)
	resp, answer, err := cell.SendRequest(ctx, c.client, e, path, key, a.nonce, a.body)
	a.err = err
	if err == nil {
		a.status, a.answer = resp.StatusCode, answer
		a.verdict = verdict.Verdict(resp.Header.Get("Saddlevane-Verdict"))
	}
	return a
}

// issueKey asks an entry box for a key.
func (c *callers) issueKey(e *cell.Entry) string {
	key, err := cell.IssueKey(c.f.ctx, c.client, e)
	if err != nil {
		return ""
	}
	return key
}

// runCounts adds up how often each request ran at any target.
func (f *fixture) runCounts() map[string]int {
	f.t.Helper()
	sum := map[string]int{}
	f.waitFor("every target tells what it ran", func() bool {
		clear(sum)
		all, err := f.TargetStats(f.ctx)
		for _, r := range all {
			for nonce, n := range r.Runs {
				sum[nonce] += n
			}
		}
		return err == nil
	})
	return sum
}

// checkVerdicts holds what callers were told against what targets ran.
func (f *fixture) checkVerdicts(results []callResult) {
	f.t.Helper()
	runs := f.runCounts()
	for _, a := range results {
		n := runs[a.nonce]
		switch {
		case a.class == "extract" && n > 1:
			f.t.Errorf("%s may not be repeated and ran %d times", a.nonce, n)
		case a.err == nil && a.verdict == verdict.NotRun && n > 0:
			f.t.Errorf("%s was called not run and ran %d times", a.nonce, n)
		case a.err == nil && a.verdict == verdict.Ran && n == 0:
			f.t.Errorf("%s was called run and did not run", a.nonce)
		case a.err == nil && a.verdict == verdict.Ran && a.answer != a.body:
			f.t.Errorf("%s got %d bytes that are not its own whole answer of %d", a.nonce, len(a.answer), len(a.body))
		case a.err == nil && a.verdict == "":
			f.t.Errorf("%s got status %d and no verdict", a.nonce, a.status)
		}
	}
}
