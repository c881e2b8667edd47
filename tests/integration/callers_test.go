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

// asked is a request and what its caller got.
type asked struct {
	nonce   string
	began   time.Time
	ms      int
	class   string
	body    string
	status  int
	verdict verdict.Verdict
	answer  string
	err     error
}

// whole says whether the caller got the whole answer to its own request.
func (a asked) whole() bool { return a.err == nil && a.verdict == verdict.Ran && a.answer == a.body }

// callers are clients that send requests until they are stopped.
type callers struct {
	f      *fixture
	client *http.Client
	// pick chooses the entry box for the next request.
	pick func() *cell.Entry
	// leave makes some callers leave early.
	leave   bool
	ms      int
	size    int
	stop    chan struct{}
	tasks   conc.WaitGroup
	mu      sync.Mutex
	results []asked
}

func newCallers(f *fixture) *callers {
	entries := f.Entries()
	return &callers{
		f: f, stop: make(chan struct{}), ms: 5, size: 100,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}, Timeout: 30 * time.Second},
		pick:   func() *cell.Entry { return entries[rand.IntN(len(entries))] },
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
				c.add(c.ask(classes[(i+j)%len(classes)], fmt.Sprintf("%d-%d-%d", i, j, rand.Int64())))
			}
		})
	}
}

func (c *callers) add(a asked) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, a)
}

func (c *callers) count(ok func(asked) bool) int {
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

// end stops the callers and returns what they got.
func (c *callers) end() []asked {
	close(c.stop)
	c.tasks.Wait()
	return c.results
}

// ask sends one request, with a key if its class needs one.
func (c *callers) ask(class, nonce string) asked {
	a := asked{nonce: nonce, began: time.Now(), ms: rand.IntN(c.ms + 1), class: class, body: nonce + strings.Repeat("x", rand.IntN(c.size+1))}
	e := c.pick()
	key := ""
	if class == "extract" {
		if key = c.key(e); key == "" {
			a.status, a.verdict = http.StatusServiceUnavailable, verdict.NotRun
			return a
		}
	}
	return c.send(e, a, key)
}

func (c *callers) send(e *cell.Entry, a asked, key string) asked {
	ctx, cancel := context.WithCancel(c.f.ctx)
	defer cancel()
	if c.leave && rand.IntN(4) == 0 {
		timer := time.AfterFunc(time.Duration(rand.IntN(10))*time.Millisecond, cancel)
		defer timer.Stop()
	}
	path := fmt.Sprintf("runners/%s?ms=%d", a.class, a.ms)
	resp, answer, err := cell.Ask(ctx, c.client, e, path, key, a.nonce, a.body)
	a.err = err
	if err == nil {
		a.status, a.answer = resp.StatusCode, answer
		a.verdict = verdict.Verdict(resp.Header.Get("Saddlevane-Verdict"))
	}
	return a
}

// key asks an entry box for a key.
func (c *callers) key(e *cell.Entry) string {
	key, err := cell.IssueKey(c.f.ctx, c.client, e)
	if err != nil {
		return ""
	}
	return key
}

// runs adds up how often each request ran at any target.
func (f *fixture) runs() map[string]int {
	f.t.Helper()
	sum := map[string]int{}
	f.until("every target tells what it ran", func() bool {
		clear(sum)
		all, err := f.Runs(f.ctx)
		for _, r := range all {
			for nonce, n := range r.Runs {
				sum[nonce] += n
			}
		}
		return err == nil
	})
	return sum
}

// checkTruth holds what callers were told against what targets ran.
func (f *fixture) checkTruth(results []asked) {
	f.t.Helper()
	runs := f.runs()
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
