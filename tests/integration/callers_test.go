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

// callResult is a request together with the response that its caller received.
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

// isComplete reports whether the caller received the complete response to its own request.
func (r callResult) isComplete() bool {
	return r.err == nil && r.verdict == verdict.Ran && r.answer == r.body
}

// callers sends requests from concurrent clients until it is stopped.
type callers struct {
	f      *fixture
	client *http.Client
	// pickEntry returns the entry box for the next request.
	pickEntry func() *cell.Entry
	// cancelSome makes the callers cancel about a quarter of the requests early.
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

// run starts n callers, each of which sends one request after the other.
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

func (c *callers) addResult(r callResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

func (c *callers) count(ok func(callResult) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.results {
		if ok(r) {
			n++
		}
	}
	return n
}

// stopAndCollect stops the callers and returns the results of all requests.
func (c *callers) stopAndCollect() []callResult {
	close(c.stop)
	c.tasks.Wait()
	return c.results
}

// sendNew sends a new request with a random delay and body, and with a key if its class needs
// one.
func (c *callers) sendNew(class, nonce string) callResult {
	r := callResult{nonce: nonce, startedAt: time.Now(), delayMs: rand.IntN(c.maxDelayMs + 1), class: class, body: nonce + strings.Repeat("x", rand.IntN(c.maxPaddingBytes+1))}
	e := c.pickEntry()
	key := ""
	if class == "extract" {
		if key = c.issueKey(e); key == "" {
			r.status, r.verdict = http.StatusServiceUnavailable, verdict.NotRun
			return r
		}
	}
	return c.send(e, r, key)
}

func (c *callers) send(e *cell.Entry, r callResult, key string) callResult {
	ctx, cancel := context.WithCancel(c.f.ctx)
	defer cancel()
	if c.cancelSome && rand.IntN(4) == 0 {
		timer := time.AfterFunc(time.Duration(rand.IntN(10))*time.Millisecond, cancel)
		defer timer.Stop()
	}
	path := fmt.Sprintf("runners/%s?ms=%d", r.class, r.delayMs)
	resp, answer, err := cell.SendRequest(ctx, c.client, e, path, key, r.nonce, r.body)
	r.err = err
	if err == nil {
		r.status, r.answer = resp.StatusCode, answer
		r.verdict = verdict.Verdict(resp.Header.Get("Saddlevane-Verdict"))
	}
	return r
}

// issueKey obtains a key from an entry box, or returns "" if that fails.
func (c *callers) issueKey(e *cell.Entry) string {
	key, err := cell.IssueKey(c.f.ctx, c.client, e)
	if err != nil {
		return ""
	}
	return key
}

// runCounts returns how often each request ran at any target, by nonce.
func (f *fixture) runCounts() map[string]int {
	f.t.Helper()
	sum := map[string]int{}
	f.waitFor("every target reports what it ran", func() bool {
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

// checkVerdicts compares the verdicts that callers received with what the targets ran.
func (f *fixture) checkVerdicts(results []callResult) {
	f.t.Helper()
	runs := f.runCounts()
	for _, r := range results {
		n := runs[r.nonce]
		switch {
		case r.class == "extract" && n > 1:
			f.t.Errorf("%s is not repeatable but ran %d times", r.nonce, n)
		case r.err == nil && r.verdict == verdict.NotRun && n > 0:
			f.t.Errorf("%s was reported as not run but ran %d times", r.nonce, n)
		case r.err == nil && r.verdict == verdict.Ran && n == 0:
			f.t.Errorf("%s was reported as run but did not run", r.nonce)
		case r.err == nil && r.verdict == verdict.Ran && r.answer != r.body:
			f.t.Errorf("%s received %d bytes that are not its own complete response of %d", r.nonce, len(r.answer), len(r.body))
		case r.err == nil && r.verdict == "":
			f.t.Errorf("%s received status %d without a verdict", r.nonce, r.status)
		}
	}
}
