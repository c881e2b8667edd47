// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/tests/cell"
	"saddlevane/tests/soak"
)

// jobsDemo demonstrates jobs that callers submit, on a stand-in for the platform.
type jobsDemo struct {
	ctx context.Context
	rig *soak.Rig
	// bin is the directory of the binaries, dir that of the files that the demo writes.
	bin string
	dir string
}

// taskDuration is the run time of each task of the demo.
const taskDuration = 400 * time.Millisecond

// runJobsDemo starts daemons that serve submitted jobs, submits a job, restarts workers, kills the
// box that holds the cell, and checks that the job succeeds.
func runJobsDemo(ctx context.Context, bin, dir string) error {
	rig, err := soak.NewRig(1, filepath.Join(bin, "saddlevaned"), dir, 3, 6)
	if rig != nil {
		defer rig.Close()
	}
	if err != nil {
		return err
	}
	fmt.Println("\n== 3 entry boxes that serve submitted jobs, 6 workers, a log and an advice service are running")
	d := &jobsDemo{ctx: ctx, rig: rig, bin: bin, dir: dir}
	if err := rig.WaitReady(ctx); err != nil {
		return err
	}
	return d.run()
}

// nightlyJob returns a job of two steps. The tasks of the second step are a gang and start together.
func nightlyJob() job.Submission {
	need := resource.Vector{Processors: 4 * resource.Processor, Memory: 4 * resource.GiB}
	return job.Submission{
		ID: "nightly-1", Queue: "wide", Spec: "score the portfolio",
		Steps: []job.Step{
			{Tasks: 12, Need: need, Estimate: job.Milliseconds(taskDuration.Milliseconds())},
			{Tasks: 4, Need: need, Estimate: job.Milliseconds(taskDuration.Milliseconds()), After: []int{0}, Gang: true},
		},
	}
}

// run carries out the demo on the running cell. It returns an error if the job does not succeed or a
// guarantee is violated.
func (d *jobsDemo) run() error {
	s := nightlyJob()
	if err := d.submit(s); err != nil {
		return err
	}
	if err := d.runTool("job", string(s.ID)); err != nil {
		return err
	}
	if err := cell.WaitFor(d.ctx, "tasks run", func() bool { return d.rig.StartCount() > 0 }); err != nil {
		return err
	}
	fmt.Printf("\nrestarted %s under the same names and without their earlier state\n", strings.Join(d.rig.RestartWorkers(), ", "))
	holder, err := d.rig.KillHolder(d.ctx)
	if err != nil {
		return err
	}
	fmt.Printf("\nkilled %s, which held the cell\n", holder)
	state, err := d.awaitEnd(s.ID)
	if err != nil {
		return err
	}
	if violations := d.rig.Violations(); state != job.Succeeded || len(violations) > 0 {
		return fmt.Errorf("the job is %s; violated guarantees: %v", state, violations)
	}
	if err := d.runTool("cell"); err != nil {
		return err
	}
	fmt.Printf("\n%s is %s after %d task starts; no task ran in two places, none beyond a worker's size\n", s.ID, state, d.rig.StartCount())
	return nil
}

// awaitEnd waits until a job has a final state and returns it.
func (d *jobsDemo) awaitEnd(id job.ID) (job.State, error) {
	state := job.State("")
	err := cell.WaitFor(d.ctx, "the job has ended", func() bool {
		state = d.rig.State(d.ctx, id)
		return state.IsFinal()
	})
	return state, err
}

// submit submits a job and retries until it is accepted, since no box may hold the cell yet. It is
// safe to retry because the same ID denotes the same job.
func (d *jobsDemo) submit(s job.Submission) error {
	if err := d.rig.Expect(s, taskDuration); err != nil {
		return err
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, "nightly.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	return cell.WaitFor(d.ctx, "the job is accepted", func() bool { return d.runTool("submit", path) == nil })
}

// runTool runs saddlevanectl against the boxes that are up and prints its output.
func (d *jobsDemo) runTool(args ...string) error {
	all := append([]string{"-address", strings.Join(d.rig.OperatorAddresses(d.ctx), ",")}, args...)
	out, err := exec.CommandContext(d.ctx, filepath.Join(d.bin, "saddlevanectl"), all...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("saddlevanectl %v: %w: %s", args, err, out)
	}
	fmt.Printf("\n$ saddlevanectl %s\n%s", strings.Join(args, " "), out)
	return nil
}
