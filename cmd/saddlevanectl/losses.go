// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"time"

	"saddlevane/modules/joblog"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// defaultLossInterval is the default length of the time span that one row of the losses by
// time covers.
const defaultLossInterval = 2 * time.Second

// losses returns the command that summarizes why jobs were late and calls were not served.
func (t *tool) losses() *ffcli.Command {
	var every *time.Duration
	c := t.command("losses", "[LOG FILE ...]", "summarizes what the daemons logged about late and failed jobs and calls not served",
		"losses -every 10s box-a.log box-b.log", func(_ context.Context, args []string) error {
			if *every <= 0 {
				return usageError("losses: -every: want a time above 0, got %v", *every)
			}
			l := joblog.NewLosses(*every)
			if err := readLogs(args, l.Read); err != nil {
				return usageError("losses: %v", err)
			}
			return t.printLosses(l)
		})
	every = c.FlagSet.Duration("every", defaultLossInterval, "time that one row of the losses by time covers")
	return c
}

// lossReport is the output in JSON and YAML.
type lossReport struct {
	Queues     []joblog.QueueLoss `json:"queues"`
	Workspaces []joblog.QueueLoss `json:"workspaces,omitempty"`
	Spans      []joblog.SpanLoss  `json:"spans"`
	Torn       int                `json:"torn_lines"`
}

// printLosses prints the losses by queue, by workspace if there are any, and by time.
func (t *tool) printLosses(l *joblog.Losses) error {
	report := lossReport{Queues: l.Queues(), Workspaces: l.Workspaces(), Spans: l.Spans(), Torn: l.TornLines}
	return t.print(report, func() {
		t.printLossTable("QUEUE", report.Queues, func(q joblog.QueueLoss) string { return q.Queue })
		if len(report.Workspaces) > 0 {
			t.printLossTable("WORKSPACE", report.Workspaces, func(q joblog.QueueLoss) string { return q.Workspace })
		}
		spans := t.table("FROM", "COUNT", "REASON")
		for _, s := range report.Spans {
			spans.row(s.Begin.UTC().Format(time.TimeOnly), s.Count, s.Reason)
		}
		spans.flush()
		if l.TornLines > 0 {
			fmt.Fprintf(t.out, "# %d lines were torn\n", l.TornLines)
		}
	})
}

// printLossTable prints one row per element of all, such as a queue, followed by the delays of its
// late jobs. The first column has the given title and holds what name returns.
func (t *tool) printLossTable(title string, all []joblog.QueueLoss, name func(joblog.QueueLoss) string) {
	table := t.table(title, "ENDED", "FAILED", "LATE", "DELAY", "LATE JOBS")
	for _, q := range all {
		table.row(name(q), q.Ended, q.Failed, q.Late, "", "")
		for _, d := range q.SortedDelays() {
			table.row("", "", "", "", d, fmt.Sprintf("%.1f", q.Delays[d]))
		}
	}
	table.flush()
}
