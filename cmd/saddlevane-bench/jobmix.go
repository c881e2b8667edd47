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

// spread is a random amount: log-normal with a mean, the standard deviation as a
// share of it, and a limit.
type spread struct{ mean, share, most float64 }

func (s spread) draw(rng *rand.Rand) float64 {
	if s.share == 0 {
		return s.mean
	}
	variance := math.Log(1 + s.share*s.share)
	x := math.Exp(math.Log(s.mean) - variance/2 + math.Sqrt(variance)*rng.NormFloat64())
	return min(x, s.most)
}

// jobKind is a kind of job that callers submit.
type jobKind struct {
	queue job.Queue
	// perSecond is how many come a second.
	perSecond float64
	steps     spread
	tasks     spread
	// processors and gigabytes are what a task needs, seconds how long it works.
	processors, gigabytes, seconds spread
	// estimateOff is the standard deviation of the logarithm of the estimate's
	// error.
	estimateOff float64
	// gangs and checkpoints are shares of the jobs, suits that of the workers which
	// may run a step.
	gangs, checkpoints, suits float64
	// uneven is the standard deviation of the logarithm of what tasks of one step differ by.
	uneven float64
	burst  burst
	// worth is what a job of mean work earns that is on time.
	worth float64
}

// jobMix is a cell and what its callers submit.
type jobMix struct {
	name    string
	boxes   int
	workers int
	domains int
	// stopMost is how long a stop takes at most.
	stopMost time.Duration
	// slowShare of the workers take slowBy times as long for everything.
	slowShare, slowBy float64
	// cores and gigabytes are what a worker has.
	cores     resource.Millis
	gigabytes resource.Bytes
	kinds     []jobKind
}

// burst is a time in which more jobs of a kind come, a span after the first job.
type burst struct {
	from, lasts time.Duration
	times       float64
}

// rate returns how many times as many jobs as usual come at a span after the first job.
func (b burst) rate(at time.Duration) float64 {
	if at >= b.from && at < b.from+b.lasts {
		return b.times
	}
	return 1
}

// jobMixes are like the deployments that the users described, and the same grown.
func jobMixes() []jobMix {
	heavy := jobKind{
		queue:     job.Queue{Name: "heavy", Pool: "pool", Priority: 1, Attempts: 3, Stretch: 2.2, Latency: time.Second, Advice: advice(550, 8, 1500)},
		perSecond: 1.2, steps: spread{1.2, 0.4, 3}, tasks: spread{8, 0.8, 48}, processors: spread{18, 0.4, 30}, gigabytes: spread{26, 0.5, 51},
		seconds: spread{6.2, 0.5, 16}, estimateOff: 0.9, gangs: 1, checkpoints: 0.5, suits: 0.25, worth: 16,
	}
	batch := jobKind{
		queue:     job.Queue{Name: "batch", Pool: "pool", Priority: 2, Attempts: 2, Stretch: 4, Latency: 3 * time.Second, Advice: advice(80, 1.1, 1500)},
		perSecond: 6.8, steps: spread{1.5, 0.4, 3.8}, tasks: spread{10, 0.8, 60}, processors: spread{3.9, 0.45, 12}, gigabytes: spread{8, 0.6, 24},
		seconds: spread{2.2, 0.5, 5.4}, estimateOff: 0.2, checkpoints: 0.8, suits: 0.45, worth: 3,
	}
	urgent := jobKind{
		queue:     job.Queue{Name: "urgent", Pool: "pool", Priority: 0, Attempts: 3, Stretch: 1.5, Latency: 250 * time.Millisecond, Advice: advice(7.2, 0.1, 1500)},
		perSecond: 48, steps: spread{1, 0, 1}, tasks: spread{2, 0.8, 12}, processors: spread{5.6, 0.45, 20}, gigabytes: spread{10, 0.6, 30},
		seconds: spread{0.64, 0.5, 1.6}, estimateOff: 0.5, gangs: 0.3, suits: 0.7, worth: 0.4,
	}
	small := jobMix{name: "today", cores: 64, gigabytes: 128, boxes: 7, workers: 48, domains: 3, stopMost: 200 * time.Millisecond, kinds: []jobKind{heavy, batch, urgent}}
	heavy.perSecond, heavy.tasks = 3.1, spread{20, 0.8, 120}
	batch.perSecond, batch.tasks, batch.processors = 10, spread{25, 0.8, 150}, spread{6.9, 0.45, 21}
	urgent.perSecond, urgent.tasks, urgent.processors = 113, spread{3.2, 0.8, 19}, spread{9.9, 0.45, 30}
	grown := jobMix{name: "grown", cores: 64, gigabytes: 128, boxes: 43, workers: 350, domains: 3, stopMost: 200 * time.Millisecond, kinds: []jobKind{heavy, batch, urgent}}
	slow := grown
	slow.name, slow.slowShare, slow.slowBy = "slow", 0.15, 5
	heavy.perSecond, heavy.tasks, heavy.gigabytes = 5.4, spread{40, 0.8, 240}, spread{52, 0.5, 100}
	batch.perSecond, batch.tasks, batch.processors, batch.gigabytes = 11, spread{50, 0.8, 300}, spread{11, 0.45, 33}, spread{31, 0.6, 94}
	urgent.perSecond, urgent.tasks, urgent.processors, urgent.gigabytes = 142, spread{4.5, 0.8, 27}, spread{16, 0.45, 47}, spread{45, 0.6, 130}
	large := jobMix{name: "large", cores: 64, gigabytes: 128, boxes: 147, workers: 1100, domains: 5, stopMost: 900 * time.Millisecond, kinds: []jobKind{heavy, batch, urgent}}
	return []jobMix{small, grown, slow, large, shiftedMix()}
}

