// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/stream"
	"saddlevane/modules/conntrack"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Metrics holds the metrics of a process. All label sets are bounded: their values are constants of
// the code, or the names of at most maxWorkspaceMetrics workspaces.
type Metrics struct {
	registry *prometheus.Registry
	calls    *prometheus.CounterVec
	callTime *prometheus.HistogramVec
	orders   *prometheus.CounterVec
	ends     *prometheus.CounterVec
	appends  *prometheus.CounterVec
	logTime  *prometheus.HistogramVec
	// logReads counts reads of the log, by stream, whether this box has read the log itself or
	// through another box, and result.
	logReads *prometheus.CounterVec
	advice   *prometheus.CounterVec
	// unanswered counts calls that timed out, by destination.
	unanswered *prometheus.CounterVec
	// callsRetried counts retried calls, by destination and by which attempt was answered.
	callsRetried *prometheus.CounterVec
	// connectionsDiscarded counts connections that were closed as silent, by destination.
	connectionsDiscarded *prometheus.CounterVec
	connectionsOpen      *prometheus.GaugeVec
	// bytes counts transferred bytes, by destination and direction.
	bytes *prometheus.CounterVec
	// queueWait is how long events wait in the loop's queue.
	queueWait prometheus.Histogram
	// submitWait is how long submissions wait in that queue, queuedEvents how many events wait in
	// it before a group of them is handled.
	submitWait, queuedEvents prometheus.Histogram
	// loopWork counts what the loop does and loopSeconds the time that it takes, by kind of work.
	loopWork, loopSeconds *prometheus.CounterVec
	// passTime is the time of a placement pass.
	passTime prometheus.Histogram
	// overloadRefusals counts submissions to which applyOverload has set RetryAfter.
	overloadRefusals prometheus.Counter
	// tasksLost counts tasks that were lost with their workers, by how the workers ended.
	// lostWorkTime adds up how long those tasks had been running, in seconds.
	tasksLost, lostWorkTime *prometheus.CounterVec
	// missingWorkers counts missing workers by what became of them.
	missingWorkers *prometheus.CounterVec
	// jobsGivenUp counts jobs that were given up because workers crashed while running one of
	// their tasks. crashesBlamed counts these crashes.
	jobsGivenUp, crashesBlamed prometheus.Counter
	// entriesRefused counts entries of the list of workers that do not describe a worker.
	entriesRefused prometheus.Counter
	// evacuations is the number of failure domains that are evacuated. evacuationsRefused counts the
	// requests that could not be decoded or that name a domain without workers.
	evacuations        prometheus.Gauge
	evacuationsRefused prometheus.Counter
	// refusedCalls counts calls that this box has refused without forwarding them.
	refusedCalls *prometheus.CounterVec
	// workspaces holds the usage and the caps of the workspaces with the largest weights.
	workspaces *prometheus.GaugeVec
	// jobsOverShare counts new jobs that exceeded their workspace's share.
	jobsOverShare *prometheus.CounterVec
	// forecastError is the forecast wait of accepted jobs beyond their share less the actual one.
	forecastError *prometheus.HistogramVec
}

// callBuckets range, in seconds, from an answer that needs only memory to the longest deadline of a
// call.
var callBuckets = []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 3}

// queueBuckets range, in events, from a queue of one to a full one.
var queueBuckets = []float64{1, 4, 16, 64, 256, 1024, eventQueueSize}

// forecastBuckets range, in seconds, from forecasts that are too short to ones that are too long.
var forecastBuckets = []float64{-5, -2, -1, -0.5, -0.2, -0.1, 0, 0.1, 0.2, 0.5, 1, 2, 5}

