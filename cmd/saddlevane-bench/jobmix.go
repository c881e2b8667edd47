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
	kinds             []jobKind
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
	small := jobMix{name: "today", boxes: 7, workers: 48, domains: 3, stopMost: 200 * time.Millisecond, kinds: []jobKind{heavy, batch, urgent}}
	heavy.perSecond, heavy.tasks = 3.1, spread{20, 0.8, 120}
	batch.perSecond, batch.tasks, batch.processors = 10, spread{25, 0.8, 150}, spread{6.9, 0.45, 21}
	urgent.perSecond, urgent.tasks, urgent.processors = 113, spread{3.2, 0.8, 19}, spread{9.9, 0.45, 30}
	grown := jobMix{name: "grown", boxes: 43, workers: 350, domains: 3, stopMost: 200 * time.Millisecond, kinds: []jobKind{heavy, batch, urgent}}
	slow := grown
	slow.name, slow.slowShare, slow.slowBy = "slow", 0.15, 5
	heavy.perSecond, heavy.tasks, heavy.gigabytes = 5.4, spread{40, 0.8, 240}, spread{52, 0.5, 100}
	batch.perSecond, batch.tasks, batch.processors, batch.gigabytes = 11, spread{50, 0.8, 300}, spread{11, 0.45, 33}, spread{31, 0.6, 94}
	urgent.perSecond, urgent.tasks, urgent.processors, urgent.gigabytes = 142, spread{4.5, 0.8, 27}, spread{16, 0.45, 47}, spread{45, 0.6, 130}
	large := jobMix{name: "large", boxes: 147, workers: 1100, domains: 5, stopMost: 900 * time.Millisecond, kinds: []jobKind{heavy, batch, urgent}}
	return []jobMix{small, grown, slow, large}
}

// advice returns the cost of calls to the advice service, in milliseconds.
func advice(base, each, valid float64) *job.Advice {
	ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	return &job.Advice{Base: ms(base), Each: ms(each), Valid: ms(valid)}
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