// shiftedMix is a cell of many small workers, of which a third are slower, with large gangs
// that come in bursts.
func shiftedMix() jobMix {
	return jobMix{
		name: "shifted", cores: 16, gigabytes: 32, boxes: 30, workers: 350, domains: 3, stopMost: 900 * time.Millisecond, slowShare: 1.0 / 3, slowBy: 1.3,
		kinds: []jobKind{
			{
				queue:     job.Queue{Name: "heavy", Pool: "pool", Priority: 1, Attempts: 4, Stretch: 2.2, Latency: time.Second, Advice: advice(455, 6.5, 1500)},
				perSecond: 4.44, steps: spread{1.2, 0.4, 3}, tasks: spread{20, 0.8, 120}, processors: spread{4.5, 0.4, 7.6}, gigabytes: spread{4.5, 0.5, 9.1},
				seconds: spread{4, 0.5, 10}, estimateOff: 0.5, uneven: 0.15, gangs: 1, checkpoints: 0.5, suits: 0.25, worth: 10.4,
				burst: burst{from: 12 * time.Second, lasts: 4 * time.Second, times: 1.6},
			},
			{
				queue:     job.Queue{Name: "batch", Pool: "pool", Priority: 2, Attempts: 4, Stretch: 4, Latency: 3 * time.Second, Advice: advice(156, 2.34, 1500)},
				perSecond: 10.3, steps: spread{1.5, 0.4, 3.8}, tasks: spread{25, 0.8, 150}, processors: spread{1.7, 0.45, 5.2}, gigabytes: spread{2.5, 0.6, 7.5},
				seconds: spread{3.4, 0.5, 8.4}, estimateOff: 0.9, uneven: 0.3, checkpoints: 0.8, suits: 0.45, worth: 4.86,
			},
			{
				queue:     job.Queue{Name: "urgent", Pool: "pool", Priority: 0, Attempts: 2, Stretch: 1.5, Latency: 250 * time.Millisecond, Advice: advice(9.36, 0.13, 1500)},
				perSecond: 103, steps: spread{1, 0, 1}, tasks: spread{3.2, 0.8, 19}, processors: spread{2.5, 0.45, 7.4}, gigabytes: spread{2.5, 0.6, 7.6},
				seconds: spread{0.64, 0.5, 1.6}, estimateOff: 0.5, uneven: 0.15, gangs: 0.3, suits: 0.7, worth: 0.39,
				burst: burst{from: 22 * time.Second, lasts: 4 * time.Second, times: 1.6},
			},
		},
	}
}

// advice returns the cost of calls to the advice service, in milliseconds.
func advice(base, each, valid float64) *job.Advice {
	ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	return &job.Advice{BaseTime: ms(base), TimePerWorker: ms(each), TicketLifetime: ms(valid)}
}

// submission draws a job of a kind, and how long each of its steps works.
func (k *jobKind) submission(rng *rand.Rand, number int) (job.Submission, []time.Duration) {
	s := job.Submission{ID: job.ID(fmt.Sprintf("%08x%08x", rng.Uint32(), number)), Queue: k.queue.Name, Spec: "x"}
	steps := max(1, int(math.Round(k.steps.draw(rng))))
	gang, saves := rng.Float64() < k.gangs, rng.Float64() < k.checkpoints
	work := make([]time.Duration, steps)
	for i := range steps {
		work[i] = time.Duration(max(0.05, k.seconds.draw(rng)) * float64(time.Second))
		estimate := float64(work[i].Milliseconds()) * math.Exp(k.estimateOff*rng.NormFloat64())
		step := job.Step{
			Tasks: max(1, int(k.tasks.draw(rng))), Estimate: job.Milliseconds(max(1, estimate)), Gang: gang, Checkpoints: saves,
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