// newMetrics returns the metrics of a process, registered in a registry of their own.
func newMetrics() *Metrics {
	m := &Metrics{
		registry:             prometheus.NewRegistry(),
		calls:                counter("job_calls_total", "Callers' calls about jobs, by what they ask and how they ended.", "call", "outcome"),
		callTime:             histogram("job_call_seconds", "Time to answer a caller's call about a job.", "call"),
		orders:               counter("worker_orders_total", "Orders to workers, by kind and fate.", "order", "fate"),
		ends:                 counter("task_ends_reported_total", "Ends that workers reported, repeats included.", "how"),
		appends:              counter("log_appends_total", "Appends to the log, by purpose and result.", "purpose", "result"),
		logTime:              histogram("log_append_seconds", "Time of an append to the log.", "purpose"),
		logReads:             counter("log_reads_total", "Reads of the log, by stream, by whether the log or another box was asked, and by result.", "stream", "from", "result"),
		advice:               counter("advice_calls_total", "Calls for advice, by result.", "result"),
		unanswered:           counter("calls_unanswered_total", "Calls that ran out of their time, by what was called and whether the connection had carried earlier calls.", "to", "connection"),
		callsRetried:         counter("calls_made_again_total", "Calls that were made again on a new connection, by what was called and on which connection they were answered.", "to", "answered"),
		connectionsDiscarded: counter("connections_given_up_total", "Open connections that were closed because they were silent, by what they lead to and why.", "to", "reason"),
		connectionsOpen: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "saddlevane_connections_open", Help: "Open connections, by what they lead to.",
		}, []string{"to"}),
		bytes: counter("bytes_total", "Bytes that passed on connections, by what they lead to and their direction.", "to", "direction"),
		queueWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "saddlevane_loop_wait_seconds", Help: "Time that events wait for the loop.", Buckets: callBuckets,
		}),
		passTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "saddlevane_plan_seconds", Help: "Time of one plan over the open steps.", Buckets: callBuckets,
		}),
		overloadRefusals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "saddlevane_jobs_refused_behind_total", Help: "New jobs that were refused because the holder was behind with its work.",
		}),
	}
	m.submitWait = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "saddlevane_loop_submit_wait_seconds", Help: "Time that submissions wait for the loop.", Buckets: callBuckets,
	})
	m.queuedEvents = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "saddlevane_loop_queued_events", Help: "Events that wait for the loop when it handles the next ones.", Buckets: queueBuckets,
	})
	m.loopWork = counter("loop_work_total", "What the loop has done: events handled, decisions made and effects carried out.", "work")
	m.loopSeconds = counter("loop_work_seconds_total", "Time that the loop has spent, by what it did.", "work")
	m.registry.MustRegister(m.submitWait, m.queuedEvents, m.loopWork, m.loopSeconds, collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.refusedCalls = counter("calls_refused_total", "Calls that were refused by the box that took them, by why.", "outcome")
	m.workspaces = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "saddlevane_workspace", Help: "What the tasks of a workspace take and may take, and its steps that wait; only at the holder.",
	}, []string{"workspace", "of"})
	m.jobsOverShare = counter("jobs_beyond_share_total", "New jobs that were more than their workspace's share, by what became of them.", "outcome")
	m.forecastError = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "saddlevane_wait_forecast_error_seconds", Help: "Forecast less actual wait of jobs that were more than their workspace's share, by queue.",
		Buckets: forecastBuckets,
	}, []string{"queue"})
	m.tasksLost = counter("tasks_lost_total", "Tasks that were lost with their workers, by how those ended.", "worker")
	m.lostWorkTime = counter("tasks_lost_worked_seconds_total", "How long tasks that were lost with their workers had been at work, by how those ended.", "worker")
	m.missingWorkers = counter("missing_workers_total", "Workers that were neither reached nor listed when their leases expired, by what became of them.", "outcome")
	m.jobsGivenUp = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "saddlevane_jobs_given_up_crashes_total", Help: "Jobs that were given up because workers crashed under a task of them.",
	})
	m.crashesBlamed = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "saddlevane_worker_crashes_blamed_total", Help: "Crashes of workers under tasks whose jobs were given up for it.",
	})
	m.entriesRefused = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "saddlevane_worker_entries_refused_total", Help: "Entries of the list of workers that name no worker, as they changed.",
	})
	m.evacuations = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "saddlevane_domains_evacuated", Help: "Failure domains on whose workers no task is started, as operators have asked.",
	})
	m.evacuationsRefused = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "saddlevane_evacuations_refused_total", Help: "Requests to evacuate a failure domain that cannot be read or that name a domain without workers.",
	})
	m.registry.MustRegister(m.evacuations, m.evacuationsRefused, m.refusedCalls, m.workspaces, m.jobsOverShare, m.forecastError, m.entriesRefused, m.tasksLost, m.lostWorkTime, m.missingWorkers, m.jobsGivenUp, m.crashesBlamed, collectors.NewGoCollector(), m.calls, m.callTime, m.orders, m.ends, m.appends, m.logTime, m.logReads, m.advice, m.unanswered,
		m.callsRetried, m.connectionsDiscarded, m.connectionsOpen, m.bytes, m.queueWait, m.passTime, m.overloadRefusals)
	return m
}

