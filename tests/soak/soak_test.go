// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak_test

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"saddlevane/tests/soak"

	"gotest.tools/v3/assert"
)

// Times and sizes of a run. Without faults, jobs are measured for calmDuration, and given
// calmDrainDuration more to end; then faults are injected for faultsDuration. All accepted
// jobs must end within settleTimeout.
const (
	calmDrainDuration = 3 * time.Second
	calmDuration      = 3 * time.Second
	faultsDuration    = 12 * time.Second
	settleTimeout     = 60 * time.Second
	jobsPerSecond     = 12
	boxCount          = 3
	workerCount       = 6
)

// seedsEnv selects other seeds, such as 100-149, for longer manual runs. keepEnv names a
// directory in which the output of the runs is kept.
const (
	seedsEnv = "SADDLEVANE_SOAK_SEEDS"
	keepEnv  = "SADDLEVANE_SOAK_KEEP"
)

// daemonPath is the path of the daemon, built with the race detector.
var daemonPath string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the daemon and runs the tests.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "saddlevane-soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	daemonPath = filepath.Join(dir, "saddlevaned")
	if out, err := exec.Command("go", "build", "-race", "-o", daemonPath, "saddlevane/cmd/saddlevaned").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s", out)
		return 1
	}
	return m.Run()
}

// TestNoPromiseIsBrokenUnderRandomFaults runs the seeds of seeds.txt: the seed of CI and
// those that have failed before.
func TestNoPromiseIsBrokenUnderRandomFaults(t *testing.T) {
	for _, seed := range seeds(t) {
		t.Run(strconv.FormatInt(seed, 10), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed)
		})
	}
}

// seeds returns the seeds given by the environment, or those of seeds.txt.
func seeds(t *testing.T) []int64 {
	t.Helper()
	if text := os.Getenv(seedsEnv); text != "" {
		return parseSeedRange(t, text)
	}
	return readSeedFile(t)
}

// parseSeedRange parses a single seed, or a range such as 100-149.
func parseSeedRange(t *testing.T, text string) []int64 {
	t.Helper()
	first, last, _ := strings.Cut(text, "-")
	from := parseSeed(t, first)
	to := from
	if last != "" {
		to = parseSeed(t, last)
	}
	var all []int64
	for s := from; s <= to; s++ {
		all = append(all, s)
	}
	return all
}

// readSeedFile reads seeds.txt: one seed per line, with comments that start with #.
func readSeedFile(t *testing.T) []int64 {
	t.Helper()
	f, err := os.Open("seeds.txt")
	assert.NilError(t, err)
	defer f.Close()
	var all []int64
	for lines := bufio.NewScanner(f); lines.Scan(); {
		text, _, _ := strings.Cut(lines.Text(), "#")
		if text = strings.TrimSpace(text); text != "" {
			all = append(all, parseSeed(t, text))
		}
	}
	return all
}

func parseSeed(t *testing.T, text string) int64 {
	t.Helper()
	seed, err := strconv.ParseInt(text, 10, 64)
	assert.NilError(t, err)
	return seed
}

// runSeed runs one seed and reports each violated guarantee.
func runSeed(t *testing.T, seed int64) {
	t.Helper()
	outages := soak.NewOutages(seed, workerCount)
	ctx, cancel := context.WithTimeout(context.Background(), calmDuration+calmDrainDuration+outages.Lead()+faultsDuration+settleTimeout)
	defer cancel()
	r, err := soak.NewRig(seed, daemonPath, outputDir(t, strconv.FormatInt(seed, 10)), boxCount, workerCount, rigOptions(seed)...)
	if r != nil {
		defer r.Close()
	}
	assert.NilError(t, err)
	assert.NilError(t, r.WaitReady(ctx))
	p := &seedRun{t: t, ctx: ctx, rig: r, callers: soak.NewCallers(r, seed), faults: soak.NewFaults(r, seed), outages: outages}
	p.run()
	t.Logf("seed %d: %v, %d starts (%d by late orders on incarnations not reached yet), %d faults", seed, p.callers, r.StartCount(), r.UnreachedStarts(), len(p.faults.Events()))
	for _, line := range append(p.callers.Violations(), r.Violations()...) {
		t.Errorf("seed %d: %s", seed, line)
	}
	if t.Failed() {
		t.Logf("faults:\n%s", strings.Join(p.faults.Events(), "\n"))
	}
	assert.Check(t, r.StartCount() > 0, "no task was started")
}

// outputDir returns the directory for the output of a run: one that is kept under name if keepEnv is
// set, or a temporary one.
func outputDir(t *testing.T, name string) string {
	t.Helper()
	keep := os.Getenv(keepEnv)
	if keep == "" {
		return t.TempDir()
	}
	dir := filepath.Join(keep, name)
	assert.NilError(t, os.MkdirAll(dir, 0o755))
	return dir
}

// rigOptions returns the options for a seed. Even seeds use the claim times that daemons have
// outside of tests, so that the same box keeps the cell after a call to the log timed out.
func rigOptions(seed int64) []soak.Option {
	all := []soak.Option{soak.WithIdleTimeout(idleTimeout)}
	if seed%2 == 0 {
		all = append(all, soak.WithClaimTimes(1400*time.Millisecond, 1550*time.Millisecond))
	}
	return all
}
