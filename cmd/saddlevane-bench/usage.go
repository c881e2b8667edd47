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

// processUsage is what a process has used so far.
type processUsage struct {
	// cpu is in seconds, memory the most resident so far in megabytes.
	cpu, memory float64
}

// ticksPerSecond is the kernel's unit of processor time on Linux.
const ticksPerSecond = 100

// entryUsage reads what each entry box has used.
func entryUsage(c *cell.Cell) map[string]processUsage {
	all := map[string]processUsage{}
	for _, e := range c.Entries() {
		all[e.Name] = readProcessUsage(e.Process().PID())
	}
	return all
}

func readProcessUsage(pid int) processUsage {
	var u processUsage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u
	}
	// The name, in parentheses, may hold spaces.
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

// loadCost is what a load cost the entry boxes.
type loadCost struct {
	cpu, memory float64
	duplicates  int
}

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

// countDuplicates counts runs beyond the first of requests that may not be repeated.
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
