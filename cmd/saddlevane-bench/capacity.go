// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

// Markers in CAPACITY.md that enclose the measured tables.
const (
	markBegin = "<!-- measured: begin -->"
	markEnd   = "<!-- measured: end -->"
)

// slopes holds all measured slopes.
type slopes struct {
	holderMemoryWorkers, holderMemoryTasks slope
	holderTick                             slope
	answerUnchanged, answerInventory       slope
	placement                              slope
	syncBytes, reportBytes                 slope
	publishObjects                         slope
	ledgerMemory                           slope
	snapshotBytes                          slope
	routeTargets                           slope
	helloPeers                             slope
}

// all returns the slopes in the order of the table.
func (s *slopes) all() []slope {
	return []slope{
		s.holderMemoryWorkers, s.holderMemoryTasks, s.holderTick, s.answerUnchanged, s.answerInventory, s.placement, s.syncBytes, s.reportBytes,
		s.publishObjects, s.ledgerMemory, s.snapshotBytes, s.routeTargets, s.helloPeers,
	}
}

// capacity measures the slopes, prints their tables, and rewrites the tables in CAPACITY.md and
// the plots in the directory docs.
func capacity(out io.Writer, docs string) error {
	s := &slopes{}
	for _, measure := range []func(*slopes){measureHolder, measureWire, measureLedger, measureRouting, measurePeers} {
		measure(s)
	}
	var b strings.Builder
	b.WriteString("Every slope is by `make capacity`, one run on one machine; the fit is a line by least squares, the spread the largest distance of a point from it.\n\n")
	b.WriteString("| slope | points (quantity: cost) | per unit | base | spread | plot |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, one := range s.all() {
		var points []string
		for _, p := range one.points {
			points = append(points, fmt.Sprintf("%.5g: %.4g", p.x, p.y))
		}
		fmt.Fprintf(&b, "| %s (%s, by %s) | %s | %.4g | %.4g | %.0f%% | [plot](%s) |\n",
			one.name, one.unit, one.x, strings.Join(points, ", "), one.perUnit, one.base, 100*one.maxDeviation, one.plotFile())
		if err := one.plot(filepath.Join(docs, one.plotFile())); err != nil {
			return err
		}
	}
	b.WriteString("\n")
	b.WriteString(s.costAtSize())
	fmt.Fprint(out, b.String())
	return rewriteTables(filepath.Join(docs, "CAPACITY.md"), b.String())
}

// rewriteTables replaces the text between the markers in the file at path by tables.
func rewriteTables(path, tables string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	head, rest, ok := strings.Cut(string(data), markBegin)
	_, tail, ok2 := strings.Cut(rest, markEnd)
	if !ok || !ok2 {
		return fmt.Errorf("%s: the markers of the measured tables are missing", path)
	}
	return os.WriteFile(path, []byte(head+markBegin+"\n"+tables+markEnd+tail), 0o644)
}

// The cell's size planned for two years from now, over all domains, and the budgets for it: cores,
// megabytes and kilobytes per second of one node, and appends per second of the log.
const (
	sizeWorkers         = 21_000
	sizeTasks           = 170_000
	sizeStartsPerSecond = 11_000
	sizeDomains         = 18
	sizeChangesPerDay   = 18_000
	sizeBoxes           = 6.5 * sizeDomains
	renewSeconds        = 1.0
	secondsPerDay       = 86_400
	// sizeObjects is the number of jobs, gangs and services in force at a time, assumed to
	// be a tenth of the 100,000 jobs of a day.
	sizeObjects = 10_000
	nodeCores   = 0.012
	nodeMemory  = 256.0
	nodeTraffic = 10.0
)

// roleCost is the cost of one of the scheduler's roles in a domain.
type roleCost struct {
	// carries describes the mechanism that carries the role.
	role, carries string
	// cores is in processor cores, memory in megabytes, traffic in kilobytes per second.
	cores, memory, traffic float64
}

