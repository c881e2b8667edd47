// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/stream"

	"gotest.tools/v3/assert"
)

// The log rejects the append with the end of a task because it does not have an earlier one. The end
// must not be acknowledged, and a box that reads the log again has to take over.
func TestEndWhoseAppendIsOutOfSequenceIsNotAcknowledged(t *testing.T) {
	d, renewals := newHolder(t, workerEntry("w", 1000))
	start := d.startOneTask()
	d.startSucceeds(start)
	effects := d.handle(doneAnswer(renewals["w"], start.Order.Run))
	effects = append(effects, d.advance(20*time.Millisecond)...)
	sent := findAppend(effects, exchange.ForJournal)
	assert.Assert(t, sent != nil)
	effects = d.handle(exchange.AppendEnded{Purpose: exchange.ForJournal, Number: sent.Number, Err: stream.ErrOutOfSequence})
	effects = append(effects, d.advance(20*time.Millisecond)...)
	for _, r := range effectsOf[exchange.Renew](effects) {
		assert.Equal(t, r.Order.Acknowledged, int64(0))
	}
	assert.Check(t, !d.core.IsServing(d.now), "only the log shows what was appended")
}

// A repeat of an append whose first attempt was done is a success.
func TestEndWhoseAppendIsADuplicateIsAcknowledged(t *testing.T) {
	d, renewals := newHolder(t, workerEntry("w", 1000))
	start := d.startOneTask()
	d.startSucceeds(start)
	effects := d.handle(doneAnswer(renewals["w"], start.Order.Run))
	effects = append(effects, d.advance(20*time.Millisecond)...)
	sent := findAppend(effects, exchange.ForJournal)
	assert.Assert(t, sent != nil)
	d.handle(exchange.AppendEnded{Purpose: exchange.ForJournal, Number: sent.Number, Err: stream.ErrDuplicateSequence})
	acknowledged := int64(0)
	for _, r := range effectsOf[exchange.Renew](d.advance(500 * time.Millisecond)) {
		acknowledged = max(acknowledged, r.Order.Acknowledged)
	}
	assert.Equal(t, acknowledged, int64(1))
	assert.Check(t, d.core.IsServing(d.now))
}
