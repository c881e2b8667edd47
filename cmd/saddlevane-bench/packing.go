// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"saddlevane/models/resource"
	"saddlevane/services/placement"
)

// placer is a placement algorithm: place returns a worker with enough free capacity, or nil.
type placer struct {
	name  string
	place func(nodes []*placement.Node, x *placement.Index, r *rand.Rand, need resource.Vector) *placement.Node
}

// placers holds the scheduler's algorithm and the ones that it is compared with.
var placers = []placer{
	{"saddlevane", func(_ []*placement.Node, x *placement.Index, _ *rand.Rand, need resource.Vector) *placement.Node {
		w := placement.DefaultWeights()
		return x.Best(need, func(n *placement.Node) float64 { return w.Score(n, need) })
	}},
	{"best-fit, all workers", func(nodes []*placement.Node, _ *placement.Index, _ *rand.Rand, need resource.Vector) *placement.Node {
		w := placement.Weights{Tight: 1}
		var best *placement.Node
		for _, n := range nodes {
			if need.Fits(n.Free()) && (best == nil || w.Score(n, need) < w.Score(best, need)) {
				best = n
			}
		}
		return best
	}},
	{"first-fit over a list", func(nodes []*placement.Node, _ *placement.Index, _ *rand.Rand, need resource.Vector) *placement.Node {
		for _, n := range nodes {
			if need.Fits(n.Free()) {
				return n
			}
		}
		return nil
	}},
	{"random-fit", func(nodes []*placement.Node, _ *placement.Index, r *rand.Rand, need resource.Vector) *placement.Node {
		const tries = 20
		for range tries {
			if n := nodes[r.IntN(len(nodes))]; need.Fits(n.Free()) {
				return n
			}
		}
		return nil
	}},
}

// placedTask is a task that runs on a worker.
type placedTask struct {
	node *placement.Node
	need resource.Vector
}

// packingResult is the result of a placer: the mean shares of resources reserved, and the median and
// 99th percentile of the time to place a task.
type packingResult struct {
	processors, memory float64
	p50, p99           time.Duration
}

// lookahead is how many waiting tasks are tried at each step. Smaller tasks overtake those that do
// not fit.
const lookahead = 32

// churn fills workers from a queue that is never empty. In each step one random task ends and the
// free capacity is filled again. The shares reserved are means over the second half of the steps.
func churn(m mix, p placer, workers, steps int, seed uint64) packingResult {
	r := rand.New(rand.NewPCG(seed, 1))
	x := &placement.Index{}
	nodes := make([]*placement.Node, workers)
	for i := range nodes {
		nodes[i] = placement.NewNode(fmt.Sprint("w", i), fmt.Sprint("r", i/workersPerRack), m.capacity)
		x.Add(nodes[i])
	}
	var running []placedTask
	queue := make([]resource.Vector, lookahead)
	for i := range queue {
		queue[i] = m.draw(r)
	}
	var times []time.Duration
	var out packingResult
	samples := 0
	fill := func() {
		for i := 0; i < len(queue); {
			start := time.Now()
			n := p.place(nodes, x, r, queue[i])
			times = append(times, time.Since(start))
			if n == nil {
				i++
				continue
			}
			n.Reserve(queue[i])
			running = append(running, placedTask{n, queue[i]})
			queue = append(slices.Delete(queue, i, i+1), m.draw(r))
		}
	}
	fill()
	for step := range steps {
		i := r.IntN(len(running))
		running[i].node.Release(running[i].need)
		running[i] = running[len(running)-1]
		running = running[:len(running)-1]
		fill()
		if step > steps/2 && step%16 == 0 {
			p, b := reservedShare(nodes)
			out.processors, out.memory = out.processors+p, out.memory+b
			samples++
		}
	}
	slices.Sort(times)
	out.processors /= float64(samples)
	out.memory /= float64(samples)
	out.p50, out.p99 = times[len(times)/2], times[len(times)*99/100]
	return out
}

// reservedShare returns the share of the processors and memory of all nodes that is reserved.
func reservedShare(nodes []*placement.Node) (processors, memory float64) {
	var total, free resource.Vector
	for _, n := range nodes {
		total, free = total.Plus(n.Capacity()), free.Plus(n.Free())
	}
	used := total.Minus(free)
	return float64(used.Processors) / float64(total.Processors), float64(used.Memory) / float64(total.Memory)
}

// seedCount is the number of runs that each figure is the mean of. All placers get the same tasks.
const seedCount = 3

// meanResult returns the mean result of a placer over seedCount seeds.
func meanResult(m mix, p placer, workers int) packingResult {
	var sum packingResult
	for seed := range uint64(seedCount) {
		c := churn(m, p, workers, workers*10, seed)
		sum.processors += c.processors / seedCount
		sum.memory += c.memory / seedCount
		sum.p50, sum.p99 = sum.p50+c.p50/seedCount, sum.p99+c.p99/seedCount
	}
	return sum
}

// packing measures how well each placer packs each mix.
func packing(out io.Writer) {
	fmt.Fprintf(out, "\nPacking: mean share reserved while the queue is never empty, and time of one search; mean of %d seeds.\n\n", seedCount)
	fmt.Fprintln(out, "| mix | workers | placer | processors | memory | search p50 | p99 |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, m := range mixes {
		for _, workers := range []int{50, 1200} {
			for _, p := range placers {
				c := meanResult(m, p, workers)
				fmt.Fprintf(out, "| %s | %d | %s | %.1f%% | %.1f%% | %s | %s |\n", m.name, workers, p.name, 100*c.processors, 100*c.memory, c.p50, c.p99)
			}
			p, b := m.bound()
			fmt.Fprintf(out, "| %s | %d | bound: nothing lost | %.1f%% | %.1f%% | | |\n", m.name, workers, 100*p, 100*b)
		}
	}
}

// sweepWeights measures the packing under different placement weights, which deployments can set.
func sweepWeights(out io.Writer) {
	fmt.Fprintf(out, "\nWeights: the same at 1200 workers, mean of 3 seeds.\n\n")
	fmt.Fprintln(out, "| mix | tight | balance | processors | memory |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- |")
	for _, m := range mixes {
		for _, w := range []placement.Weights{{Tight: 1}, {Tight: 1, Balance: 0.25}, {Tight: 1, Balance: 1}, {Tight: 1, Balance: 4}, {Balance: 1}} {
			p := placer{"", func(_ []*placement.Node, x *placement.Index, _ *rand.Rand, need resource.Vector) *placement.Node {
				return x.Best(need, func(n *placement.Node) float64 { return w.Score(n, need) })
			}}
			sum := meanResult(m, p, 1200)
			fmt.Fprintf(out, "| %s | %v | %v | %.1f%% | %.1f%% |\n", m.name, w.Tight, w.Balance, 100*sum.processors, 100*sum.memory)
		}
	}
}
