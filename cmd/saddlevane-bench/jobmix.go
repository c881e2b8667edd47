// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"math"
	"math/rand"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"
)

// logNormal is a log-normal distribution with a mean, the standard deviation as a fraction of
// the mean, and an upper limit that larger values are cut to.
type logNormal struct{ mean, relStdDev, limit float64 }

// draw returns a random value, or the mean if the standard deviation is 0.
func (s logNormal) draw(rng *rand.Rand) float64 {
	if s.relStdDev == 0 {
		return s.mean
	}
	variance := math.Log(1 + s.relStdDev*s.relStdDev)
	x := math.Exp(math.Log(s.mean) - variance/2 + math.Sqrt(variance)*rng.NormFloat64())
	return min(x, s.limit)
}

// jobKind describes a kind of job that callers submit.
type jobKind struct {
	queue job.Queue
	// perSecond is the mean number of jobs submitted per second.
	perSecond float64
	steps     logNormal
	tasks     logNormal
	// processors and gigabytes are the resources that a task needs, seconds is its run time.
	processors, gigabytes, seconds logNormal
	// estimateError is the standard deviation of ln(estimate / run time).
	estimateError float64
	// gangShare is the share of jobs whose steps are gangs, checkpointShare that of jobs that
	// write checkpoints, and eligibleShare that of the workers which may run a step.
	gangShare, checkpointShare, eligibleShare float64
	// taskVariation is the standard deviation of the logarithm of the factor by which the run
	// times of a step's tasks differ.
	taskVariation float64
	burst         burst
	// worth is what a job with the mean work of its kind earns if it is on time.
	worth float64
}

// jobMix describes a cell and the jobs that its callers submit.
type jobMix struct {
	name    string
	boxes   int
	workers int
	domains int
	// maxStopTime is the longest time that a worker needs to stop a run.
	maxStopTime time.Duration
	// slowShare is the share of workers on which tasks take slowFactor times as long.
	slowShare, slowFactor float64
	// cores and gigabytes are the capacity of a worker.
	cores     resource.Millis
	gigabytes resource.Bytes
	kinds     []jobKind
}

// burst is a time span, relative to the first job, in which more jobs of a kind are submitted.
type burst struct {
	from, duration time.Duration
	factor         float64
}

// rate returns the factor on the usual submission rate at the given time after the first job.
func (b burst) rate(at time.Duration) float64 {
	if at >= b.from && at < b.from+b.duration {
		return b.factor
	}
	return 1
}

