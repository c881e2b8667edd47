// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSlowWorkerGetsFewTasksAndIsRetried(t *testing.T) {
	w := newServingWorld(t, 21, 1, 4)
	countStarts := func(name string, jobs int) (slow, all int) {
		before := w.workers[0].startCount
		for i := range jobs {
			w.submit(oneStep(fmt.Sprintf("%s%d", name, i), "quick", 2, false))
			w.run(100 * time.Millisecond)
		}
		return w.workers[0].startCount - before, 2 * jobs
	}
	w.workers[0].slowdown = 6
	countStarts("warm", 60)
	slow, all := countStarts("slow", 60)
	assert.Check(t, slow < all/10, "%d of %d tasks were started on the slow worker", slow, all)

	w.workers[0].slowdown = 1
	w.run(11 * time.Second)
	slow, all = countStarts("usual", 100)
	assert.Check(t, slow > all/10, "%d of %d tasks were started on the worker that is no longer slow", slow, all)
	w.requireNoViolations()
}
