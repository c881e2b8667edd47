// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"net/http"
	"strings"

	"saddlevane/models/request"
	"saddlevane/models/verdict"
	"saddlevane/tests/cell"
)

// workFile is a file with objects of each kind. The job backlog needs more capacity than the cell
// has, so some of its tasks wait.
const workFile = `name: work
services:
  - name: portal
    team: archive
    priority: urgent
    count: 3
    resources: {processors: 1, memory: 1GiB}
    command: [serve]
jobs:
  - name: renders
    team: archive
    priority: batch
    count: 60
    resources: {processors: 2, memory: 2GiB}
    command: [sleep, 300ms]
    repeatable: true
    expected: 300ms
  - name: extracts
    team: archive
    count: 12
    resources: {processors: 1, memory: 1GiB}
    command: [sleep, 200ms]
    repeatable: false
    expected: 200ms
  - name: backlog
    team: archive
    priority: batch
    count: 40
    resources: {processors: 6, memory: 12GiB}
    command: [sleep, 10m]
    repeatable: true
gangs:
  - name: quarter-close
    team: archive
    priority: urgent
    count: 6
    resources: {processors: 2, memory: 2GiB}
    command: [sleep, 400ms]
    repeatable: true
`

// tooLargeFile is a file that must be refused: no worker is large enough for its job.
const tooLargeFile = `name: wrong
jobs:
  - name: giant
    team: archive
    count: 1
    resources: {processors: 64, memory: 1GiB}
    command: [sleep, 1s]
    repeatable: true
`

// publishCell publishes the cell's file and waits until all entry boxes have it.
func (d *demo) publishCell() error {
	if err := d.cell.WaitReady(d.ctx); err != nil {
		return err
	}
	if err := d.publish("cell.yaml", d.cell.CellFile("cell")); err != nil {
		return err
	}
	return cell.WaitFor(d.ctx, "the cell's file is in force everywhere", func() bool {
		for _, e := range d.cell.Entries() {
			if s, err := e.Status(d.ctx); err != nil || len(s.Files) != 1 {
				return false
			}
		}
		return true
	})
}

// publishWork publishes workFile.
func (d *demo) publishWork() error { return d.publish("work.yaml", workFile) }

// publish publishes a new file with the given text.
func (d *demo) publish(name, text string) error {
	path, err := d.writeFile(name, text)
	if err != nil {
		return err
	}
	out, code := d.cell.RunTool(d.ctx, "publish", "-replaces", "0", path)
	fmt.Printf("\n$ saddlevanectl publish -replaces 0 %s\n%s", name, out)
	if code != 0 {
		return fmt.Errorf("publish %s: exit code %d", name, code)
	}
	return nil
}

// awaitWork waits until the published work runs or is done, prints where tasks run, and checks that no
// task ran twice at once, beyond a worker's size, or again although it may not be repeated.
func (d *demo) awaitWork() error {
	err := cell.WaitFor(d.ctx, "the service runs and the jobs and the gang are done", func() bool {
		w := d.cell.Work(d.ctx)
		return w["portal"].Running == 3 && w["renders"].Done == 60 && w["extracts"].Done == 12 &&
			w["quarter-close"].Done == 6 && w["backlog"].Running > 0 && w["backlog"].Waiting > 0
	})
	out, _ := d.cell.RunTool(d.ctx, "queue")
	fmt.Printf("\n$ saddlevanectl queue\n%s", out)
	if err != nil {
		return err
	}
	fmt.Println("\nwhere tasks run:")
	for _, e := range d.cell.Entries() {
		places, err := e.Places(d.ctx)
		if err != nil {
			return err
		}
		for _, p := range places {
			fmt.Printf("  %s on %s\n", p.Task, p.Worker)
		}
	}
	h, err := d.cell.History(d.ctx)
	if err != nil {
		return err
	}
	if overlaps := h.Overlaps(); len(overlaps) > 0 || h.ExcessStarts > 0 {
		return fmt.Errorf("tasks in two places: %v; starts beyond a worker's size: %d", overlaps, h.ExcessStarts)
	}
	for key, n := range h.Starts() {
		if key.Object.Name == "extracts" && n > 1 {
			return fmt.Errorf("%s may not be repeated and was started %d times", key, n)
		}
	}
	fmt.Printf("\n%d task starts seen by the workers; none in two places, none beyond a worker's size\n", len(h.Spans))
	return nil
}