// counter returns a counter with the prefix of all metrics of this program.
func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "saddlevane_" + name, Help: help}, labels)
}

// histogram returns a histogram with callBuckets and the prefix of all metrics of this program.
func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "saddlevane_" + name, Help: help, Buckets: callBuckets}, labels)
}

// Gatherer returns the gatherer that the metrics endpoint serves.
func (m *Metrics) Gatherer() prometheus.Gatherer { return m.registry }

// registerQueueLength adds a gauge of the events that wait for the loop at present.
func (m *Metrics) registerQueueLength(length func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "saddlevane_loop_queued", Help: "Events that wait for the loop at present.",
	}, func() float64 { return float64(length()) }))
}

// recordCall counts a caller's call and records its duration.
func (m *Metrics) recordCall(call string, outcome exchange.Outcome, took time.Duration) {
	m.calls.WithLabelValues(call, string(outcome)).Inc()
	m.callTime.WithLabelValues(call).Observe(took.Seconds())
}

// recordOrder counts an order to a worker by its outcome.
func (m *Metrics) recordOrder(kind string, a order.Answer) {
	m.orders.WithLabelValues(kind, string(a.Outcome)).Inc()
}

// recordLostTasks counts tasks that were lost with their worker and adds up how long they had been
// running.
func (m *Metrics) recordLostTasks(e exchange.TasksLost) {
	m.tasksLost.WithLabelValues(string(e.Ending)).Add(float64(e.Tasks))
	m.lostWorkTime.WithLabelValues(string(e.Ending)).Add(e.Worked.Seconds())
}

// recordResolution counts a missing worker by what became of it.
func (m *Metrics) recordResolution(e exchange.MissingWorkerResolved) {
	outcome := "alive"
	if e.Crashed {
		outcome = "crashed"
	}
	m.missingWorkers.WithLabelValues(outcome).Inc()
}

// recordEvacuations sets the number of evacuated domains and counts refused requests.
func (m *Metrics) recordEvacuations(e exchange.Evacuations) {
	m.evacuations.Set(float64(e.InForce))
	m.evacuationsRefused.Add(float64(e.Refused))
}

// recordEnd counts a reported end of a run.
func (m *Metrics) recordEnd(how order.EndStatus) { m.ends.WithLabelValues(string(how)).Inc() }

// recordAppend counts an append to the log by its result and records its duration.
func (m *Metrics) recordAppend(p exchange.Purpose, took time.Duration, err error) {
	m.appends.WithLabelValues(string(p), appendResult(err)).Inc()
	m.logTime.WithLabelValues(string(p)).Observe(took.Seconds())
}

// The sources of a read, as label values.
const (
	readFromLog = "log"
	readFromBox = "box"
)

