// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"flag"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// queueOptions are the options of the benchmark of a holder with one processor.
type queueOptions struct {
	// workers, loads and speeds are the cells to simulate, separated by commas.
	workers, loads, speeds string
	seed                   int64
	costs                  processorCosts
	// profile is the file to write a CPU profile to, or empty.
	profile string
}

// register adds the options to a flag set.
func (o *queueOptions) register(fs *flag.FlagSet) {
	fs.StringVar(&o.workers, "workers", "350,1100,6000", "numbers of workers to simulate, separated by commas")
	fs.StringVar(&o.loads, "loads", "0.5,1,2", "factors on the usual load, separated by commas")
	fs.StringVar(&o.speeds, "speeds", "1,0.5", "speeds of the processor, separated by commas")
	fs.Int64Var(&o.seed, "seed", 1, "seed of the submitted jobs")
	fs.DurationVar(&o.costs.message, "message", 60*time.Microsecond, "cost of an order or of its result outside the reducer")
	fs.DurationVar(&o.costs.submission, "submission", 100*time.Microsecond, "cost of a submission outside the reducer")
	fs.DurationVar(&o.costs.logLine, "log-line", 10*time.Microsecond, "cost of a log line")
	fs.DurationVar(&o.costs.event, "event", 0, "cost of an event in the reducer, 0 for its real time")
	fs.DurationVar(&o.costs.pass, "pass", 0, "least cost of a placement pass")
	fs.StringVar(&o.profile, "profile", "", "file to write a CPU profile to")
}

// parseFactors parses positive numbers that are separated by commas.
func parseFactors(text string) ([]float64, error) {
	var all []float64
	for _, field := range strings.Split(text, ",") {
		f, err := strconv.ParseFloat(field, 64)
		if err != nil || f <= 0 {
			return nil, fmt.Errorf("want numbers above 0, got %q", field)
		}
		all = append(all, f)
	}
	return all, nil
}

// benchQueue prints how long submitted jobs wait for their first start at a holder with one
// processor, and what the processor works for.
func benchQueue(out io.Writer, o queueOptions) error {
	workers, err := parseSizes(o.workers)
	if err != nil {
		return fmt.Errorf("-workers: %w", err)
	}
	loads, err := parseFactors(o.loads)
	if err != nil {
		return fmt.Errorf("-loads: %w", err)
	}
	speeds, err := parseFactors(o.speeds)
	if err != nil {
		return fmt.Errorf("-speeds: %w", err)
	}
	return withProfile(o.profile, func() {
		printQueueHeader(out, o)
		for _, n := range workers {
			for _, load := range loads {
				for _, speed := range speeds {
					o.costs.speed = speed
					printQueue(out, n, load, speed, simulateQueue(o.costs, n, load, o.seed))
				}
			}
		}
	})
}

// printQueueHeader prints the costs and the head of the table.
func printQueueHeader(out io.Writer, o queueOptions) {
	reducer := "real time"
	if o.costs.event > 0 {
		reducer = fmt.Sprintf("%v an event, at least %v a pass", o.costs.event, o.costs.pass)
	}
	fmt.Fprintf(out, "A holder with one processor, virtual time. Costs: %v an order or result, %v a submission, %v a log line, reducer: %s.\n\n",
		o.costs.message, o.costs.submission, o.costs.logLine, reducer)
	fmt.Fprintln(out, "A cause has the share of time that the processor works for it, and the number of events and effects a second. Waits are in milliseconds.")
	fmt.Fprintln(out)
	fmt.Fprint(out, "| workers | load | speed | starts a second | refused | submission in the queue, p50, p95 | to first start, p50, p95, by kind | not started | most waiting | passes a second | renewals a start | at work |")
	for _, c := range allCauses {
		fmt.Fprintf(out, " %s |", c)
	}
	fmt.Fprintf(out, "\n|%s\n", strings.Repeat(" --- |", 12+len(allCauses)))
}

