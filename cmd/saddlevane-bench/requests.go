// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"saddlevane/models/resource"
	"saddlevane/tests/cell"
)

// Size of the cell, which is that of the deployment Jordan (3 domains, 6 entry boxes, 50 targets of
// 8 slots), and the periods of a run.
const (
	benchTargets  = 50
	benchSlots    = 8
	measurePeriod = 10 * time.Second
	warmUpPeriod  = 3 * time.Second
)

// requestKind is a class of requests. Service times are exponentially distributed with mean
// serviceTime.
type requestKind struct {
	class string
	// percent is the percentage of all requests that belong to the class.
	percent     int
	serviceTime time.Duration
	// keyed requests may not be repeated and carry an idempotency key.
	keyed bool
}

var requestKinds = []requestKind{
	{"preview", 50, 40 * time.Millisecond, false},
	{"render", 20, 300 * time.Millisecond, false},
	{"extract", 30, 800 * time.Millisecond, true},
}

// capacityPerSecond returns the number of requests per second that the slots can serve.
func capacityPerSecond() float64 {
	mean := 0.0
	for _, k := range requestKinds {
		mean += float64(k.percent) / 100 * k.serviceTime.Seconds()
	}
	return benchTargets * benchSlots / mean
}

// pickKind returns a random kind, weighted by percent.
func pickKind(r *rand.Rand) requestKind {
	n := r.IntN(100)
	for _, k := range requestKinds {
		if n -= k.percent; n < 0 {
			return k
		}
	}
	return requestKinds[0]
}

// requestOptions are the options of the benchmark of requests.
type requestOptions struct {
	// bin is the directory of the binaries.
	bin string
	// baseline repeats the measurement under the plain policy.
	baseline bool
	// skew sends all requests to the entry boxes of the first domain, at loads chosen for
	// that domain.
	skew bool
}

// factors returns the loads to measure, as fractions of capacityPerSecond.
func (o requestOptions) factors() []float64 {
	if o.skew {
		return []float64{0.3, 0.45, 0.9}
	}
	return []float64{0.5, 0.9, 1.5, 3}
}

// benchRequests measures requests against real processes under each selected policy.
func benchRequests(ctx context.Context, out io.Writer, o requestOptions) error {
	fmt.Fprintf(out, "Requests: 3 domains, 6 entry boxes, %d targets of %d slots, open loop, %.0f requests/s fill the slots; %s each after %s.\n",
		benchTargets, benchSlots, capacityPerSecond(), measurePeriod, warmUpPeriod)
	fmt.Fprintln(out, "Waiting is the caller's time less the service time it asked for.")
	policies := []string{"shared"}
	if o.baseline {
		policies = append(policies, "plain")
	}
	for _, policy := range policies {
		if err := benchPolicy(ctx, out, o, policy); err != nil {
			return err
		}
	}
	return nil
}

// benchPolicy starts a cell with the given routing policy and prints its results at each load.
func benchPolicy(ctx context.Context, out io.Writer, o requestOptions, policy string) error {
	dir, err := os.MkdirTemp("", "saddlevane-bench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	c, err := cell.Start(ctx, benchOptions(o.bin, dir, policy))
	if err != nil {
		return err
	}
	defer c.Close()
	if err := publishCellFile(ctx, c, dir); err != nil {
		return err
	}
	fmt.Fprintf(out, "\n### %s\n\n", policy)
	fmt.Fprintln(out, "| load | class | offered/s | done/s | refused/s | unknown | wait p50 | p99 | max | refusal p99 | slots used |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	var costs []loadCost
	for _, factor := range o.factors() {
		l := newLoadGenerator(c, factor*capacityPerSecond(), o.skew)
		before := entryUsage(c)
		l.run(ctx)
		costs = append(costs, newLoadCost(before, entryUsage(c), l))
		l.print(out, factor)
	}
	fmt.Fprintln(out, "\n| load | duplicate runs | CPU s a 1,000 requests and entry box | most memory of an entry box |")
	fmt.Fprintln(out, "| --- | --- | --- | --- |")
	for i, factor := range o.factors() {
		fmt.Fprintf(out, "| %.1fx | %d | %.3f | %.0f MB |\n", factor, costs[i].duplicates, costs[i].cpu, costs[i].memory)
	}
	return nil
}

// benchOptions returns the options of the cell. The targets are spread over three domains.
func benchOptions(bin, dir, policy string) cell.Options {
	o := cell.Options{Binaries: cell.BinariesIn(bin), Dir: dir, Settings: map[string][]string{
		"policy":   {"routing: " + policy},
		"requests": {"max_pending: 20000"},
	}}
	for i, name := range []string{"a", "b", "c"} {
		targets := benchTargets / 3
		if i < benchTargets%3 {
			targets++
		}
		o.Domains = append(o.Domains, cell.Domain{
			Name: name, Entries: 2, Racks: 1, WorkersPerRack: 1, Targets: targets, Slots: benchSlots,
			Capacity: resource.Vector{Processors: resource.Processor, Memory: resource.GiB},
		})
	}
	return o
}

// publishCellFile publishes the cell's file and waits until it is in force on all entry boxes.
func publishCellFile(ctx context.Context, c *cell.Cell, dir string) error {
	if err := c.WaitReady(ctx); err != nil {
		return err
	}
	path := dir + "/cell.yaml"
	if err := os.WriteFile(path, []byte(c.CellFile("cell")), 0o600); err != nil {
		return err
	}
	if out, code := c.RunTool(ctx, "publish", "-replaces", "0", path); code != 0 {
		return fmt.Errorf("publish: %s", out)
	}
	return cell.WaitFor(ctx, "the targets are known everywhere", func() bool {
		for _, e := range c.Entries() {
			s, err := e.Status(ctx)
			if err != nil || len(s.Pools) == 0 || s.Pools[0].Slots == 0 || len(s.Live) != 2 {
				return false
			}
		}
		return true
	})
}

// newClient returns a client that keeps enough connections for the open-loop load.
func newClient() *http.Client {
	return &http.Client{Timeout: time.Minute, Transport: &http.Transport{MaxIdleConnsPerHost: 4000, IdleConnTimeout: time.Minute}}
}
