// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"

	"saddlevane/tests/cell"
)

// processUsage is the resource usage of a process since its start.
type processUsage struct {
	// cpu is the processor time in seconds, memory the peak resident memory in MiB.
	cpu, memory float64
}

// ticksPerSecond is the number of clock ticks per second in which Linux reports processor time.
const ticksPerSecond = 100

// entryUsage returns the usage of each entry box's process, by box name.
func entryUsage(c *cell.Cell) map[string]processUsage {
	all := map[string]processUsage{}
	for _, e := range c.Entries() {
		all[e.Name] = readProcessUsage(e.Process().PID())
	}
	return all
}

// readProcessUsage reads the usage of a process from /proc. It is zero if the process is gone.
func readProcessUsage(pid int) processUsage {
	var u processUsage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u
	}
	// The process name, in parentheses, may contain spaces.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12
	for _, i := range []int{user, system} {
		n, _ := strconv.ParseFloat(fields[i], 64)
		u.cpu += n / ticksPerSecond
	}
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(status), "\n") {
		if kb, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, _ := strconv.ParseFloat(strings.Fields(kb)[0], 64)
			u.memory = n / 1024
		}
	}
	return u
}

// loadCost is the cost of one load to the entry boxes: processor seconds per 1,000 requests, the
// peak memory of a box in MiB, and the number of duplicate runs.
type loadCost struct {
	cpu, memory float64
	duplicates  int
}

// newLoadCost returns the cost of the load that ran between two readings of the usage.
func newLoadCost(before, after map[string]processUsage, l *loadGenerator) loadCost {
	var c loadCost
	for name, u := range after {
		c.cpu += u.cpu - before[name].cpu
		c.memory = max(c.memory, u.memory)
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
