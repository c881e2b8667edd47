// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package integration_test tests the guarantees of the system with real processes on
// loopback, behind proxies that inject faults. docs/PROOFS.md maps guarantees to tests.
package integration_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"saddlevane/models/resource"
	"saddlevane/tests/cell"

	"gotest.tools/v3/assert"
)

var binaries cell.Binaries

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the programs, the daemon with the race detector, and runs the tests.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "saddlevane-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	for _, program := range []string{"saddlevaned", "saddlevanectl", "saddlevane-standin"} {
		args := []string{"build", "-o", dir + "/"}
		if program == "saddlevaned" {
			args = append(args, "-race")
		}
		build := exec.Command("go", append(args, "saddlevane/cmd/"+program)...)
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "%s", out)
			return 1
		}
	}
	binaries = cell.BinariesIn(dir)
	return m.Run()
}

// testTimeout bounds each test; a condition that is not met by then fails it.
const testTimeout = 60 * time.Second

// fixture is a cell under test with its proxies.
type fixture struct {
	*cell.Cell
	t       *testing.T
	ctx     context.Context
	dir     string
	proxies *cell.Proxies
}

// domain returns a failure domain of the size that most tests use.
func domain(name string) cell.Domain {
	return cell.Domain{
		Name: name, Entries: 2, Racks: 2, WorkersPerRack: 2, Targets: 2, Slots: 8,
		Capacity: resource.Vector{Processors: 8 * resource.Processor, Memory: 16 * resource.GiB},
	}
}

// newFixture starts a cell whose connections all pass through proxies, and waits until the
// cell's file is in force. change may modify the options.
func newFixture(t *testing.T, change func(*cell.Options), domains ...cell.Domain) *fixture {
	t.Helper()
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	f := &fixture{t: t, ctx: ctx, dir: t.TempDir(), proxies: cell.NewProxies()}
	o := cell.Options{
		Binaries: binaries, Dir: f.dir, Domains: domains, Settings: cell.QuickSettings(),
		ProxyAddress: f.proxies.GetOrStart, TaskLease: 3 * time.Second,
	}
	if change != nil {
		change(&o)
	}
	c, err := cell.Start(ctx, o)
	assert.NilError(t, err)
	f.Cell = c
	t.Cleanup(func() {
		if t.Failed() {
			f.showLogs()
		}
		c.Close()
		f.proxies.Close()
		cancel()
	})
	assert.NilError(t, c.WaitReady(ctx))
	f.publish("cell", "0", c.CellFile("cell"))
	f.waitInForce("cell", c.Entries()...)
	return f
}

// showLogs logs the last 4000 bytes of each daemon's output, the queue and the status.
func (f *fixture) showLogs() {
	paths, _ := filepath.Glob(filepath.Join(f.dir, "entry-*.log"))
	for _, p := range paths {
		data, _ := os.ReadFile(p)
		f.t.Logf("%s:\n%s", filepath.Base(p), data[max(0, len(data)-4000):])
	}
	out, _ := f.RunTool(context.Background(), "queue")
	f.t.Logf("queue:\n%s", out)
	out, _ = f.RunTool(context.Background(), "status")
	f.t.Logf("status:\n%s", out)
}

// writeFile writes a file into the fixture's directory and returns its path.
func (f *fixture) writeFile(name, text string) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name+".yaml")
	assert.NilError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// publish publishes a file with the operators' tool; replaces is the revision that it
// replaces.
func (f *fixture) publish(name, replaces, text string) {
	f.t.Helper()
	out, code := f.RunTool(f.ctx, "publish", "-replaces", replaces, f.writeFile(name, text))
	assert.Equal(f.t, code, 0, out)
}

// revision returns the highest revision of a file on any entry box that responds.
func (f *fixture) revision(name string) int64 {
	f.t.Helper()
	highest := int64(0)
	for _, e := range f.Entries() {
		s, err := e.Status(f.ctx)
		if err != nil {
			continue
		}
		for _, file := range s.Files {
			if file.Name == name {
				highest = max(highest, file.Revision)
			}
		}
	}
	return highest
}

// republish replaces the highest revision of a file.
func (f *fixture) republish(name, text string) {
	f.t.Helper()
	f.publish(name, fmt.Sprint(f.revision(name)), text)
}

// waitInForce waits until the highest revision of a file is in force on the given boxes.
func (f *fixture) waitInForce(name string, entries ...*cell.Entry) {
	f.t.Helper()
	f.waitFor(name+" is in force", func() bool {
		want := f.revision(name)
		for _, e := range entries {
			if revisionOn(f.ctx, e, name) != want {
				return false
			}
		}
		return want > 0
	})
}

// revisionOn returns the revision of a file that is in force on a box, or 0 if none is or the box
// does not respond.
func revisionOn(ctx context.Context, e *cell.Entry, name string) int64 {
	s, err := e.Status(ctx)
	if err != nil || !s.InForce {
		return 0
	}
	for _, file := range s.Files {
		if file.Name == name {
			return file.Revision
		}
	}
	return 0
}

// waitFor waits until ok returns true and fails the test at testTimeout.
func (f *fixture) waitFor(what string, ok func() bool) {
	f.t.Helper()
	assert.NilError(f.t, cell.WaitFor(f.ctx, what, ok))
}

// checkWorkerInvariants checks what must always hold at the workers: no task runs in two
// places at once, and no start exceeds a worker's capacity.
func (f *fixture) checkWorkerInvariants() cell.History {
	f.t.Helper()
	h, err := f.History(f.ctx)
	assert.NilError(f.t, err)
	assert.Equal(f.t, len(h.Overlaps()), 0, "%v", h.Overlaps())
	assert.Equal(f.t, h.ExcessStarts, int64(0))
	return h
}

// activeHolder waits until one of the given entry boxes holds a shard in the phase active,
// and returns that box.
func (f *fixture) activeHolder(shard string, among ...*cell.Entry) *cell.Entry {
	f.t.Helper()
	var found *cell.Entry
	f.waitFor("shard "+shard+" has an active holder", func() bool {
		for _, e := range among {
			s, err := e.Status(f.ctx)
			if err != nil {
				continue
			}
			for _, sh := range s.Shards {
				if sh.ID == shard && sh.Phase == "active" {
					found = e
					return true
				}
			}
		}
		return false
	})
	return found
}