// denseMix returns a cell of the given size in which many short tasks are started: about 1.6 a second
// and worker at a load of 1. At higher loads the tasks need less, so that the workers have the
// capacity for them and the processor is what binds. The workers have half the memory, so that steps
// wait for capacity and advice is requested for them again and again.
func denseMix(workers int, load float64) (mix jobMix, rate float64) {
	for _, m := range jobMixes() {
		if m.name == "large" {
			mix = m
		}
	}
	rate = load * float64(workers) / float64(mix.workers)
	mix.workers = workers
	mix.gigabytes /= 2
	mix.kinds = slices.Clone(mix.kinds)
	for i := range mix.kinds {
		k := &mix.kinds[i]
		for _, need := range []*logNormal{&k.processors, &k.gigabytes} {
			need.mean /= max(1, load)
			need.limit /= max(1, load)
		}
	}
	return mix, rate
}

// queueResult is what a holder did in the measured period.
type queueResult struct {
	cell           *simCell
	usage          processorUsage
	from           time.Time
	period         time.Duration
	starts, passes int
	renewals       int
}

// simulateQueue simulates a cell whose holder has a processor, and measures it for sizePeriod after
// settlePeriod under load.
func simulateQueue(costs processorCosts, workers int, load float64, seed int64) queueResult {
	mix, rate := denseMix(workers, load)
	c := newSimCellOn(&costs, mix, seed, nil)
	c.scheduleArrivals(rate, takeoverTime, settlePeriod+sizePeriod)
	c.runUntil(c.now.Add(takeoverTime + settlePeriod))
	r := queueResult{cell: c, from: c.now, period: sizePeriod, starts: -c.starts, passes: -c.core.PlanCount(), renewals: -c.effectCounts[renewEffect]}
	c.processor.usage = newProcessorUsage()
	c.runUntil(c.now.Add(sizePeriod))
	r.usage = c.processor.usage
	r.starts += c.starts
	r.passes += c.core.PlanCount()
	r.renewals += c.effectCounts[renewEffect]
	return r
}

// renewEffect is the name of the effect that sends a renewal.
const renewEffect = "exchange.Renew"

// startDelays returns the sorted times from submission to first start of the jobs of a kind that were
// submitted in the measured period, and how many were not started.
func (r queueResult) startDelays(k *jobKind) (delays []time.Duration, missing int) {
	for _, j := range r.cell.jobs {
		switch {
		case j.kind.queue.Name != k.queue.Name || j.sentAt.Before(r.from):
		case j.firstStartAt.IsZero():
			missing++
		default:
			delays = append(delays, j.firstStartAt.Sub(j.sentAt))
		}
	}
	slices.Sort(delays)
	return delays, missing
}

// quantile returns a quantile of sorted times in milliseconds.
func quantile(sorted []time.Duration, share float64) string {
	if len(sorted) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f", sorted[int(share*float64(len(sorted)-1))].Seconds()*1000)
}

// printQueue prints a row of the table. Times are in milliseconds.
func printQueue(out io.Writer, workers int, load, speed float64, r queueResult) {
	seconds := r.period.Seconds()
	waits := slices.Sorted(slices.Values(r.usage.submitWaits))
	var kinds []string
	missing := 0
	for i := range r.cell.mix.kinds {
		k := &r.cell.mix.kinds[i]
		delays, none := r.startDelays(k)
		missing += none
		kinds = append(kinds, fmt.Sprintf("%s %s, %s", k.queue.Name, quantile(delays, 0.5), quantile(delays, 0.95)))
	}
	fmt.Fprintf(out, "| %d | %g | %g | %.0f | %d | %s, %s | %s | %d | %d | %.0f | %.2f | %.2f |", workers, load, speed, float64(r.starts)/seconds, r.usage.refused,
		quantile(waits, 0.5), quantile(waits, 0.95), strings.Join(kinds, "; "), missing, r.usage.maxQueued, float64(r.passes)/seconds,
		float64(r.renewals)/float64(max(1, r.starts)), r.usage.busy().Seconds()/seconds)
	for _, c := range allCauses {
		fmt.Fprintf(out, " %.3f (%.0f) |", r.usage.worked[c].Seconds()/seconds, float64(r.usage.count[c])/seconds)
	}
	fmt.Fprintln(out)
}
