// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"saddlevane/modules/conntrack"
	"saddlevane/modules/httpclient"

	"gotest.tools/v3/assert"
)

// metricValues returns the values of the box's counters and gauges by name and labels.
func (b *testBox) metricValues(t *testing.T) map[string]float64 {
	t.Helper()
	families, err := b.loop.Metrics().Gatherer().Gather()
	assert.NilError(t, err)
	values := map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			name := f.GetName()
			for _, l := range m.GetLabel() {
				name += fmt.Sprintf(" %s=%s", l.GetName(), l.GetValue())
			}
			values[name] = m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return values
}

func TestConnectionMetricsAreLabeledByDestination(t *testing.T) {
	p := startBox(t, newPlatform(t), "a", io.Discard)
	p.loop.ConnectionsChanged("log", 1)
	p.loop.ConnectionsChanged("log", 1)
	p.loop.ConnectionsChanged("log", -1)
	p.loop.ConnectionsDiscarded(conntrack.Discarded{To: "worker", Count: 3, SilentFor: time.Second})
	p.loop.CallRetried(httpclient.RetriedCall{To: "log", AnsweredOn: httpclient.OnNew})
	got := p.metricValues(t)
	assert.Equal(t, got["saddlevane_connections_open to=log"], 1.0)
	assert.Equal(t, got["saddlevane_connections_given_up_total reason=no answer to=worker"], 3.0)
	assert.Equal(t, got["saddlevane_calls_made_again_total answered=new to=log"], 1.0)
}
