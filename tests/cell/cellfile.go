// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cell

import (
	"fmt"
	"strings"
)

// CellFile returns the text of a file that declares the cell's racks, one team and its pool
// of targets.
func (c *Cell) CellFile(name string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name: %s\nracks:\n", name)
	for _, d := range c.options.Domains {
		for r := range d.Racks {
			var workers []string
			for i := range d.WorkersPerRack {
				workers = append(workers, fmt.Sprintf("worker-%s%d-%d", d.Name, r+1, i+1))
			}
			fmt.Fprintf(&b, "  - name: rack-%s%d\n    domain: %s\n    shard: %d\n    workers: [%s]\n",
				d.Name, r+1, d.Name, r%max(d.Shards, 1), strings.Join(workers, ", "))
			fmt.Fprintf(&b, "    each: {processors: %s, memory: %s, accelerators: %d}\n",
				d.Capacity.Processors, d.Capacity.Memory, d.Capacity.Accelerators)
		}
	}
	b.WriteString(teamAndPool)
	return b.String()
}

const teamAndPool = `teams:
  - name: archive
    quota: {processors: 100000, memory: 100TiB, accelerators: 1000}
pools:
  - name: runners
    slots: 8
    connections: 60
    classes:
      - {name: preview, priority: urgent, repeatable: true, deadline: 5s, queue: 1000}
      - {name: extract, priority: batch, repeatable: false, deadline: 10s, queue: 1000}
      - {name: render, priority: normal, repeatable: true, deadline: 10s, queue: 1000}
`

// QuickSettings returns settings with short timeouts and intervals, for cells that run for
// seconds.
func QuickSettings() map[string][]string {
	return map[string][]string{
		"platform": {"boxes_every: 50ms", "append_every: 50ms", "wait: 500ms", "timeout: 1s"},
		"peers":    {"heartbeat: 100ms", "dead_after: 700ms"},
		"workers":  {"lease: 1500ms", "renew: 200ms", "margin: 100ms", "task_lease: 3s", "settle: 1s", "timeout: 500ms"},
		"queue":    {"backoff: 100ms", "gang_patience: 2s"},
		"stop":     {"grace: 500ms", "most: 20s"},
	}
}
