// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"saddlevane/tests/cell"

	"gotest.tools/v3/assert"
)

const stopTimeout = 30 * time.Second

func TestConcurrentPublishesHaveOneWinner(t *testing.T) {
	f := newFixture(t, nil, domain("a"), domain("b"))
	var wg sync.WaitGroup
	codes := make([]int, 8)
	for i := range codes {
		path := f.writeFile(fmt.Sprint("race", i), fmt.Sprintf("name: race\nteams:\n  - {name: team%d, quota: {processors: 1}}\n", i))
		wg.Go(func() {
			_, codes[i] = f.RunToolAt(f.ctx, f.Entries()[i%4].Operators, "publish", "-replaces", "0", path)
		})
	}
	wg.Wait()
	won := 0
	for _, code := range codes {
		assert.Check(t, code == 0 || code == 1, "exit code %d", code)
		if code == 0 {
			won++
		}
	}
	assert.Equal(t, won, 1)
	f.waitInForce("race", f.Entries()...)
}

func TestRetriedPublishIsAppliedOnce(t *testing.T) {
	f := newFixture(t, nil, domain("a"))
	assert.NilError(t, cell.SetFaults(f.ctx, f.LogAddress, cell.Faults{LoseAnswers: true}))
	path := f.writeFile("lost", "name: lost\n")
	_, code := f.RunTool(f.ctx, "publish", "-within", "2s", "-id", "the-one", "-replaces", "0", path)
	assert.Equal(t, code, 3)
	assert.NilError(t, cell.SetFaults(f.ctx, f.LogAddress, cell.Faults{}))
	out, code := f.RunTool(f.ctx, "publish", "-id", "the-one", "-replaces", "0", path)
	assert.Equal(t, code, 0, out)
	f.waitInForce("lost", f.Entries()...)
	revision := f.revision("lost")
	out, code = f.RunTool(f.ctx, "publish", "-id", "the-one", "-replaces", "0", path)
	assert.Equal(t, code, 0, out)
	assert.Equal(t, f.revision("lost"), revision, "it was applied twice")
}

func TestFilesSurviveLogRetention(t *testing.T) {
	f := newFixture(t, func(o *cell.Options) {
		o.Retention = 6 * time.Second
		o.Settings["platform"] = append(o.Settings["platform"], "retention: 6s")
	}, domain("a"))
	f.publish("kept", "0", "name: kept\n")
	f.waitInForce("kept", f.Entries()...)
	revision := f.revision("kept")
	f.waitFor("the log has deleted the record", func() bool {
		n, err := f.CountLog(f.ctx)
		assert.NilError(t, err)
		return n.First > revision
	})
	// All boxes restart at once, so that only the log still has the file.
	for _, e := range f.Entries() {
		e.Process().Kill()
	}
	for _, e := range f.Entries() {
		assert.NilError(t, f.StartEntry(e))
	}
	assert.NilError(t, f.WaitReady(f.ctx))
	for _, e := range f.Entries() {
		assert.Equal(t, revisionOn(f.ctx, e, "kept"), revision)
	}
	f.republish("kept", "name: kept\nteams:\n  - {name: more, quota: {processors: 1}}\n")
	f.waitInForce("kept", f.Entries()...)
}

func TestPartitionedStartNeverUsesStaleFiles(t *testing.T) {
	f := newFixture(t, nil, domain("a"))
	f.publish("x", "0", "name: x\n")
	f.waitInForce("x", f.Entries()...)
	first, second := f.Entries()[0], f.Entries()[1]
	first.Process().Kill()
	f.waitFor("the new revision is in force on the other box", func() bool {
		out, code := f.RunToolAt(f.ctx, second.Operators, "publish", "-replaces", fmt.Sprint(revisionOn(f.ctx, second, "x")), f.writeFile("x", "name: x\nteams:\n  - {name: new, quota: {processors: 1}}\n"))
		return code == 0 && strings.Contains(out, "accepted")
	})
	newest := revisionOn(f.ctx, second, "x")
	// A box that can reach neither the log nor its peer has no files and reports that.
	assert.NilError(t, f.proxies.Cut("log-a", cell.Requests, cell.Answers))
	assert.NilError(t, f.proxies.Cut(second.Name, cell.Requests, cell.Answers))
	assert.NilError(t, f.proxies.Cut(first.Name, cell.Requests, cell.Answers))
	assert.NilError(t, f.StartEntry(first))
	f.waitFor("the box responds", func() bool { _, err := first.Status(f.ctx); return err == nil })
	s, err := first.Status(f.ctx)
	assert.NilError(t, err)
	assert.Check(t, !s.InForce)
	assert.Check(t, !first.Ready(f.ctx))
	// Once it reaches its peer, it gets the newest revision.
	assert.NilError(t, f.proxies.Heal(second.Name))
	assert.NilError(t, f.proxies.Heal(first.Name))
	f.waitFor("the box is ready", func() bool { return first.Ready(f.ctx) })
	assert.Equal(t, revisionOn(f.ctx, first, "x"), newest)
}
