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

// jobsDemo shows jobs that callers submit, on a stand-in of the users' platform.
type jobsDemo struct {
	ctx context.Context
	rig *soak.Rig
	// bin has the programs, dir takes what the demo writes.
	bin string
	dir string
}

// taskDuration is how long each task of the demo works.
const taskDuration = 400 * time.Millisecond

// runJobsDemo starts daemons that serve submitted jobs, hands a job in, has workers start
// again, kills the box that holds the cell and waits for the job's end.
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

// nightlyJob is a job of two steps: all tasks of the second start together.
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

// run hands a job in, has workers start again, kills the holder and checks what became of the job.
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
	fmt.Printf("\n%s start again under their names, with nothing of before\n", strings.Join(d.rig.RestartWorkers(), ", "))
	holder, err := d.rig.KillHolder(d.ctx)
	if err != nil {
		return err
	}
	fmt.Printf("\nkilled %s, which held the cell\n", holder)
	state, err := d.awaitEnd(s.ID)
	if err != nil {
		return err
	}
	if broken := d.rig.Violations(); state != job.Succeeded || len(broken) > 0 {
		return fmt.Errorf("the job is %s; broken: %v", state, broken)
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

// submit hands a job in until a box holds the cell; the same ID is the same job.
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

// runTool runs the command-line tool against the boxes that are up.
func (d *jobsDemo) runTool(args ...string) error {
	all := append([]string{"-address", strings.Join(d.rig.OperatorAddresses(d.ctx), ",")}, args...)
	out, err := exec.CommandContext(d.ctx, filepath.Join(d.bin, "saddlevanectl"), all...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("saddlevanectl %v: %w: %s", args, err, out)
	}
	fmt.Printf("\n$ saddlevanectl %s\n%s", strings.Join(args, " "), out)
	return nil
}
