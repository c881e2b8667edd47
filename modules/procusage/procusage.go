// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package procusage reads the resource usage of processes, that of other processes from Linux' /proc.
package procusage

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Usage is the resource usage of a process since its start.
type Usage struct {
	// Processor is the processor time in user and system mode.
	Processor time.Duration
	// PeakMemory is the maximum of the resident memory, in bytes.
	PeakMemory int64
}

// tick is the unit in which Linux reports processor time.
const tick = 10 * time.Millisecond

// Read returns the usage of a process. It is zero if the process is gone.
func Read(pid int) Usage {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}
	}
	// The process may end before this read. Its memory is then 0.
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	return Parse(string(stat), string(status))
}

// OwnProcessorTime returns the processor time of this process in user and system mode. It is more
// precise than Read.
func OwnProcessorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		// The call fails only for invalid arguments.
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Parse returns the usage that the files stat and status of a process show. Fields that are missing or
// are no numbers count as 0.
func Parse(stat, status string) Usage {
	var u Usage
	// The process name, in parentheses, may contain spaces.
	_, rest, _ := strings.Cut(stat, ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12
	u.Processor = time.Duration(number(fields, user)+number(fields, system)) * tick
	for line := range strings.Lines(status) {
		if kb, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			u.PeakMemory = number(strings.Fields(kb), 0) << 10
		}
	}
	return u
}

// number returns the number in a field, or 0 if there is none.
func number(fields []string, i int) int64 {
	if i >= len(fields) {
		return 0
	}
	n, err := strconv.ParseInt(fields[i], 10, 64)
	if err != nil {
		return 0
	}
	return n
}