// recordLogRead counts a read of a stream.
func (m *Metrics) recordLogRead(name stream.Name, from string, err error) {
	result := "done"
	if err != nil {
		result = "failed"
	}
	m.logReads.WithLabelValues(string(name), from, result).Inc()
}

// appendResult returns the label value for the result of an append.
func appendResult(err error) string {
	_, endMismatch := errors.AsType[*stream.EndMismatchError](err)
	switch {
	case err == nil:
		return "done"
	case endMismatch:
		return "moved"
	case errors.Is(err, stream.ErrFenced):
		return "fenced"
	case errors.Is(err, stream.ErrNotDone):
		return "not done"
	default:
		return "unknown"
	}
}

// maxWorkspaceMetrics is how many workspaces have metrics of their own; the others are added up.
// After two years of the expected growth there are 67 workspaces.
const maxWorkspaceMetrics = 100

// otherWorkspaces is the label of the sum of the other workspaces. No workspace has an empty name.
const otherWorkspaces = ""

// setWorkspaces replaces the metrics of the workspaces. The maxWorkspaceMetrics workspaces with
// the largest weights have metrics of their own.
func (m *Metrics) setWorkspaces(all []job.WorkspaceStatus) {
	all = slices.Clone(all)
	slices.SortStableFunc(all, func(a, b job.WorkspaceStatus) int { return cmp.Compare(b.Weight, a.Weight) })
	m.workspaces.Reset()
	for i, w := range all {
		name := w.Name
		if i >= maxWorkspaceMetrics {
			name = otherWorkspaces
		}
		for of, n := range map[string]float64{
			"processors": w.Used.Processors.Processors(), "processors_cap": w.Cap.Processors.Processors(),
			"memory_bytes": float64(w.Used.Memory), "memory_bytes_cap": float64(w.Cap.Memory),
			"steps_waiting": float64(w.Waiting), "steps_capped": float64(w.Capped),
			"weight": w.Weight, "share_entitled": w.Entitled, "share_in_use": w.InUse, "share_borrowed": w.Borrowed,
			"jobs_refused": float64(w.Refused),
		} {
			m.workspaces.WithLabelValues(name, of).Add(n)
		}
	}
}

// recordOverShare counts a new job that exceeded its workspace's share.
func (m *Metrics) recordOverShare(refused bool) {
	outcome := "taken"
	if refused {
		outcome = "refused"
	}
	m.jobsOverShare.WithLabelValues(outcome).Inc()
}

// recordForecast records the error of a forecast.
func (m *Metrics) recordForecast(e exchange.ForecastChecked) {
	m.forecastError.WithLabelValues(e.Queue).Observe(e.Error.Seconds())
}

// recordAdvice counts a call to the advice service by its result.
func (m *Metrics) recordAdvice(err error) {
	switch {
	case err == nil:
		m.advice.WithLabelValues("answered").Inc()
	case errors.Is(err, ErrAdviceBusy):
		m.advice.WithLabelValues("busy").Inc()
	default:
		m.advice.WithLabelValues("failed").Inc()
	}
}

// recordUnanswered counts a call that timed out.
func (m *Metrics) recordUnanswered(u conntrack.Unanswered) {
	connection := "new"
	if u.Reused {
		connection = "reused"
	}
	m.unanswered.WithLabelValues(u.To, connection).Inc()
}

// recordDiscardedLink counts a link to another entry box that was closed.
func (m *Metrics) recordDiscardedLink(to, reason string) {
	m.connectionsDiscarded.WithLabelValues(to, reason).Inc()
}

// recordBytes counts received (in) and sent (out) bytes.
func (m *Metrics) recordBytes(to string, in, out int) {
	if in > 0 {
		m.bytes.WithLabelValues(to, "in").Add(float64(in))
	}
	if out > 0 {
		m.bytes.WithLabelValues(to, "out").Add(float64(out))
	}
}
