// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routers

import (
	"strconv"
	"time"

	"saddlevane/models/status"
	"saddlevane/services/core"
	"saddlevane/services/routing"
	"saddlevane/services/runtime"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// collector reads the reducer's state whenever metrics are collected.
type collector struct {
	loop         *runtime.Loop
	requests     *prometheus.Desc
	waiting      *prometheus.Desc
	inflight     *prometheus.Desc
	slots        *prometheus.Desc
	ejected      *prometheus.Desc
	fileRevision *prometheus.Desc
	logNext      *prometheus.Desc
	logFailing   *prometheus.Desc
	logWaiting   *prometheus.Desc
	workersHeld  *prometheus.Desc
	running      *prometheus.Desc
	queued       *prometheus.Desc
	packedRatio  *prometheus.Desc
	starts       *prometheus.Desc
	lost         *prometheus.Desc
	duplicates   *prometheus.Desc
}

// NewMetrics returns a registry with the metrics of the process and of the reducer
// behind loop.
func NewMetrics(loop *runtime.Loop) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	registry.MustRegister(newCollector(loop))
	return registry
}

// newCollector returns a collector with the descriptions of its metrics.
func newCollector(loop *runtime.Loop) *collector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("saddlevane_"+name, help, labels, nil)
	}
	return &collector{
		loop:         loop,
		requests:     desc("requests_total", "Ended requests by verdict and status.", "pool", "class", "verdict", "status"),
		waiting:      desc("requests_waiting", "Requests waiting for a target.", "pool", "class"),
		inflight:     desc("requests_inflight", "Requests in flight at targets.", "pool"),
		slots:        desc("target_slots", "Requests this box may have in flight at healthy targets.", "pool"),
		ejected:      desc("targets_ejected", "Ejected targets, which get only probes.", "pool"),
		fileRevision: desc("file_revision", "Revision of the file in force.", "file"),
		logNext:      desc("log_next_offset", "Offset of the first record not read."),
		logFailing:   desc("log_failing", "1 if the last read (or append) of the log failed.", "call"),
		logWaiting:   desc("log_entries_waiting", "Entries not yet known to be in the log."),
		workersHeld:  desc("workers_held", "Workers whose lease this box holds.", "shard"),
		running:      desc("tasks_running", "Tasks placed on workers.", "shard"),
		queued:       desc("tasks_waiting", "Waiting tasks.", "shard"),
		packedRatio:  desc("packed_ratio", "Largest reserved fraction of any resource.", "shard"),
		starts:       desc("task_starts_total", "Starts sent to workers.", "shard"),
		lost:         desc("tasks_lost_total", "Attempts that ended without a known outcome.", "shard"),
		duplicates:   desc("tasks_duplicate_total", "Tasks found in two places. Must stay 0.", "shard"),
	}
}

// Describe sends the description of each metric.
func (c *collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		c.requests, c.waiting, c.inflight, c.slots, c.ejected, c.fileRevision, c.logNext, c.logFailing, c.logWaiting,
		c.workersHeld, c.running, c.queued, c.packedRatio, c.starts, c.lost, c.duplicates,
	} {
		out <- d
	}
}

// Collect sends the value of each metric.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	var s status.Process
	counts := map[routing.CountKey]int64{}
	ok := c.loop.Query(func(now time.Time, core *core.Core) {
		s = core.Status(now)
		for key, n := range core.Counts() {
			counts[key] = n
		}
	})
	if !ok {
		return
	}
	for key, n := range counts {
		out <- counter(c.requests, n, key.Pool, key.Class, string(key.Verdict), strconv.Itoa(key.Status))
	}
	c.collectLog(out, s)
	c.collectPools(out, s.Pools)
	c.collectShards(out, s.Shards)
}

func (c *collector) collectLog(out chan<- prometheus.Metric, s status.Process) {
	for _, f := range s.Files {
		out <- gauge(c.fileRevision, float64(f.Revision), f.Name)
	}
	out <- gauge(c.logNext, float64(s.Log.Next))
	out <- gauge(c.logFailing, boolToFloat(s.Log.ReadFailing != ""), "read")
	out <- gauge(c.logFailing, boolToFloat(s.Log.AppendFailing != ""), "append")
	out <- gauge(c.logWaiting, float64(s.Log.Waiting))
}

func (c *collector) collectPools(out chan<- prometheus.Metric, pools []status.Pool) {
	for _, p := range pools {
		ejected := 0
		for _, t := range p.Targets {
			if t.Ejected {
				ejected++
			}
		}
		out <- gauge(c.inflight, float64(p.Inflight), p.Name)
		out <- gauge(c.slots, float64(p.Slots), p.Name)
		out <- gauge(c.ejected, float64(ejected), p.Name)
		for _, k := range p.Classes {
			out <- gauge(c.waiting, float64(k.Waiting), p.Name, k.Name)
		}
	}
}

func (c *collector) collectShards(out chan<- prometheus.Metric, shards []status.Shard) {
	for _, s := range shards {
		out <- gauge(c.workersHeld, float64(s.Held), s.ID)
		out <- gauge(c.running, float64(s.Running), s.ID)
		out <- gauge(c.queued, float64(s.Waiting), s.ID)
		out <- gauge(c.packedRatio, s.Packed, s.ID)
		out <- counter(c.starts, s.Starts, s.ID)
		out <- counter(c.lost, s.Lost, s.ID)
		out <- counter(c.duplicates, s.Duplicates, s.ID)
	}
}

func gauge(d *prometheus.Desc, v float64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
}

func counter(d *prometheus.Desc, v int64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
