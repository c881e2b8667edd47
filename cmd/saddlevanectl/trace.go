// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"saddlevane/modules/joblog"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// trace returns the command that prints the log history of one job.
func (t *tool) trace() *ffcli.Command {
	return t.command("trace", "ID [LOG FILE ...]", "prints what the daemons logged about a job in time order, with gaps marked",
		"trace 5c0e7a21d94b36f8 box-a.log box-b.log", func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usageError("trace: want the ID of a job")
			}
			var h joblog.History
			if err := readLogs(args[1:], func(r io.Reader) error { return h.Read(r, args[0]) }); err != nil {
				return usageError("trace: %v", err)
			}
			h.Sort()
			t.printHistory(&h)
			if len(h.Lines) == 0 {
				return fmt.Errorf("no log line mentions job %s", args[0])
			}
			return nil
		})
}

// readLogs calls read with each of the named files, or with standard input if there are none.
func readLogs(files []string, read func(io.Reader) error) error {
	if len(files) == 0 {
		return read(os.Stdin)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		err = read(f)
		_ = f.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// printHistory prints the log lines of a job in order. A line that reports omitted
// lines is marked with "!".
func (t *tool) printHistory(h *joblog.History) {
	for _, l := range h.Lines {
		mark := " "
		if l.Gap {
			mark = "!"
		}
		fmt.Fprintf(t.out, "%s %s %-20s %s", l.At.Format(time.RFC3339Nano), mark, l.Box, l.Message)
		for _, f := range l.Fields {
			fmt.Fprint(t.out, " ", f)
		}
		fmt.Fprintln(t.out)
	}
	if h.TornLines > 0 || h.ForeignLines > 0 {
		fmt.Fprintf(t.out, "# %d lines were torn and %d are of something else\n", h.TornLines, h.ForeignLines)
	}
}
