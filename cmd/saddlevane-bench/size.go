// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"saddlevane/models/claim"
	"saddlevane/services/authority"
	"saddlevane/services/logfeed"
)

// sizeOptions are the options of the benchmark of cell sizes.
type sizeOptions struct {
	// workers and boxes are the sizes to simulate, separated by commas.
	workers, boxes string
	// profile is the file to write a CPU profile to, or empty.
	profile string
}

// sizePeriod is the virtual time for which each cell is measured, after settlePeriod under load.
const (
	settlePeriod = 3 * time.Second
	sizePeriod   = 5 * time.Second
)

// benchSize prints what the holder does per second in cells of several numbers of workers, and what the
// entry boxes read from the log for several numbers of boxes, with the exponent of growth of each.
func benchSize(out io.Writer, o sizeOptions) error {
	workers, err := parseSizes(o.workers)
	if err != nil {
		return fmt.Errorf("-workers: %w", err)
	}
	boxes, err := parseSizes(o.boxes)
	if err != nil {
		return fmt.Errorf("-boxes: %w", err)
	}
	return withProfile(o.profile, func() {
		printWorkerSizes(out, workers)
		printBoxSizes(out, boxes)
	})
}

// parseSizes parses numbers that are separated by commas.
func parseSizes(text string) ([]int, error) {
	var all []int
	for _, field := range strings.Split(text, ",") {
		n, err := strconv.Atoi(field)
		if err != nil || n < 1 {
			return nil, fmt.Errorf("want numbers of 1 or more, got %q", field)
		}
		all = append(all, n)
	}
	return all, nil
}

// sizeTable collects the costs of a second, by kind and size.
type sizeTable struct {
	sizes []int
	costs map[string]map[int]float64
}

func newSizeTable(sizes []int) *sizeTable {
	return &sizeTable{sizes: sizes, costs: map[string]map[int]float64{}}
}

// set records the cost of a kind at a size.
func (t *sizeTable) set(kind string, size int, cost float64) {
	if t.costs[kind] == nil {
		t.costs[kind] = map[int]float64{}
	}
	t.costs[kind][size] = cost
}

// print prints the table, with the exponent between the smallest and the largest size.
func (t *sizeTable) print(out io.Writer, title, of string) {
	fmt.Fprintf(out, "%s\n\n| a second, by %s |", title, of)
	for _, n := range t.sizes {
		fmt.Fprintf(out, " %d |", n)
	}
	fmt.Fprintf(out, " exponent |\n| --- |%s --- |\n", strings.Repeat(" --- |", len(t.sizes)))
	first, last := t.sizes[0], t.sizes[len(t.sizes)-1]
	for _, kind := range slices.Sorted(maps.Keys(t.costs)) {
		costs := t.costs[kind]
		fmt.Fprintf(out, "| %s |", kind)
		for _, n := range t.sizes {
			fmt.Fprintf(out, " %.4g |", costs[n])
		}
		exponent := "-"
		if costs[first] > 0 && costs[last] > 0 && last != first {
			exponent = fmt.Sprintf("%.2f", math.Log(costs[last]/costs[first])/math.Log(float64(last)/float64(first)))
		}
		fmt.Fprintf(out, " %s |\n", exponent)
	}
	fmt.Fprintln(out)
}

// printWorkerSizes simulates a cell for each number of workers, with a load in proportion.
func printWorkerSizes(out io.Writer, sizes []int) {
	table := newSizeTable(sizes)
	for _, n := range sizes {
		measureWorkers(table, n)
	}
	table.print(out, "What the reducer of the holder does.", "workers")
}

// measureWorkers simulates a cell with a number of workers and records what its reducer does.
func measureWorkers(table *sizeTable, workers int) {
	mix := fleetMix()
	load := float64(workers) / float64(mix.workers)
	mix.workers = workers
	c := newSimCell(mix, 1, nil)
	c.scheduleArrivals(load, takeoverTime, settlePeriod+sizePeriod)
	c.runUntil(c.now.Add(takeoverTime + settlePeriod))
	events, effects := maps.Clone(c.eventCounts), maps.Clone(c.effectCounts)
	decided, starts, plans := c.decideTime, c.starts, c.core.PlanCount()
	c.maxDecideTime = 0
	c.runUntil(c.now.Add(sizePeriod))
	seconds := sizePeriod.Seconds()
	for kind, count := range c.eventCounts {
		table.set("event "+shortName(kind), workers, float64(count-events[kind])/seconds)
	}
	for kind, count := range c.effectCounts {
		table.set("effect "+shortName(kind), workers, float64(count-effects[kind])/seconds)
	}
	table.set("processor, ms", workers, float64((c.decideTime-decided).Microseconds())/1000/seconds)
	table.set("longest decision, ms", workers, float64(c.maxDecideTime.Microseconds())/1000)
	table.set("starts", workers, float64(c.starts-starts)/seconds)
	table.set("plans", workers, float64(c.core.PlanCount()-plans)/seconds)
}

// shortName returns the name of a type without its package.
func shortName(kind string) string { return kind[strings.LastIndexByte(kind, '.')+1:] }

// Reads of the log per second by a box that reads it by itself: the claims at each renewal, the
// configuration and the list of boxes when their waits are over.
const (
	claimReadsPerSecond  = 1 / 0.4
	configReadsPerSecond = 1
	boxReadsPerSecond    = 0.5
	readsPerSecond       = claimReadsPerSecond + configReadsPerSecond + boxReadsPerSecond
)

// printBoxSizes counts which boxes read the log, for each number of boxes in five failure domains of
// which one in ten is large.
func printBoxSizes(out io.Writer, sizes []int) {
	table := newSizeTable(sizes)
	for _, n := range sizes {
		measureBoxes(table, n)
	}
	table.print(out, "What the entry boxes read.", "boxes")
}

// measureBoxes counts the reads of a number of boxes.
func measureBoxes(table *sizeTable, n int) {
	const domains, small, large = 5, 192, 1600
	members := authority.Boxes{}
	for i := range n {
		m := claim.Member{Box: fmt.Sprintf("box-%05d", i), Domain: fmt.Sprintf("d%d", i%domains), Size: small}
		if i%10 < domains && i%20 < 10 {
			m.Size = large
		}
		members[m.Box] = m
	}
	candidates := members.Candidates(members["box-00000"], func(string) bool { return false })
	var domain []claim.Member
	for _, m := range members {
		if m.Domain == "d0" {
			domain = append(domain, m)
		}
	}
	readers, followers := 0, map[string]int{}
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for _, m := range domain {
		s := logfeed.NewSelector(m)
		s.AddBoxes(domain)
		reader, ok := s.Pick(now)
		if !ok {
			readers++
			continue
		}
		followers[reader.Box]++
	}
	// The domains are alike, and candidates are counted as if none were a reader.
	direct := min(n, readers*domains+len(candidates))
	most := 0
	for _, count := range followers {
		most = max(most, count)
	}
	table.set("reads of the log, all boxes", n, float64(direct)*readsPerSecond)
	table.set("reads of the log, a box", n, float64(direct)*readsPerSecond/float64(n))
	table.set("replies to followers, busiest reader", n, float64(most)*readsPerSecond)
	table.set("boxes whose pledge a holder needs", n, float64(len(candidates)-1))
}
