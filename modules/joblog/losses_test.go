// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package joblog_test

import (
	"strings"
	"testing"
	"time"

	"saddlevane/modules/joblog"

	"gotest.tools/v3/assert"
)

const endedLines = `
{"msg":"job ended","queue":"quick","outcome":"succeeded","objective":"1s","late":true,"delays":{"slow run":3000000000,"room":1000000000},"time":"2026-01-02T03:04:07Z"}
{"msg":"job ended","queue":"quick","outcome":"succeeded","objective":"1s","late":false,"delays":{},"time":"2026-01-02T03:04:07Z"}
{"msg":"job ended","queue":"quick","outcome":"succeeded","objective":"1s","late":true,"delays":{},"time":"2026-01-02T03:04:08Z"}
{"msg":"job ended","queue":"wide","outcome":"failed","time":"2026-01-02T03:04:11Z"}
{"msg":"job ended","queue":"lasting","outcome":"cancelled","time":"2026-01-02T03:04:11Z"}
{"msg":"call not served","call":"submit","outcome":"unavailable","reason":"entry box 10.0.0.1:80: refused","time":"2026-01-02T03:04:12Z"}
{"msg":"call not served","call":"submit","outcome":"unavailable","reason":"entry box 10.0.0.2:80: refused","time":"2026-01-02T03:04:12Z"}
{"msg":"tasks started","job":"j"}
{"msg":"job ended","queue":"qu
`

func TestLossesPerQueueAndInterval(t *testing.T) {
	l := joblog.NewLosses(5 * time.Second)
	assert.NilError(t, l.Read(strings.NewReader(endedLines)))
	queues := l.Queues()
	assert.Equal(t, len(queues), 3)
	assert.DeepEqual(t, queues[1], joblog.QueueLoss{
		Queue: "quick", Ended: 3, Late: 2, Delays: map[string]float64{"slow run": 0.75, "room": 0.25, "no delay was told": 1},
	})
	assert.DeepEqual(t, queues[1].SortedDelays(), []string{"no delay was told", "slow run", "room"})
	assert.Equal(t, queues[2].Failed, 1)
	at := func(second int) time.Time { return time.Date(2026, 1, 2, 3, 4, second, 0, time.UTC) }
	assert.DeepEqual(t, l.Spans(), []joblog.SpanLoss{
		{Begin: at(5), Reason: "job late: no delay was told", Count: 1},
		{Begin: at(5), Reason: "job late: slow run", Count: 1},
		{Begin: at(10), Reason: "job failed", Count: 1},
		{Begin: at(10), Reason: "submit unavailable: entry box", Count: 2},
	})
	assert.Equal(t, l.TornLines, 1)
}