// jobMixes returns the cells to simulate: a deployment of today's size, the same grown, the grown
// one with slow workers, a large one, and shiftedMix.
func jobMixes() []jobMix {
	heavy := jobKind{
		queue:     job.Queue{Name: "heavy", Pool: "pool", Priority: 1, Attempts: 3, Stretch: 2.2, Latency: time.Second, Advice: advice(550, 8, 1500)},
		perSecond: 1.2, steps: logNormal{1.2, 0.4, 3}, tasks: logNormal{8, 0.8, 48}, processors: logNormal{18, 0.4, 30}, gigabytes: logNormal{26, 0.5, 51},
		seconds: logNormal{6.2, 0.5, 16}, estimateError: 0.9, gangShare: 1, checkpointShare: 0.5, eligibleShare: 0.25, worth: 16,
	}
	batch := jobKind{
		queue:     job.Queue{Name: "batch", Pool: "pool", Priority: 2, Attempts: 2, Stretch: 4, Latency: 3 * time.Second, Advice: advice(80, 1.1, 1500)},
		perSecond: 6.8, steps: logNormal{1.5, 0.4, 3.8}, tasks: logNormal{10, 0.8, 60}, processors: logNormal{3.9, 0.45, 12}, gigabytes: logNormal{8, 0.6, 24},
		seconds: logNormal{2.2, 0.5, 5.4}, estimateError: 0.2, checkpointShare: 0.8, eligibleShare: 0.45, worth: 3,
	}
	urgent := jobKind{
		queue:     job.Queue{Name: "urgent", Pool: "pool", Priority: 0, Attempts: 3, Stretch: 1.5, Latency: 250 * time.Millisecond, Advice: advice(7.2, 0.1, 1500)},
		perSecond: 48, steps: logNormal{1, 0, 1}, tasks: logNormal{2, 0.8, 12}, processors: logNormal{5.6, 0.45, 20}, gigabytes: logNormal{10, 0.6, 30},
		seconds: logNormal{0.64, 0.5, 1.6}, estimateError: 0.5, gangShare: 0.3, eligibleShare: 0.7, worth: 0.4,
	}
	small := jobMix{name: "today", cores: 64, gigabytes: 128, boxes: 7, workers: 48, domains: 3, maxStopTime: 200 * time.Millisecond, kinds: []jobKind{heavy, batch, urgent}}
	heavy.perSecond, heavy.tasks = 3.1, logNormal{20, 0.8, 120}
	batch.perSecond, batch.tasks, batch.processors = 10, logNormal{25, 0.8, 150}, logNormal{6.9, 0.45, 21}
	urgent.perSecond, urgent.tasks, urgent.processors = 113, logNormal{3.2, 0.8, 19}, logNormal{9.9, 0.45, 30}
	grown := jobMix{name: "grown", cores: 64, gigabytes: 128, boxes: 43, workers: 350, domains: 3, maxStopTime: 200 * time.Millisecond, kinds: []jobKind{heavy, batch, urgent}}
	slow := grown
	slow.name, slow.slowShare, slow.slowFactor = "slow", 0.15, 5
	heavy.perSecond, heavy.tasks, heavy.gigabytes = 5.4, logNormal{40, 0.8, 240}, logNormal{52, 0.5, 100}
	batch.perSecond, batch.tasks, batch.processors, batch.gigabytes = 11, logNormal{50, 0.8, 300}, logNormal{11, 0.45, 33}, logNormal{31, 0.6, 94}
	urgent.perSecond, urgent.tasks, urgent.processors, urgent.gigabytes = 142, logNormal{4.5, 0.8, 27}, logNormal{16, 0.45, 47}, logNormal{45, 0.6, 130}
	large := jobMix{name: "large", cores: 64, gigabytes: 256, boxes: 147, workers: 1100, domains: 5, maxStopTime: 900 * time.Millisecond, slowShare: 1.0 / 3, slowFactor: 1.3, kinds: []jobKind{heavy, batch, urgent}}
	return []jobMix{small, grown, slow, large, shiftedMix(), fleetMix()}
}

// fleetMix returns a cell of several thousand workers.
func fleetMix() jobMix {
	return jobMix{
		name: "fleet", cores: 64, gigabytes: 256, boxes: 585, workers: 6000, domains: 5, maxStopTime: 900 * time.Millisecond, slowShare: 1.0 / 3, slowFactor: 1.3,
		kinds: []jobKind{
			{
				queue:     job.Queue{Name: "heavy", Pool: "pool", Priority: 1, Attempts: 3, Stretch: 2.2, Latency: time.Second, Advice: advice(660, 9.5, 1500)},
				perSecond: 2.95, steps: logNormal{1.2, 0.4, 3}, tasks: logNormal{40, 0.8, 64}, processors: logNormal{18, 0.4, 30}, gigabytes: logNormal{51, 0.5, 98},
				seconds: logNormal{6.2, 0.5, 16}, estimateError: 0.5, taskVariation: 0.15, gangShare: 1, checkpointShare: 0.5, eligibleShare: 0.25, worth: 12.9,
			},
			{
				queue:     job.Queue{Name: "batch", Pool: "pool", Priority: 2, Attempts: 3, Stretch: 4, Latency: 3 * time.Second, Advice: advice(140, 2, 1500)},
				perSecond: 6.72, steps: logNormal{1.5, 0.4, 3.8}, tasks: logNormal{50, 0.8, 300}, processors: logNormal{9.9, 0.45, 30}, gigabytes: logNormal{27, 0.6, 83},
				seconds: logNormal{2.2, 0.5, 5.4}, estimateError: 0.2, taskVariation: 0.3, checkpointShare: 0.8, eligibleShare: 0.45, worth: 3.55,
			},
			{
				queue:     job.Queue{Name: "urgent", Pool: "pool", Priority: 0, Attempts: 3, Stretch: 1.5, Latency: 250 * time.Millisecond, Advice: advice(11, 0.16, 1500)},
				perSecond: 85.2, steps: logNormal{1, 0, 1}, tasks: logNormal{4.5, 0.8, 27}, processors: logNormal{14, 0.45, 42}, gigabytes: logNormal{40, 0.6, 117},
				seconds: logNormal{0.8, 0.5, 2}, estimateError: 0.5, taskVariation: 0.15, gangShare: 0.3, eligibleShare: 0.7, worth: 0.392,
			},
		},
	}
}

