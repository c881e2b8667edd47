// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"saddlevane/models/resource"
	"saddlevane/tests/cell"
)

// takeoverRuns is the number of takeovers that are measured for each kind of stop.
const takeoverRuns = 5

// takeover measures, with real processes and default settings, how long a shard is without an
// active holder after a crash and after a planned stop, and how many appends to the log each
// takeover takes.
func takeover(ctx context.Context, out io.Writer, bin string) error {
	fmt.Fprintf(out, "Takeover of a shard of 40 workers, real processes, default settings, %d times each:\n\n", takeoverRuns)
	fmt.Fprintln(out, "| end of the holder | until active again: least, most | appends |\n| --- | --- | --- |")
	for _, planned := range []bool{false, true} {
		if err := measureTakeover(ctx, out, bin, planned); err != nil {
			return err
		}
	}
	return nil
}

// measureTakeover measures takeoverRuns takeovers in a new cell. The holder is stopped if planned,
// and else killed.
func measureTakeover(ctx context.Context, out io.Writer, bin string, planned bool) error {
	dir, err := os.MkdirTemp("", "saddlevane-bench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	c, err := cell.Start(ctx, cell.Options{Binaries: cell.BinariesIn(bin), Dir: dir, Domains: []cell.Domain{{
		Name: "a", Entries: 2, Racks: 5, WorkersPerRack: 8, Targets: 1, Slots: 8,
		Capacity: resource.Vector{Processors: 60 * resource.Processor, Memory: 260 * resource.GiB},
	}}})
	if err != nil {
		return err
	}
	defer c.Close()
	if err := publishCellFile(ctx, c, dir); err != nil {
		return err
	}
	shortest, longest, appends := time.Hour, time.Duration(0), int64(0)
	for range takeoverRuns {
		took, n, err := runTakeover(ctx, c, planned)
		if err != nil {
			return err
		}
		shortest, longest, appends = min(shortest, took), max(longest, took), appends+n
	}
	name := "killed"
	if planned {
		name = "stopped as planned"
	}
	fmt.Fprintf(out, "| %s | %s, %s | %.1f |\n", name, shortest.Round(10*time.Millisecond), longest.Round(10*time.Millisecond), float64(appends)/takeoverRuns)
	return nil
}

// runTakeover ends the current holder and returns the time until the other box holds the shard,
// and the number of appends to the log meanwhile. It restarts the former holder.
func runTakeover(ctx context.Context, c *cell.Cell, planned bool) (time.Duration, int64, error) {
	holder, other, err := awaitHolder(ctx, c)
	if err != nil {
		return 0, 0, err
	}
	before, err := c.CountLog(ctx)
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	if planned {
		go func() { _ = holder.Process().Stop(time.Minute) }()
	} else {
		holder.Process().Kill()
	}
	if err := cell.WaitFor(ctx, "the other box holds the shard", func() bool { return isActive(ctx, other) }); err != nil {
		return 0, 0, err
	}
	took := time.Since(start)
	after, err := c.CountLog(ctx)
	if err != nil {
		return 0, 0, err
	}
	<-holder.Process().Done()
	if err := c.StartEntry(holder); err != nil {
		return 0, 0, err
	}
	return took, after.Next - before.Next, c.WaitReady(ctx)
}

// awaitHolder waits until a box actively holds the shard and returns it and the other box.
func awaitHolder(ctx context.Context, c *cell.Cell) (holder, other *cell.Entry, err error) {
	err = cell.WaitFor(ctx, "the shard has a holder", func() bool {
		for i, e := range c.Entries() {
			if isActive(ctx, e) {
				holder, other = e, c.Entries()[1-i]
				return true
			}
		}
		return false
	})
	return holder, other, err
}

// isActive reports whether e actively holds its only shard.
func isActive(ctx context.Context, e *cell.Entry) bool {
	s, err := e.Status(ctx)
	return err == nil && len(s.Shards) == 1 && s.Shards[0].Phase == "active"
}
