// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"saddlevane/models/exchange"
	"saddlevane/routers"
	"saddlevane/services/jobrun"

	"gotest.tools/v3/assert"
)

// linesWith returns the lines of a text that contain all parts.
func linesWith(text string, parts ...string) []string {
	var found []string
next:
	for _, line := range strings.Split(text, "\n") {
		for _, part := range parts {
			if !strings.Contains(line, part) {
				continue next
			}
		}
		found = append(found, line)
	}
	return found
}

// TestExpectedRefusalsDoNotFillLog guards the room that a log has for what explains a failure. Callers that
// go on calling a route that does not exist got a line for each call, which crowded out the lines on lost
// jobs. All calls must be counted, and other refusals must keep a line each.
func TestExpectedRefusalsDoNotFillLog(t *testing.T) {
	on := newKeyedPlatform(t, 1, map[string]string{"key-of-a": "a"})
	var lines safeBuffer
	b := startBoxVia(t, on.Platform, "a", &lines, func(address string) string { return address })
	waitServed(t, b, jobrun.Request{Submit: submission("first")}, "")
	refuse := func(queue string, keys []string, want exchange.Outcome) {
		_, a := b.loop.Admit(queue, keys)
		assert.Assert(t, a != nil && a.Outcome == want, "%s: %+v", queue, a)
	}
	for range 500 {
		refuse("gone", nil, exchange.NoQueue)
		refuse("mistyped", nil, exchange.NoQueue)
	}
	for range 5 {
		refuse("q", []string{"key-of-nobody"}, exchange.Denied)
	}
	own := httptest.NewServer(routers.NewJobs(b.loop))
	defer own.Close()
	_, metrics := callHTTP(t, own, "GET", "", "/metrics", "")
	b.close()

	for _, queue := range []string{"gone", "mistyped"} {
		assert.Equal(t, len(linesWith(lines.String(), "call refused", "queue="+queue)), 1, queue)
	}
	assert.Equal(t, len(linesWith(lines.String(), "call refused", "outcome=denied")), 5)
	assert.Equal(t, len(linesWith(metrics, `saddlevane_calls_refused_total{outcome="no such queue"} 1000`)), 1)
	assert.Equal(t, len(linesWith(metrics, `saddlevane_calls_refused_total{outcome="denied"} 5`)), 1)
}