// shiftedMix returns a cell of many small workers, of which a third are slower. Large gangs and
// urgent jobs arrive in bursts.
func shiftedMix() jobMix {
	return jobMix{
		name: "shifted", cores: 16, gigabytes: 32, boxes: 30, workers: 350, domains: 3, maxStopTime: 900 * time.Millisecond, slowShare: 1.0 / 3, slowFactor: 1.3,
		kinds: []jobKind{
			{
				queue:     job.Queue{Name: "heavy", Pool: "pool", Priority: 1, Attempts: 4, Stretch: 2.2, Latency: time.Second, Advice: advice(455, 6.5, 1500)},
				perSecond: 4.44, steps: logNormal{1.2, 0.4, 3}, tasks: logNormal{20, 0.8, 120}, processors: logNormal{4.5, 0.4, 7.6}, gigabytes: logNormal{4.5, 0.5, 9.1},
				seconds: logNormal{4, 0.5, 10}, estimateError: 0.5, taskVariation: 0.15, gangShare: 1, checkpointShare: 0.5, eligibleShare: 0.25, worth: 10.4,
				burst: burst{from: 12 * time.Second, duration: 4 * time.Second, factor: 1.6},
			},
			{
				queue:     job.Queue{Name: "batch", Pool: "pool", Priority: 2, Attempts: 4, Stretch: 4, Latency: 3 * time.Second, Advice: advice(156, 2.34, 1500)},
				perSecond: 10.3, steps: logNormal{1.5, 0.4, 3.8}, tasks: logNormal{25, 0.8, 150}, processors: logNormal{1.7, 0.45, 5.2}, gigabytes: logNormal{2.5, 0.6, 7.5},
				seconds: logNormal{3.4, 0.5, 8.4}, estimateError: 0.9, taskVariation: 0.3, checkpointShare: 0.8, eligibleShare: 0.45, worth: 4.86,
			},
			{
				queue:     job.Queue{Name: "urgent", Pool: "pool", Priority: 0, Attempts: 2, Stretch: 1.5, Latency: 250 * time.Millisecond, Advice: advice(9.36, 0.13, 1500)},
				perSecond: 103, steps: logNormal{1, 0, 1}, tasks: logNormal{3.2, 0.8, 19}, processors: logNormal{2.5, 0.45, 7.4}, gigabytes: logNormal{2.5, 0.6, 7.6},
				seconds: logNormal{0.64, 0.5, 1.6}, estimateError: 0.5, taskVariation: 0.15, gangShare: 0.3, eligibleShare: 0.7, worth: 0.39,
				burst: burst{from: 22 * time.Second, duration: 4 * time.Second, factor: 1.6},
			},
		},
	}
}

// advice returns the cost of calls to the advice service and the lifetime of its tickets. The
// parameters are in milliseconds.
func advice(base, perWorker, lifetime float64) *job.Advice {
	ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	return &job.Advice{BaseTime: ms(base), TimePerWorker: ms(perWorker), TicketLifetime: ms(lifetime)}
}

// submission returns a random job of kind k and the run time of the tasks of each step.
func (k *jobKind) submission(rng *rand.Rand, number int) (job.Submission, []time.Duration) {
	s := job.Submission{ID: job.ID(fmt.Sprintf("%08x%08x", rng.Uint32(), number)), Queue: k.queue.Name, Spec: "x"}
	steps := max(1, int(math.Round(k.steps.draw(rng))))
	gang, checkpoints := rng.Float64() < k.gangShare, rng.Float64() < k.checkpointShare
	work := make([]time.Duration, steps)
	for i := range steps {
		work[i] = time.Duration(max(0.05, k.seconds.draw(rng)) * float64(time.Second))
		estimate := float64(work[i].Milliseconds()) * math.Exp(k.estimateError*rng.NormFloat64())
		step := job.Step{
			Tasks: max(1, int(k.tasks.draw(rng))), Estimate: job.Milliseconds(max(1, estimate)), Gang: gang, Checkpoints: checkpoints,
			Need: resource.Vector{
				Processors: resource.Millis(max(100, 1000*k.processors.draw(rng))),
				Memory:     resource.Bytes(max(0.1, k.gigabytes.draw(rng)) * float64(resource.GiB)),
			},
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		s.Steps = append(s.Steps, step)
	}
	return s, work
}
