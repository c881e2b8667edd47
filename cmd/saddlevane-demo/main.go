// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Saddlevane-demo starts a small cell of real processes, publishes files, sends callers' requests,
// submits a job, and checks the results. It exits with 0 only if all checks pass.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"saddlevane/models/resource"
	"saddlevane/tests/cell"
)

// demoTimeout bounds the whole demo.
const demoTimeout = 90 * time.Second

func main() {
	bin := flag.String("bin", "bin", "directory of the binaries")
	flag.Parse()
	if err := run(*bin); err != nil {
		fmt.Fprintln(os.Stderr, "demo: FAILED:", err)
		os.Exit(1)
	}
	fmt.Println("\ndemo: all checks passed")
}

// run runs both parts of the demo with the binaries in bin.
func run(bin string) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "saddlevane-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	c, err := cell.Start(ctx, options(bin, dir))
	if err != nil {
		return err
	}
	defer c.Close()
	d := &demo{ctx: ctx, cell: c, dir: dir}
	return errors.Join(d.runSteps(), runJobsDemo(ctx, bin, dir))
}

// options returns the options of the cell: three domains, each with two entry boxes, four workers and
// two targets.
func options(bin, dir string) cell.Options {
	capacity := resource.Vector{Processors: 8 * resource.Processor, Memory: 16 * resource.GiB}
	o := cell.Options{Binaries: cell.BinariesIn(bin), Dir: dir, Settings: cell.QuickSettings()}
	for _, name := range []string{"a", "b", "c"} {
		o.Domains = append(o.Domains, cell.Domain{
			Name: name, Entries: 2, Racks: 2, WorkersPerRack: 2, Capacity: capacity, Targets: 2, Slots: 8,
		})
	}
	return o
}

// demo holds the running cell and the directory for files.
type demo struct {
	ctx  context.Context
	cell *cell.Cell
	dir  string
}

// runSteps runs the steps in order until one fails.
func (d *demo) runSteps() error {
	fmt.Println("== 6 entry boxes in 3 failure domains, 12 workers, 6 targets, a log and a list of boxes are running")
	for _, step := range []func() error{
		d.publishCell, d.publishWork, d.awaitWork, d.publishTooLarge, d.sendRequests, d.showStatus,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// writeFile writes text to a file in the demo's directory and returns its path.
func (d *demo) writeFile(name, text string) (string, error) {
	path := filepath.Join(d.dir, name)
	return path, os.WriteFile(path, []byte(text), 0o644)
}
