// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package startlog_test

import (
	"encoding/json"
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/services/startlog"

	"gotest.tools/v3/assert"
)

func start(id job.ID, run int64, worker string) startlog.Start {
	return startlog.Start{Task: job.TaskID{StepID: job.StepID{Job: id}, Index: 1}, Run: run, Worker: worker, UnixMilli: 1000 + run}
}

func all(startlog.Start) bool { return true }

func TestStartsAreWrittenInSlotOrderAndRateLimited(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var b startlog.Buffer
	_, none := b.Take(now, all)
	assert.Equal(t, len(none), 0)
	b.Add(now, start("a", 1, "w"))
	assert.Check(t, !b.Due(now))
	assert.Check(t, b.Due(now.Add(startlog.FlushAfter)))
	slot, starts := b.Take(now, all)
	assert.Equal(t, slot, 0)
	assert.DeepEqual(t, starts, []startlog.Start{start("a", 1, "w")})
	b.Add(now, start("b", 1, "w"))
	_, none = b.Take(now.Add(startlog.MinInterval/2), all)
	assert.Equal(t, len(none), 0, "the last record is less than MinInterval old")
	b.Add(now, start("ended", 1, "w"))
	slot, starts = b.Take(now.Add(startlog.MinInterval), func(s startlog.Start) bool { return s.Task.Job != "ended" })
	assert.Equal(t, slot, 1)
	assert.DeepEqual(t, starts, []startlog.Start{start("b", 1, "w")})
	assert.Check(t, !b.Due(now.Add(time.Hour)))
}

func TestReadKeepsLastStartOfEachTask(t *testing.T) {
	record := func(starts ...startlog.Start) []byte {
		data, err := json.Marshal(starts)
		assert.NilError(t, err)
		return data
	}
	logged, errs := startlog.Read([][]byte{
		record(start("a", 7, "w2"), start("b", 3, "w1")), record(start("a", 5, "w1")), []byte(`{`), []byte(`[{"t":"a.0.0.1","n":9,"w":"","m":1}]`),
	})
	assert.Equal(t, len(errs), 2)
	assert.DeepEqual(t, logged.StartedOn(order.Incarnation{Name: "w1"}), []startlog.Start{start("b", 3, "w1")})
	assert.DeepEqual(t, logged.StartedOn(order.Incarnation{Name: "w2"}), []startlog.Start{start("a", 7, "w2")})
	assert.Equal(t, logged.WorkerCount(job.StepID{Job: "a"}, true), 1)
	logged.Forget(order.Incarnation{Name: "w2"})
	assert.Equal(t, len(logged.StartedOn(order.Incarnation{Name: "w2"})), 0)
}

func TestStartsAreGroupedByWorkerLife(t *testing.T) {
	first, later, before := start("a", 1, "w"), start("b", 2, "w"), start("c", 3, "w")
	first.Born, later.Born = 500, 400
	data, err := json.Marshal([]startlog.Start{first, later, before})
	assert.NilError(t, err)
	logged, errs := startlog.Read([][]byte{data})
	assert.Equal(t, len(errs), 0)
	incarnation := order.Incarnation{Name: "w", BornUnixMilli: 400}
	assert.DeepEqual(t, logged.StartedOn(incarnation), []startlog.Start{later, before})
	logged.Forget(incarnation)
	assert.DeepEqual(t, logged.StartedOn(order.Incarnation{Name: "w", BornUnixMilli: 500}), []startlog.Start{first})
}
