// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"

	"saddlevane/models/resource"
	"saddlevane/modules/procusage"
	"saddlevane/tests/cell"
)

// entryUsage returns the usage of each entry box's process, by box name.
func entryUsage(c *cell.Cell) map[string]procusage.Usage {
	all := map[string]procusage.Usage{}
	for _, e := range c.Entries() {
		all[e.Name] = procusage.Read(e.Process().PID())
	}
	return all
}

// loadCost is the cost of one load to the entry boxes: processor seconds per 1,000 requests, the
// peak memory of a box in MiB, and the number of duplicate runs.
type loadCost struct {
	cpu, memory float64
	duplicates  int
}

// newLoadCost returns the cost of the load that ran between two readings of the usage.
func newLoadCost(before, after map[string]procusage.Usage, l *loadGenerator) loadCost {
	var c loadCost
	for name, u := range after {
		c.cpu += u.Processor.Seconds() - before[name].Processor.Seconds()
		c.memory = max(c.memory, float64(u.PeakMemory)/float64(resource.MiB))
	}
	c.cpu = c.cpu / float64(l.sent) * 1000
	c.duplicates = countDuplicates(l)
	return c
}

// countDuplicates returns the number of runs beyond the first of requests that may not be repeated,
// or -1 if the targets' counts cannot be read.
func countDuplicates(l *loadGenerator) int {
	all, err := l.cell.TargetStats(context.Background())
	if err != nil {
		return -1
	}
	sum := map[string]int{}
	for _, r := range all {
		for nonce, n := range r.Runs {
			sum[nonce] += n
		}
	}
	n := 0
	for nonce := range l.keyed {
		n += max(sum[nonce]-1, 0)
	}
	return n
}
