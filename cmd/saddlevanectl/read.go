// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strings"

	"saddlevane/models/status"
	"saddlevane/modules/version"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// get returns the command that shows the published files.
func (t *tool) get() *ffcli.Command {
	return t.command("get", "[FILE NAME]", "shows which revision of each file is in force on each process, or one file as published",
		"get jordan", func(ctx context.Context, args []string) error {
			if len(args) > 1 {
				return usageError("get: want at most one file name")
			}
			if len(args) == 1 {
				return t.getFile(ctx, args[0])
			}
			all, err := getAll[status.Process](ctx, t.client, "/v1/status")
			return errors.Join(t.printRevisions(all), err)
		})
}

// getFile prints the revision in force of one file, as published.
func (t *tool) getFile(ctx context.Context, name string) error {
	f, err := getFirst[status.File](ctx, t.client, "/v1/files/"+url.PathEscape(name))
	if err != nil {
		return err
	}
	return t.print(f, func() {
		fmt.Fprintf(t.out, "# revision %d\n%s", f.Revision, f.Data)
	})
}

// fileRevision is the revision of a file on one process.
type fileRevision struct {
	Box      string `json:"box"`
	File     string `json:"file"`
	Revision int64  `json:"revision"`
	InForce  bool   `json:"in_force"`
}

// printRevisions prints one row per process and file.
func (t *tool) printRevisions(all []daemonAnswer[status.Process]) error {
	rows := []fileRevision{}
	for _, a := range all {
		for _, f := range a.Answer.Files {
			rows = append(rows, fileRevision{a.Answer.Box, f.Name, f.Revision, a.Answer.InForce})
		}
	}
	return t.print(rows, func() {
		table := t.table("BOX", "FILE", "REVISION", "IN FORCE")
		for _, r := range rows {
			table.row(r.Box, r.File, r.Revision, r.InForce)
		}
		table.flush()
	})
}

// status returns the command that summarizes the state of each process.
func (t *tool) status() *ffcli.Command {
	return t.command("status", "", "shows a summary of the state of each process",
		"status -o json", func(ctx context.Context, _ []string) error {
			all, err := getAll[status.Process](ctx, t.client, "/v1/status")
			return errors.Join(t.print(all, func() { t.printStatus(all) }), err)
		})
}

// printStatus prints one row per process and shard.
func (t *tool) printStatus(all []daemonAnswer[status.Process]) {
	table := t.table("BOX", "DOMAIN", "IN FORCE", "LIVE", "LOG NEXT", "LOG", "SHARD", "PHASE", "HOLDER", "HELD", "RUNNING", "WAITING", "PACKED")
	for _, a := range all {
		p := a.Answer
		log := "ok"
		if p.Log.ReadFailing != "" || p.Log.AppendFailing != "" {
			log = "failing"
		}
		for _, s := range shardsOrPlaceholder(p) {
			table.row(p.Box, p.Domain, p.InForce, strings.Join(p.Live, ","), p.Log.Next, log, s.ID, s.Phase, s.Holder,
				fmt.Sprintf("%d/%d", s.Held, s.Workers), s.Running, s.Waiting, fmt.Sprintf("%.0f%%", 100*s.Packed))
		}
	}
	table.flush()
}

// shardsOrPlaceholder returns the shards of p, or one placeholder so that a process without
// shards still has a row.
func shardsOrPlaceholder(p status.Process) []status.Shard {
	if len(p.Shards) == 0 {
		return []status.Shard{{ID: "-", Phase: "-"}}
	}
	return p.Shards
}

// queue returns the command that shows the work of all processes.
func (t *tool) queue() *ffcli.Command {
	return t.command("queue", "", "shows what waits, since when and why",
		"queue", func(ctx context.Context, _ []string) error {
			all, err := getAll[[]status.Work](ctx, t.client, "/v1/queue")
			rows := []status.Work{}
			for _, a := range all {
				rows = append(rows, a.Answer...)
			}
			return errors.Join(t.print(rows, func() { t.printQueue(rows) }), err)
		})
}

// printQueue prints one row per service, job or gang.
func (t *tool) printQueue(rows []status.Work) {
	table := t.table("OBJECT", "KIND", "TEAM", "PRIORITY", "SHARD", "TASKS", "RUNNING", "DONE", "FAILED", "UNKNOWN", "WAITING", "SINCE", "WHY")
	for _, w := range rows {
		since := "-"
		if w.Since != nil {
			since = w.Since.Format("15:04:05")
		}
		table.row(w.Object, w.Kind, w.Team, w.Priority, w.Shard, w.Tasks, w.Running, w.Done, w.Failed, w.Unknown, w.Waiting, since, w.Reason)
	}
	table.flush()
}

// explain returns the command that explains the state of a task.
func (t *tool) explain() *ffcli.Command {
	return t.command("explain", "TASK", "explains the state of a task in one sentence",
		"explain renders/3", func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("explain: want one task, such as renders/3")
			}
			e, err := getFirst[status.Explanation](ctx, t.client, "/v1/explain?task="+url.QueryEscape(args[0]))
			if err != nil {
				return err
			}
			return t.print(e, func() { fmt.Fprintf(t.out, "%s is %s. %s\n", e.Task, e.State, e.Why) })
		})
}

// dump returns the command that prints the whole state of each process. It has no table format, so
// YAML is its default.
func (t *tool) dump() *ffcli.Command {
	return t.command("dump", "", "prints the whole state of each process, as JSON or YAML",
		"dump -address 127.0.0.1:8081", func(ctx context.Context, _ []string) error {
			all, err := getAll[status.Dump](ctx, t.client, "/v1/dump")
			if t.format == formatTable {
				t.format = formatYAML
			}
			return errors.Join(t.print(all, func() {}), err)
		})
}

// version returns the command that prints the tool's version.
func (t *tool) version() *ffcli.Command {
	return t.command("version", "", "prints the tool's version",
		"version", func(context.Context, []string) error {
			v := version.Current()
			return t.print(v, func() { fmt.Fprintln(t.out, "saddlevanectl", v.Number, v.Go) })
		})
}