// costAtSize returns tables of the costs of one domain at the planned size, extrapolated from
// the slopes.
func (s *slopes) costAtSize() string {
	workers, tasks, starts := float64(sizeWorkers)/sizeDomains, float64(sizeTasks)/sizeDomains, float64(sizeStartsPerSecond)/sizeDomains
	perWorker := tasks / workers
	boxes := sizeBoxes / sizeDomains
	// A worker with short tasks also gets a sync when a task is expected to end. In the worst
	// case each start is sent in a sync of its own.
	syncs := workers/renewSeconds + starts
	// A worker reports its inventory after each start and each end. Other answers report it
	// as unchanged.
	changes := 2 * starts
	const httpBytes, httpCore = 350.0, 120e-6
	rows := []roleCost{
		{
			"leases and inventories", "one sync a worker and second; the inventory only when it changed", syncs*(s.answerUnchanged.at(perWorker)*1e-6+httpCore) + changes*s.answerInventory.at(perWorker)*1e-6,
			s.holderMemoryWorkers.perUnit * workers / 1e6,
			(syncs*(s.syncBytes.at(0)+s.reportBytes.at(0)+2*httpBytes) + changes*s.reportBytes.perUnit*perWorker) / 1e3,
		},
		{
			"placement", "grid of free room; each shard places alone", starts * s.placement.at(workers) * 1e-6,
			s.holderMemoryTasks.perUnit * tasks / 1e6, starts * s.syncBytes.perUnit / 1e3,
		},
		{"decisions every 25 ms", "work only where something changed", s.holderTick.at(workers) * 1e-6 * 40, 0, 0},
		{
			"configuration", "each change read once from the log by every box", boxes * sizeChangesPerDay / secondsPerDay * max(s.publishObjects.at(sizeObjects), 0) * 1e-6,
			boxes * s.ledgerMemory.at(sizeObjects) / 1e6, boxes * sizeChangesPerDay / secondsPerDay * 4,
		},
		{"membership", "heartbeats within a domain only", s.helloPeers.at(boxes) * 1e-6, 0, boxes * (boxes - 1) * 2 * 0.3},
	}
	var b strings.Builder
	b.WriteString("At the two-year size, for one of 18 domains (1,167 workers, 9,444 tasks, 611 starts/s, 6.5 entry boxes):\n\n")
	b.WriteString("| role | mechanism that carries it | cores | MB | KB/s |\n| --- | --- | --- | --- | --- |\n")
	var sum roleCost
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %.3f | %.1f | %.0f |\n", r.role, r.carries, r.cores, r.memory, r.traffic)
		sum.cores, sum.memory, sum.traffic = sum.cores+r.cores, sum.memory+r.memory, sum.traffic+r.traffic
	}
	fmt.Fprintf(&b, "| all | | %.2f | %.0f | %.0f |\n\n", sum.cores, sum.memory, sum.traffic)
	b.WriteString("| reading of \"node\" | cores a node | of 1.2% | MB a node | of 256 MB | KB/s a node | of 10 KB/s |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, reading := range []struct {
		name  string
		nodes float64
	}{{"a worker (taken)", workers}, {"an entry box", boxes}} {
		core, memory, traffic := sum.cores/reading.nodes, sum.memory/reading.nodes, sum.traffic/reading.nodes
		fmt.Fprintf(&b, "| %s | %.3f%% | %.2fx | %.2f | %.2fx | %.2f | %.2fx |\n", reading.name,
			100*core, core/nodeCores, memory, memory/nodeMemory, traffic, traffic/nodeTraffic)
	}
	b.WriteString("\n")
	b.WriteString(s.logBudget())
	return b.String()
}

// logBudget returns a table of the appends per second to the log at the planned size.
func (s *slopes) logBudget() string {
	checkpoint := s.snapshotBytes.at(sizeObjects) / 1e6
	var b strings.Builder
	b.WriteString("Appends, all processes together, of about 100 a second:\n\n| what | appends/s | mechanism |\n| --- | --- | --- |\n")
	fmt.Fprintf(&b, "| changes of configuration | %.2f | one a publication |\n", float64(sizeChangesPerDay)/secondsPerDay)
	fmt.Fprintf(&b, "| intents and outcomes | at most %.0f at one a second and box | one append under way, with all that has gathered |\n", sizeBoxes)
	fmt.Fprintf(&b, "| claims and marks | %.3f | two a takeover: 1,380 boxes lost or replaced a day |\n", 2*1380.0/secondsPerDay)
	fmt.Fprintf(&b, "| checkpoints | %.4f | %.1f MB each, four a retention of a day |\n", checkpoint*4/secondsPerDay, checkpoint)
	return b.String()
}
