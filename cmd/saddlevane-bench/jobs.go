// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"saddlevane/models/mechanism"
	"saddlevane/models/resource"
)

// jobOptions are the options of the benchmark of submitted jobs.
type jobOptions struct {
	// mix is the name of the cell to simulate, or empty for all.
	mix string
	// load is a factor on the rate at which jobs are submitted.
	load float64
	// seeds is the number of runs per cell.
	seeds int
	// disabled lists the mechanisms that are switched off, separated by commas.
	disabled string
	// profile is the file to write a CPU profile to, or empty.
	profile string
}

// Periods of a run: the box has takeoverTime to take the cell over, jobs are submitted for
// submitPeriod, and the cell runs for another completionPeriod so that they can end.
const (
	takeoverTime     = 2 * time.Second
	submitPeriod     = 30 * time.Second
	completionPeriod = 20 * time.Second
)

// benchJobs runs the reducer against simulated cells in virtual time and prints how many of
// the submitted jobs completed on time, late or not at all, and at what cost.
func benchJobs(out io.Writer, o jobOptions) error {
	disabled, err := mechanism.Parse(strings.FieldsFunc(o.disabled, func(r rune) bool { return r == ',' }))
	if err != nil {
		return fmt.Errorf("-without: %w", err)
	}
	return withProfile(o.profile, func() { printJobs(out, o, disabled) })
}

