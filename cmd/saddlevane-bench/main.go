// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Saddlevane-bench runs the benchmarks of the scheduler and prints tables of the results. It does
// not compare them with limits.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func main() {
	var bin, docs string
	fs := flag.NewFlagSet("saddlevane-bench", flag.ExitOnError)
	fs.StringVar(&bin, "bin", "bin", "directory of the binaries")
	fs.StringVar(&docs, "docs", "docs", "directory whose CAPACITY.md tables and plots are rewritten")
	var baseline, skew bool
	requests := flag.NewFlagSet("requests", flag.ExitOnError)
	requests.BoolVar(&baseline, "baseline", false, "measure round robin without priorities in the same run")
	requests.BoolVar(&skew, "skew", false, "send all requests to the first domain")
	var jobsOf jobOptions
	jobs := flag.NewFlagSet("jobs", flag.ExitOnError)
	jobs.StringVar(&jobsOf.mix, "mix", "", "simulate only this cell: today, grown, slow, large, shifted or fleet")
	jobs.Float64Var(&jobsOf.load, "load", 1, "factor on the usual load")
	jobs.IntVar(&jobsOf.seeds, "seeds", 2, "number of runs per cell")
	jobs.StringVar(&jobsOf.disabled, "without", "", "mechanisms to disable, separated by commas")
	jobs.StringVar(&jobsOf.profile, "profile", "", "file to write a CPU profile to")
	var sizeOf sizeOptions
	size := flag.NewFlagSet("size", flag.ExitOnError)
	size.StringVar(&sizeOf.workers, "workers", "48,350,6000,20000", "numbers of workers to simulate, separated by commas")
	size.StringVar(&sizeOf.boxes, "boxes", "7,50,585,1170,2000,28180", "numbers of entry boxes to simulate, separated by commas")
	size.StringVar(&sizeOf.profile, "profile", "", "file to write a CPU profile to")
	var holderOf holderOptions
	holder := flag.NewFlagSet("holder", flag.ExitOnError)
	holder.IntVar(&holderOf.workers, "workers", 1100, "number of workers")
	holder.IntVar(&holderOf.relays, "relays", 23, "number of entry boxes that relay orders")
	holder.IntVar(&holderOf.starts, "starts", 2000, "number of tasks to start per second")
	holder.IntVar(&holderOf.width, "width", 7, "number of tasks of a job")
	holder.DurationVar(&holderOf.period, "period", 10*time.Second, "time to measure")
	holder.StringVar(&holderOf.profile, "profile", "", "file to write a CPU profile of the holder to")
	var queueOf queueOptions
	queue := flag.NewFlagSet("queue", flag.ExitOnError)
	queueOf.register(queue)
	root := &ffcli.Command{
		Name: "saddlevane-bench", ShortUsage: "saddlevane-bench [flags] decisions|jobs|size|holder|queue|requests|takeover|capacity", FlagSet: fs,
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
		Subcommands: []*ffcli.Command{
			{Name: "decisions", Exec: func(context.Context, []string) error { return decisions(os.Stdout) }},
			{Name: "jobs", FlagSet: jobs, Exec: func(context.Context, []string) error { return benchJobs(os.Stdout, jobsOf) }},
			{Name: "size", FlagSet: size, Exec: func(context.Context, []string) error { return benchSize(os.Stdout, sizeOf) }},
			{Name: "holder", FlagSet: holder, Exec: func(context.Context, []string) error { return benchHolder(os.Stdout, holderOf) }},
			{Name: "relays", ShortUsage: "saddlevane-bench relays RELAYS WORKERS (started by holder)", Exec: func(_ context.Context, args []string) error {
				return benchRelays(os.Stdin, os.Stdout, args)
			}},
			{Name: "queue", FlagSet: queue, Exec: func(context.Context, []string) error { return benchQueue(os.Stdout, queueOf) }},
			{Name: "requests", FlagSet: requests, Exec: func(ctx context.Context, _ []string) error {
				return benchRequests(ctx, os.Stdout, requestOptions{bin: bin, baseline: baseline, skew: skew})
			}},
			{Name: "takeover", Exec: func(ctx context.Context, _ []string) error { return takeover(ctx, os.Stdout, bin) }},
			{Name: "capacity", Exec: func(context.Context, []string) error { return capacity(os.Stdout, docs) }},
		},
	}
	if err := root.ParseAndRun(context.Background(), os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "saddlevane-bench:", err)
		os.Exit(1)
	}
}
