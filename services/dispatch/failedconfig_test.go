// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"maps"
	"testing"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/services/dispatch"

	"gotest.tools/v3/assert"
)

// configWithAttempts returns a version of the configuration in which a task of queue "quick" may fail so often.
// Without is set if the queue is removed.
func configWithAttempts(version int64, attempts int, without bool) job.Config {
	c := config()
	c.Version = version
	c.Queues = maps.Clone(c.Queues)
	q := c.Queues["quick"]
	q.Attempts = attempts
	c.Queues["quick"] = q
	if without {
		delete(c.Queues, "quick")
	}
	return c
}

// read has the holder read a configuration.
func (c *deliveryCell) read(config job.Config) {
	c.perform(c.handle(exchange.ConfigRead{Config: config}))
}

// failRunsUntilFailed ends runs of the task of job j as failed until the job is shown as failed, and returns how many runs
// have failed under this call. before is called with the number of failed runs before each of them ends.
func (c *deliveryCell) failRunsUntilFailed(before func(failed int)) int {
	c.t.Helper()
	for failed := 0; failed < 9; failed++ {
		c.runUntil(10*time.Second, "the task runs", func() bool { return c.workerOf(firstTask) != nil })
		before(failed)
		_, run := c.endTask(firstTask, order.Failed)
		c.runUntil(10*time.Second, "the job fails or its task runs again", func() bool {
			if c.stateOf("j") == job.Failed {
				return true
			}
			if c.workerOf(firstTask) == nil {
				return false
			}
			_, next := c.runOf(firstTask)
			return next.Number > run.Number
		})
		if c.stateOf("j") == job.Failed {
			return failed + 1
		}
	}
	c.printEvents()
	c.t.Fatal("the job does not fail")
	return 0
}

// A job fails after as many failed runs of a task as the configuration in force says, or the one it was accepted under if
// its queue is gone. Only the end of a run fails a job, never a configuration by itself.
func TestNumberOfAttemptsIsThatInForce(t *testing.T) {
	for _, test := range []struct {
		name string
		// accepted is the number of attempts under which the job is accepted.
		accepted int
		// change is called with the number of failed runs, before each run ends as failed.
		change func(c *deliveryCell, failed int)
		want   int
	}{
		{"unchanged", 3, func(*deliveryCell, int) {}, 3},
		{"raised before any failure", 2, func(c *deliveryCell, _ int) { c.read(configWithAttempts(3, 4, false)) }, 4},
		{"raised after a failure", 2, func(c *deliveryCell, failed int) {
			if failed == 1 {
				c.read(configWithAttempts(3, 4, false))
			}
		}, 4},
		{"lowered before any failure", 4, func(c *deliveryCell, _ int) { c.read(configWithAttempts(3, 2, false)) }, 2},
		{"lowered below the failures so far", 4, func(c *deliveryCell, failed int) {
			if failed == 2 {
				c.read(configWithAttempts(3, 1, false))
				c.requireNotFailedDuring(time.Second, "no run has ended since")
			}
		}, 3},
		{"absent", 3, func(c *deliveryCell, _ int) { c.read(configWithAttempts(3, 0, false)) }, 1},
		{"negative", 3, func(c *deliveryCell, _ int) { c.read(configWithAttempts(3, -1, false)) }, 1},
		{"queue removed", 3, func(c *deliveryCell, _ int) { c.read(configWithAttempts(3, 0, true)) }, 3},
		{"queue removed and back with more", 3, func(c *deliveryCell, failed int) {
			c.read(configWithAttempts(3, 0, true))
			if failed == 1 {
				c.read(configWithAttempts(4, 5, false))
			}
		}, 5},
		{"queue removed, takeover", 3, func(c *deliveryCell, failed int) {
			c.read(configWithAttempts(3, 0, true))
			if failed == 1 {
				c.takeOver()
				c.read(configWithAttempts(3, 0, true))
			}
		}, 3},
		{"an older version is read again", 4, func(c *deliveryCell, _ int) { c.read(configWithAttempts(1, 1, false)) }, 4},
		{"takeover by a holder with the same version", 3, func(c *deliveryCell, failed int) {
			if failed == 1 {
				c.takeOver()
				c.read(configWithAttempts(2, 3, false))
			}
		}, 3},
		{"takeover by a holder that has read an older version with fewer", 4, func(c *deliveryCell, failed int) {
			if failed == 1 {
				// Version 1, with which the next holder begins, allows 2.
				c.takeOver()
			}
		}, 4},
		{"takeover by a holder that has read an older version with more", 1, func(c *deliveryCell, failed int) {
			if failed == 0 {
				c.takeOver()
			}
		}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newDeliveryCell(t, "v", "w")
			for _, w := range c.workers {
				w.runTime = time.Hour
			}
			c.read(configWithAttempts(2, test.accepted, false))
			c.submit("j")
			got := c.failRunsUntilFailed(func(failed int) { test.change(c, failed) })
			assert.Equal(t, got, test.want, "failed runs after which the job is shown as failed")
		})
	}
}

// A box that has read no configuration doesn't know how often a task may fail, and must not hold the cell.
func TestBoxWithoutConfigurationDoesNotClaimTheCell(t *testing.T) {
	d := &harness{
		t: t, now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
		core: dispatch.New(settings(), claim.Member{Box: "a", Incarnation: "a1", Address: "a"}),
	}
	claims := func(span time.Duration) bool {
		for end := d.now.Add(span); d.now.Before(end); {
			effects := d.advance(20 * time.Millisecond)
			if findAppend(effects, exchange.ForAnnounce) != nil {
				effects = append(effects, d.handle(exchange.AppendEnded{Purpose: exchange.ForAnnounce})...)
			}
			if findAppend(effects, exchange.ForClaim) != nil {
				return true
			}
		}
		return false
	}
	d.handle(exchange.ClaimsRead{First: true})
	assert.Check(t, !claims(20*time.Second))
	d.handle(exchange.ConfigRead{Config: config()})
	assert.Check(t, claims(20*time.Second))
}
