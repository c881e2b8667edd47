// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/modules/httpjson"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// job returns the command that shows one submitted job.
func (t *tool) job() *ffcli.Command {
	return t.command("job", "ID", "shows a submitted job: its state, and for each step why tasks wait",
		"job 5c0e7a21d94b36f8", func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("job: want the ID of a job")
			}
			a, err := getFirst[exchange.Answer](ctx, t.client, "/v1/jobs/"+url.PathEscape(args[0])+"/explain")
			if err != nil {
				return err
			}
			return t.print(a.Explanation, func() { t.printExplanation(a.Explanation) })
		})
}

// printExplanation prints the state of a job and, if it is unfinished, why the tasks of each
// step wait.
func (t *tool) printExplanation(x *job.Explanation) {
	if x == nil {
		return
	}
	if x.State.IsFinal() {
		fmt.Fprintf(t.out, "%s in queue %s is %s%s\n", x.ID, x.Queue, x.State, reasonSuffix(x.FailureReason))
		return
	}
	fmt.Fprintf(t.out, "%s in queue %s%s is %s, slack %v\n", x.ID, x.Queue, workspaceSuffix(x.Workspace), x.State, x.Slack.Duration())
	table := t.table("STEP", "TASKS", "DONE", "PLACED", "WAITING", "WHY")
	for _, s := range x.Steps {
		table.row(s.Step, s.Tasks, s.Done, s.Placed, s.Waiting, s.Reason)
	}
	table.flush()
}

// workspaceSuffix returns the words that name a job's workspace, or "" if it has none.
func workspaceSuffix(name string) string {
	if name == "" {
		return ""
	}
	return " of workspace " + name
}

// reasonSuffix returns reason preceded by a colon, or "" if it is empty.
func reasonSuffix(reason string) string {
	if reason == "" {
		return ""
	}
	return ": " + reason
}

// cell returns the command that shows the state of the cell as each daemon sees it.
func (t *tool) cell() *ffcli.Command {
	return t.command("cell", "", "shows which box holds the cell and its state as each process sees it",
		"cell -o json", func(ctx context.Context, _ []string) error {
			all, err := getAll[job.CellStatus](ctx, t.client, "/v1/cell")
			if printed := t.print(all, func() { t.printCells(all) }); printed != nil {
				return printed
			}
			return err
		})
}

// printCells prints one row per daemon, and the workspaces that each reports.
func (t *tool) printCells(all []daemonAnswer[job.CellStatus]) {
	table := t.table("BOX", "HOLDER", "CLAIM", "HOLDS", "LOG", "CONFIG", "OPEN STEPS", "WORKERS", "RELAYS", "USED", "CAPACITY")
	for _, a := range all {
		s := a.Answer
		log := "answers"
		if !s.LogAnswers {
			log = "silent"
		}
		table.row(s.Box, s.Holder, s.Claim, s.Holds, log, s.Config, s.OpenSteps, len(s.Workers), len(s.Relays), s.ProcessorsUsed, s.Processors)
	}
	table.flush()
	for _, a := range all {
		t.printWorkspaces(a.Answer)
	}
	for _, a := range all {
		t.printEvacuations(a.Answer)
	}
}

// printWorkspaces prints the share of each workspace, the resources that its tasks use, and its cap.
func (t *tool) printWorkspaces(s job.CellStatus) {
	if len(s.Workspaces) == 0 {
		return
	}
	table := t.table("WORKSPACE", "WEIGHT", "ENTITLED", "IN USE", "BORROWED", "USED", "CAP", "MEMORY", "CAP", "WAITING", "FOR ITS CAP", "REFUSED")
	for _, w := range s.Workspaces {
		table.row(w.Name, w.Weight, percent(w.Entitled), percent(w.InUse), percent(w.Borrowed),
			w.Used.Processors, w.Cap.Processors, w.Used.Memory, w.Cap.Memory, w.Waiting, w.Capped, w.Refused)
	}
	table.flush()
}

// percent returns a part of a whole in percent.
func percent(part float64) string { return fmt.Sprintf("%.1f%%", 100*part) }

// submit returns the command that submits a job.
func (t *tool) submit() *ffcli.Command {
	return t.command("submit", "FILE", "submits a job as JSON from a file, or - for standard input; the same ID again is the same job",
		"submit job.json", func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("submit: want a file, or - for standard input")
			}
			body, err := readInput(args[0])
			if err != nil {
				return usageError("submit: %v", err)
			}
			return t.sendJobRequest(ctx, http.MethodPost, "/v1/jobs", body)
		})
}

// cancel returns the command that cancels a job.
func (t *tool) cancel() *ffcli.Command {
	return t.command("cancel", "ID", "cancels a submitted job", "cancel 5c0e7a21d94b36f8",
		func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("cancel: want the ID of a job")
			}
			return t.sendJobRequest(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(args[0]), nil)
		})
}

// readInput reads the named file, or standard input if name is "-".
func readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// sendJobRequest sends a request to the first daemon and prints the response. Its error has the
// exit code exitUnknown if the request may have been carried out.
func (t *tool) sendJobRequest(ctx context.Context, method, path string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.client.addresses[0]+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := t.client.http.Do(req)
	if err != nil {
		return &codeError{exitUnknown, err}
	}
	answer, err := readBody(resp)
	if err != nil {
		return &codeError{exitUnknown, err}
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		_, err = t.out.Write(answer)
		return err
	case resp.StatusCode == http.StatusGatewayTimeout:
		return &codeError{exitUnknown, fmt.Errorf("%s", bytes.TrimSpace(answer))}
	case resp.StatusCode == http.StatusBadRequest:
		return usageError("%s", bytes.TrimSpace(answer))
	default:
		return &httpjson.StatusError{Status: resp.StatusCode, Body: string(bytes.TrimSpace(answer))}
	}
}
