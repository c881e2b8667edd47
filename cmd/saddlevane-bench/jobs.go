// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"runtime/pprof"
	"slices"
	"strings"
	"time"

	"saddlevane/models/mechanism"
	"saddlevane/models/resource"
)

// jobOptions say what the bench of submitted jobs plays.
type jobOptions struct {
	// mix names the cell to play, or is empty for all.
	mix string
	// load multiplies what callers submit.
	load float64
	// seeds is how many runs are made of each cell.
	seeds int
	// without names parts of the policy that are switched off, separated by commas.
	disabled string
	// profile is a file for a profile of the processor time, or empty.
	profile string
}

// The times of a run: the box has takeoverTime to take the cell over, jobs are handed in
// for submitPeriod, and may end until completionPeriod later.
const (
	takeoverTime     = 2 * time.Second
	submitPeriod     = 30 * time.Second
	completionPeriod = 20 * time.Second
)

// benchJobs plays what callers submit against the reducer alone, in virtual time.
func benchJobs(out io.Writer, o jobOptions) error {
	without, err := mechanism.Parse(strings.FieldsFunc(o.disabled, func(r rune) bool { return r == ',' }))
	if err != nil {
		return fmt.Errorf("-without: %w", err)
	}
	if o.profile == "" {
		printJobs(out, o, without)
		return nil
	}
	f, err := os.Create(o.profile)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := pprof.StartCPUProfile(f); err != nil {
		return err
	}
	defer pprof.StopCPUProfile()
	printJobs(out, o, without)
	return nil
}

// printJobs plays the cells and prints what came of the jobs.
func printJobs(out io.Writer, o jobOptions, without map[mechanism.Mechanism]bool) {
	fmt.Fprintf(out, "Submitted jobs against the reducer, virtual time: %v of jobs at %.1f times the load, nothing fails.\n\n", submitPeriod, o.load)
	fmt.Fprintln(out, "| cell | seed | kind | jobs | on time | late | never or later | p50 | p99 |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	var totals []string
	for _, mix := range jobMixes() {
		if o.mix != "" && o.mix != mix.name {
			continue
		}
		for seed := range o.seeds {
			c := simulateJobs(mix, int64(seed+1), o.load, without)
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

// simulateJobs plays one run.
func simulateJobs(mix jobMix, seed int64, load float64, without map[mechanism.Mechanism]bool) *simCell {
	c := newSimCell(mix, seed, without)
	begin := c.now.Add(takeoverTime)
	c.runUntil(begin)
	number := 0
	for i := range mix.kinds {
		k := &mix.kinds[i]
		at := begin
		for {
			rate := load * k.perSecond * k.burst.rate(at.Sub(begin))
			at = at.Add(time.Duration(c.arrivals.ExpFloat64() / rate * float64(time.Second)))
			if at.Sub(begin) > submitPeriod {
				break
			}
			number++
			n := number
			c.schedule(at.Sub(c.now), func() { c.submit(k, n) })
		}
	}
	c.runUntil(begin.Add(submitPeriod + completionPeriod))
	return c
}

// objective is the time within which a job is wanted, by its true work.
func (j *simJob) objective() time.Duration {
	chain := time.Duration(0)
	for _, w := range j.work {
		chain += w
	}
	return time.Duration(j.kind.queue.Stretch*float64(chain)) + j.kind.queue.Latency
}

const (
	// maxLateFactor is how many times its objective a job may take and still earn the
	// share lateWorthShare of its worth (the users' rules).
	maxLateFactor  = 3
	lateWorthShare = 0.2
)

// kindResult is what became of the jobs of a kind.
type kindResult struct {
	jobs, onTime, late int
	// took has how long those took that are done, in order.
	durations []time.Duration
}

// kindResult sums up the jobs of a kind.
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

// share returns the share of some of the jobs.
func (r *kindResult) share(n int) float64 { return float64(n) / float64(r.jobs) }

// quantile returns the time within which a share of the jobs that are done took.
func (r *kindResult) quantile(share float64) time.Duration {
	if len(r.durations) == 0 {
		return 0
	}
	return r.durations[int(share*float64(len(r.durations)-1))].Round(time.Millisecond)
}

// printKinds prints a line for each kind of job.
func (c *simCell) printKinds(out io.Writer, seed int) {
	for i := range c.mix.kinds {
		k := &c.mix.kinds[i]
		r := c.kindResult(k)
		fmt.Fprintf(out, "| %s | %d | %s | %d | %.3f | %.3f | %.3f | %v | %v |\n", c.mix.name, seed, k.queue.Name, r.jobs,
			r.share(r.onTime), r.share(r.late), r.share(r.jobs-r.onTime-r.late), r.quantile(0.5), r.quantile(0.99))
	}
}

// coreSeconds returns the processor seconds of a job.
func (j *simJob) coreSeconds() float64 {
	all := 0.0
	for i, s := range j.sub.Steps {
		all += float64(s.Tasks) * float64(s.Need.Processors) / float64(resource.Processor) * j.work[i].Seconds()
	}
	return all
}

// The worth of a job is a part for each and a part by its work against the mean of
// its kind, up to a limit (the users' rules).
const (
	fixedWorthShare = 0.3
	workWorthShare  = 0.7
	maxWorthFactor  = 4
)

// worths returns what each job of a kind is worth, the largest first.
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

// earnedShare returns the part of its worth that a job earns.
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

// earnings returns the part of their worth that the jobs of a kind earn, and the
// part that the largest three tenths of them earn, by number.
func (c *simCell) earnings(k *jobKind) (owed, earned, large float64) {
	jobs, worth := c.worths(k)
	largest := max(1, 3*len(jobs)/10)
	for i, j := range jobs {
		owed += worth[j]
		earned += worth[j] * j.earnedShare()
		if i < largest && j.earnedShare() > 0 {
			large += 1 / float64(largest)
		}
	}
	return owed, earned, large
}

// summaryRow returns a line about the run as a whole.
func (c *simCell) summaryRow(seed int) string {
	owed, earned := 0.0, 0.0
	var kinds []string
	for i := range c.mix.kinds {
		o, e, large := c.earnings(&c.mix.kinds[i])
		owed += o
		earned += e
		kinds = append(kinds, fmt.Sprintf("%s %.3f (%.2f)", c.mix.kinds[i].queue.Name, e/max(1, o), large))
	}
	return fmt.Sprintf("| %s | %d | %.3f | %s | %d | %.0f | %v | %d | %.0f%% | %.1f%% |", c.mix.name, seed, earned/owed, strings.Join(kinds, ", "), c.starts,
		float64(c.decideTime.Microseconds())/float64(c.starts), c.maxDecideTime.Round(100*time.Microsecond), c.adviceCalls,
		100*c.adviceTime.Seconds()/float64(c.mix.boxes)/(submitPeriod+completionPeriod).Seconds(), 100*c.wastedCoreSeconds/(c.usefulCoreSeconds+c.wastedCoreSeconds))
}
