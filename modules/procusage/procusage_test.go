// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package procusage_test

import (
	"os"
	"testing"
	"time"

	"saddlevane/modules/procusage"

	"gotest.tools/v3/assert"
)

func TestUsageIsParsed(t *testing.T) {
	const stat = "7 (a b) S 1 7 7 0 -1 4194560 1 0 0 0 250 50 0 0 20 0"
	for _, c := range []struct {
		name, stat, status string
		want               procusage.Usage
	}{
		{"whole", stat, "Name:\ta\nVmHWM:\t    2048 kB\n", procusage.Usage{Processor: 3 * time.Second, PeakMemory: 2 << 20}},
		{"without memory", stat, "Name:\ta\nVmHWM:\n", procusage.Usage{Processor: 3 * time.Second}},
		{"cut short", "7 (a b) S 1 7", "", procusage.Usage{}},
		{"no numbers", "7 (a) S 1 7 7 0 -1 4194560 1 0 0 0 x y", "VmHWM: z kB", procusage.Usage{}},
		{"empty", "", "", procusage.Usage{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, procusage.Parse(c.stat, c.status), c.want)
		})
	}
}

func TestUsageOfThisProcess(t *testing.T) {
	assert.Assert(t, procusage.Read(os.Getpid()).PeakMemory > 0)
	assert.Equal(t, procusage.Read(-1), procusage.Usage{})
}

func TestOwnProcessorTimeGrowsWithWork(t *testing.T) {
	before := procusage.OwnProcessorTime()
	assert.Assert(t, before > 0)
	sum := 0
	for procusage.OwnProcessorTime() == before {
		sum++
	}
	assert.Assert(t, procusage.OwnProcessorTime() > before)
}
