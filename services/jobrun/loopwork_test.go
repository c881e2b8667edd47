// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/services/dispatch"
	"saddlevane/services/jobrun"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// sample is a metric's value: that of a counter or gauge, or the number and sum of the values of a
// histogram, with the number of those within each bucket's limit.
type sample struct {
	value, sum float64
	count      uint64
	within     map[float64]uint64
}

// gather returns the metrics of a box with the given name, by the value of their label, or under an
// empty name if they have none.
func gather(t *testing.T, b *testBox, name string) map[string]sample {
	t.Helper()
	families, err := b.loop.Metrics().Gatherer().Gather()
	assert.NilError(t, err)
	all := map[string]sample{}
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, m := range f.GetMetric() {
			label := ""
			if len(m.GetLabel()) > 0 {
				label = m.GetLabel()[0].GetValue()
			}
			h := m.GetHistogram()
			s := sample{value: m.GetCounter().GetValue() + m.GetGauge().GetValue(), sum: h.GetSampleSum(), count: h.GetSampleCount(), within: map[float64]uint64{}}
			for _, bucket := range h.GetBucket() {
				s.within[bucket.GetUpperBound()] = bucket.GetCumulativeCount()
			}
			all[label] = s
		}
	}
	return all
}

// submitWhileBusy posts submissions while the loop of a box is at work, and waits until they are
// served.
func submitWhileBusy(t *testing.T, b *testBox, count int) {
	t.Helper()
	busy, queued := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(queued) })
	// A box whose loop is at work cannot be closed.
	defer release()
	var callers sync.WaitGroup
	callers.Go(func() {
		b.loop.Query(func(time.Time, *dispatch.Core) {
			close(busy)
			<-queued
		})
	})
	<-busy
	for i := range count {
		callers.Go(func() { b.loop.Serve(context.Background(), jobrun.Request{Submit: submission(fmt.Sprint("wait", i))}) })
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := gather(t, b, "saddlevane_loop_queued")[""].value; n < float64(count) {
			return poll.Continue("%v events are queued", n)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	release()
	callers.Wait()
}

// TestWaitOfSubmissionsIsNotHiddenByOtherEvents guards against a queueing time that does not show
// whether callers wait: most events are answers of workers, so the time of all events says little
// about submissions.
func TestWaitOfSubmissionsIsNotHiddenByOtherEvents(t *testing.T) {
	const count = 30
	b := startBox(t, newPlatform(t), "a", io.Discard)
	waitServed(t, b, jobrun.Request{Submit: submission("first")}, "")
	before := gather(t, b, "saddlevane_loop_submit_wait_seconds")[""].count
	submitWhileBusy(t, b, count)
	submits := gather(t, b, "saddlevane_loop_submit_wait_seconds")[""]
	assert.Equal(t, submits.count-before, uint64(count))
	assert.Check(t, submits.sum > 0)
	assert.Check(t, gather(t, b, "saddlevane_loop_wait_seconds")[""].count > submits.count)
	groups := gather(t, b, "saddlevane_loop_queued_events")[""]
	assert.Check(t, groups.within[16] < groups.count, "no group has more than 16 events")
}

// TestBusyLoopNamesWhatItWorksOn guards against a load that cannot be attributed: the kinds of work
// are counted with the time that they take, and no kind has a name that callers choose.
func TestBusyLoopNamesWhatItWorksOn(t *testing.T) {
	b := startBox(t, newPlatform(t), "a", io.Discard)
	for i := range 5 {
		id := fmt.Sprint("job", i)
		waitServed(t, b, jobrun.Request{Submit: submission(id)}, "")
		waitServed(t, b, jobrun.Request{State: job.ID(id)}, job.Succeeded)
	}
	b.loop.Query(func(time.Time, *dispatch.Core) {})
	// The second query ends after the first has been recorded.
	b.loop.Query(func(time.Time, *dispatch.Core) {})
	counts, seconds := gather(t, b, "saddlevane_loop_work_total"), gather(t, b, "saddlevane_loop_work_seconds_total")
	for _, kind := range []string{
		"submit", "call", "ends", "start", "append", "tick", "query", "plan", "decision", "send_renewal", "send_start", "send_append", "reply", "log_line",
	} {
		assert.Check(t, counts[kind].value > 0, "%s", kind)
		assert.Check(t, seconds[kind].value > 0, "%s", kind)
	}
	assert.Check(t, counts["send_start"].value >= 20, "5 jobs of 4 tasks")
	assert.Check(t, len(counts) <= 25, "%d kinds of work", len(counts))
	assert.Check(t, len(gather(t, b, "process_cpu_seconds_total")) == 1)
}

// TestLoadLineHasProcessorTimeAndWork guards against a line about load from which the share of the
// work outside the event loop cannot be computed.
func TestLoadLineHasProcessorTimeAndWork(t *testing.T) {
	out := &lockedBuffer{}
	b := startBox(t, newPlatform(t), "a", out)
	waitServed(t, b, jobrun.Request{Submit: submission("first")}, "")
	submitWhileBusy(t, b, 30)
	line := regexp.MustCompile(`msg="load of the process".* queued_most=(\d+) .*`)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, found := range line.FindAllStringSubmatch(out.String(), -1) {
			if n, err := strconv.Atoi(found[1]); err == nil && n >= 30 {
				for _, field := range []string{"submits", "submits_waited", "submits_waited_most", "period", "processor", "busy", "work", "work_took"} {
					assert.Check(t, regexp.MustCompile(" "+field+"=").MatchString(found[0]), "%s: %s", field, found[0])
				}
				return poll.Success()
			}
		}
		return poll.Continue("no line has 30 queued events: %s", out.String())
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// lockedBuffer is a log output that can be read while it is written to.
type lockedBuffer struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all.String()
}
