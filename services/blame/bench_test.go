// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package blame_test

import (
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/services/blame"
)

// BenchmarkRackCrash measures how long a holder takes to assess the crash of 48 workers with 40
// tasks each, under which no worker has crashed before.
func BenchmarkRackCrash(b *testing.B) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for b.Loop() {
		tr := blame.NewTracker()
		tr.ObserveWorkers(now, map[string]int{"r": 48})
		for worker := range 48 {
			var tasks []blame.RunningTask
			for i := range 40 {
				task := job.TaskID{StepID: job.StepID{Job: "j", Step: worker}, Index: i}
				tasks = append(tasks, blame.RunningTask{Task: task, Run: 1, Worked: time.Duration(i) * 100 * time.Millisecond})
			}
			tr.RecordCrash(now, blame.Crash{Incarnation: incarnation("w"), Rack: "r", At: now, TasksKnown: true, Tasks: tasks})
		}
	}
}