// publishTooLarge checks that tooLargeFile is refused.
func (d *demo) publishTooLarge() error {
	path, err := d.writeFile("wrong.yaml", tooLargeFile)
	if err != nil {
		return err
	}
	out, code := d.cell.RunTool(d.ctx, "publish", "-replaces", "0", path)
	fmt.Printf("\n$ saddlevanectl publish -replaces 0 wrong.yaml\n%s", out)
	if code != 1 {
		return fmt.Errorf("publishing a job that can never run: exit code %d, want 1", code)
	}
	return nil
}

// requestCase is a request and the expected response.
type requestCase struct {
	path, key, nonce, body string
	status                 int
	verdict                verdict.Verdict
}

// sendRequests sends requests to all entry boxes and checks the responses.
func (d *demo) sendRequests() error {
	entries := d.cell.Entries()
	fmt.Println("\ncallers ask entry boxes:")
	for i := range 12 {
		body := fmt.Sprintf("page %d", i)
		a := requestCase{path: "runners/preview?ms=5", nonce: fmt.Sprint("p", i), body: body, status: 200, verdict: verdict.Ran}
		if err := d.sendRequest(entries[i%len(entries)], a); err != nil {
			return err
		}
	}
	return d.sendKeyedRequest(entries[0], entries[1])
}

// sendKeyedRequest sends a request that may not be repeated to two boxes with the same key, and
// checks that it ran only once. Without a key, the request must be refused and a key issued.
func (d *demo) sendKeyedRequest(first, second *cell.Entry) error {
	resp, _, err := cell.SendRequest(d.ctx, http.DefaultClient, first, "runners/extract", "", "x", "filing")
	if err != nil {
		return err
	}
	key := resp.Header.Get(request.HeaderKey)
	if resp.StatusCode != http.StatusPreconditionRequired || key == "" {
		return fmt.Errorf("extract without a key: status %d, key %q", resp.StatusCode, key)
	}
	fmt.Printf("  %s extract without a key: %d, not run, a key is given\n", first.Name, resp.StatusCode)
	for _, e := range []*cell.Entry{first, second} {
		a := requestCase{path: "runners/extract?ms=5", key: key, nonce: "x", body: "filing", status: 200, verdict: verdict.Ran}
		if err := d.sendRequest(e, a); err != nil {
			return err
		}
	}
	runs, err := d.cell.TargetStats(d.ctx)
	if err != nil {
		return err
	}
	total := 0
	for _, r := range runs {
		total += r.Runs["x"]
	}
	if total != 1 {
		return fmt.Errorf("the extract ran %d times, want once", total)
	}
	fmt.Println("  the extract was sent to two boxes and ran once")
	return nil
}

// sendRequest sends one request to e and checks the response.
func (d *demo) sendRequest(e *cell.Entry, a requestCase) error {
	resp, body, err := cell.SendRequest(d.ctx, http.DefaultClient, e, a.path, a.key, a.nonce, a.body)
	if err != nil {
		return err
	}
	got := verdict.Verdict(resp.Header.Get(request.HeaderVerdict))
	fmt.Printf("  %s %s %q: %d, %s, by %s\n", e.Name, strings.SplitN(a.path, "?", 2)[0], a.body, resp.StatusCode, got, resp.Header.Get(request.HeaderTarget))
	if resp.StatusCode != a.status || got != a.verdict || body != a.body {
		return fmt.Errorf("%s %s: status %d, verdict %q, body %q", e.Name, a.path, resp.StatusCode, got, body)
	}
	return nil
}

// showStatus prints the output of commands that show the state of the cell.
func (d *demo) showStatus() error {
	for _, args := range [][]string{{"status"}, {"get"}, {"explain", "portal/0"}, {"explain", "backlog/39"}} {
		out, code := d.cell.RunTool(d.ctx, args...)
		fmt.Printf("\n$ saddlevanectl %s\n%s", strings.Join(args, " "), out)
		if code != 0 {
			return fmt.Errorf("%v: exit code %d", args, code)
		}
	}
	return nil
}