// printJobs simulates the selected cells and prints tables of the results.
func printJobs(out io.Writer, o jobOptions, disabled map[mechanism.Mechanism]bool) {
	fmt.Fprintf(out, "Submitted jobs against the reducer, virtual time: %v of jobs at %.1f times the load, nothing fails.\n\n", submitPeriod, o.load)
	fmt.Fprintln(out, "| cell | seed | kind | jobs | on time | late | never or later | p50 | p99 |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	var totals []string
	for _, mix := range jobMixes() {
		if o.mix != "" && o.mix != mix.name {
			continue
		}
		for seed := range o.seeds {
			c := simulateJobs(mix, int64(seed+1), o.load, disabled)
			c.printKinds(out, seed+1)
			totals = append(totals, c.summaryRow(seed+1))
		}
	}
	fmt.Fprintln(out, "\n| cell | seed | worth earned | by kind (large jobs served) | starts | µs of the reducer a start | longest decision | calls for advice | time of advice a box | work wasted |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, line := range totals {
		fmt.Fprintln(out, line)
	}
}

// simulateJobs simulates one run of a cell and returns the cell at its end.
func simulateJobs(mix jobMix, seed int64, load float64, disabled map[mechanism.Mechanism]bool) *simCell {
	c := newSimCell(mix, seed, disabled)
	begin := c.now.Add(takeoverTime)
	c.runUntil(begin)
	c.scheduleArrivals(load, 0, submitPeriod)
	c.runUntil(begin.Add(submitPeriod + completionPeriod))
	return c
}

// scheduleArrivals schedules the jobs that are submitted from the given time on for a period, at a
// multiple of the usual rate.
func (c *simCell) scheduleArrivals(load float64, from, period time.Duration) {
	begin := c.now.Add(from)
	number := 0
	for i := range c.mix.kinds {
		k := &c.mix.kinds[i]
		at := begin
		for {
			rate := load * k.perSecond * k.burst.rate(at.Sub(begin))
			at = at.Add(time.Duration(c.arrivals.ExpFloat64() / rate * float64(time.Second)))
			if at.Sub(begin) > period {
				break
			}
			number++
			n := number
			c.schedule(at.Sub(c.now), func() { c.submit(k, n) })
		}
	}
}

// objective returns the time within which a job should complete, based on its actual run time.
func (j *simJob) objective() time.Duration {
	chain := time.Duration(0)
	for _, w := range j.work {
		chain += w
	}
	return time.Duration(j.kind.queue.Stretch*float64(chain)) + j.kind.queue.Latency
}

const (
	// maxLateFactor is how many times its objective a job may take and still earn the
	// share lateWorthShare of its worth.
	maxLateFactor  = 3
	lateWorthShare = 0.2
)

// kindResult summarizes the jobs of a kind.
type kindResult struct {
	jobs, onTime, late int
	// durations holds the sorted times that the completed jobs took.
	durations []time.Duration
}

// kindResult returns the results of the jobs of kind k.
func (c *simCell) kindResult(k *jobKind) kindResult {
	var r kindResult
	for _, j := range c.jobs {
		if j.kind.queue.Name != k.queue.Name {
			continue
		}
		r.jobs++
		if j.doneAt.IsZero() {
			continue
		}
		d := j.doneAt.Sub(j.sentAt)
		r.durations = append(r.durations, d)
		switch {
		case d <= j.objective():
			r.onTime++
		case d <= maxLateFactor*j.objective():
			r.late++
		}
	}
	slices.Sort(r.durations)
	return r
}

// share returns n as a share of all jobs.
func (r *kindResult) share(n int) float64 { return float64(n) / float64(r.jobs) }

// quantile returns the time within which the given share of the completed jobs completed.
func (r *kindResult) quantile(share float64) time.Duration {
	if len(r.durations) == 0 {
		return 0
	}
	return r.durations[int(share*float64(len(r.durations)-1))].Round(time.Millisecond)
}

// printKinds prints one table row per kind of job.
func (c *simCell) printKinds(out io.Writer, seed int) {
	for i := range c.mix.kinds {
		k := &c.mix.kinds[i]
		r := c.kindResult(k)
		fmt.Fprintf(out, "| %s | %d | %s | %d | %.3f | %.3f | %.3f | %v | %v |\n", c.mix.name, seed, k.queue.Name, r.jobs,
			r.share(r.onTime), r.share(r.late), r.share(r.jobs-r.onTime-r.late), r.quantile(0.5), r.quantile(0.99))
	}
}

// coreSeconds returns the processor seconds that the tasks of a job need.
func (j *simJob) coreSeconds() float64 {
	all := 0.0
	for i, s := range j.sub.Steps {
		all += float64(s.Tasks) * float64(s.Need.Processors) / float64(resource.Processor) * j.work[i].Seconds()
	}
	return all
}

// The worth of a job is the worth of its kind times a factor: a fixed share, plus a share in
// proportion to its work relative to the mean of its kind. The factor is at most
// maxWorthFactor.
const (
	fixedWorthShare = 0.3
	workWorthShare  = 0.7
	maxWorthFactor  = 4
)

// worths returns the jobs of kind k, those with the largest worth first, and the worth of each.
func (c *simCell) worths(k *jobKind) ([]*simJob, map[*simJob]float64) {
	var all []*simJob
	sum := 0.0
	for _, j := range c.jobs {
		if j.kind.queue.Name == k.queue.Name {
			all = append(all, j)
			sum += j.coreSeconds()
		}
	}
	mean := sum / float64(max(1, len(all)))
	worth := map[*simJob]float64{}
	for _, j := range all {
		worth[j] = k.worth * min(maxWorthFactor, fixedWorthShare+workWorthShare*j.coreSeconds()/mean)
	}
	slices.SortFunc(all, func(a, b *simJob) int { return cmp.Compare(worth[b], worth[a]) })
	return all, worth
}

// earnedShare returns the share of its worth that a job earns: all of it if it is on time,
// lateWorthShare if it is late, and none if it is later still or incomplete.
func (j *simJob) earnedShare() float64 {
	if j.doneAt.IsZero() {
		return 0
	}
	switch d := j.doneAt.Sub(j.sentAt); {
	case d <= j.objective():
		return 1
	case d <= maxLateFactor*j.objective():
		return lateWorthShare
	}
	return 0
}

// earnings returns the total worth of the jobs of kind k, the worth that they earned, and the share
// of the most valuable 30% of them that earned anything.
func (c *simCell) earnings(k *jobKind) (total, earned, large float64) {
	jobs, worth := c.worths(k)
	largest := max(1, 3*len(jobs)/10)
	for i, j := range jobs {
		total += worth[j]
		earned += worth[j] * j.earnedShare()
		if i < largest && j.earnedShare() > 0 {
			large += 1 / float64(largest)
		}
	}
	return total, earned, large
}

// summaryRow returns the table row that summarizes the run.
func (c *simCell) summaryRow(seed int) string {
	total, earned := 0.0, 0.0
	var kinds []string
	for i := range c.mix.kinds {
		t, e, large := c.earnings(&c.mix.kinds[i])
		total += t
		earned += e
		kinds = append(kinds, fmt.Sprintf("%s %.3f (%.2f)", c.mix.kinds[i].queue.Name, e/max(1, t), large))
	}
	return fmt.Sprintf("| %s | %d | %.3f | %s | %d | %.0f | %v | %d | %.0f%% | %.1f%% |", c.mix.name, seed, earned/total, strings.Join(kinds, ", "), c.starts,
		float64(c.decideTime.Microseconds())/float64(c.starts), c.maxDecideTime.Round(100*time.Microsecond), c.adviceCalls,
		100*c.adviceTime.Seconds()/float64(c.mix.boxes)/(submitPeriod+completionPeriod).Seconds(), 100*c.wastedCoreSeconds/(c.usefulCoreSeconds+c.wastedCoreSeconds))
}
