// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"fmt"
	"time"

	"saddlevane/models/exchange"

	"github.com/prometheus/client_golang/prometheus"
)

// work is what the event loop spends its time on: an event that it handles, a decision, or an effect
// that it carries out. It is a label of metrics.
type work string

// The kinds of events.
const (
	workSubmit   work = "submit"
	workCall     work = "call"
	workRenewal  work = "renewal"
	workEnds     work = "ends"
	workStart    work = "start"
	workStop     work = "stop"
	workThrottle work = "throttle"
	workAdvice   work = "advice"
	workAppend   work = "append"
	workTick     work = "tick"
	workQuery    work = "query"
	workOther    work = "other"
)

// The kinds of decisions: with a plan, and without one.
const (
	workPlan     work = "plan"
	workDecision work = "decision"
)

// The kinds of effects.
const (
	workSendRenewal work = "send_renewal"
	workSendStart   work = "send_start"
	workSendOrder   work = "send_other_order"
	workSendAdvice  work = "send_advice"
	workSendAppend  work = "send_append"
	workReply       work = "reply"
	workLogLine     work = "log_line"
	workOtherEffect work = "other_effect"
)

// allWork lists all values of work.
var allWork = []work{
	workSubmit, workCall, workRenewal, workEnds, workStart, workStop, workThrottle, workAdvice, workAppend, workTick, workQuery, workOther,
	workPlan, workDecision,
	workSendRenewal, workSendStart, workSendOrder, workSendAdvice, workSendAppend, workReply, workLogLine, workOtherEffect,
}

// eventWork returns the kind of an event. Answers to renewals that report ends of runs are a kind of
// their own, because each end causes further work.
func eventWork(e exchange.Event) work {
	switch e := e.(type) {
	case exchange.Submitted:
		return workSubmit
	case exchange.CancelAsked, exchange.StateAsked, exchange.ExplanationAsked, exchange.CountAsked:
		return workCall
	case exchange.RenewEnded:
		if len(e.Report.Ended) > 0 {
			return workEnds
		}
		return workRenewal
	case exchange.StartEnded:
		return workStart
	case exchange.StopEnded:
		return workStop
	case exchange.ThrottleEnded:
		return workThrottle
	case exchange.Advised:
		return workAdvice
	case exchange.AppendEnded:
		return workAppend
	default:
		return workOther
	}
}

// effectWork returns the kind of an effect.
func effectWork(e exchange.Effect) work {
	switch e.(type) {
	case exchange.Renew:
		return workSendRenewal
	case exchange.StartRun:
		return workSendStart
	case exchange.StopRun, exchange.ThrottleRun:
		return workSendOrder
	case exchange.Advise:
		return workSendAdvice
	case exchange.Append:
		return workSendAppend
	case exchange.Reply:
		return workReply
	case exchange.LogEvent:
		return workLogLine
	default:
		return workOtherEffect
	}
}

// workCount counts one kind of work: since the process started in the metrics, and since the last
// log line about load in count and took.
type workCount struct {
	total, seconds prometheus.Counter
	count          int
	took           time.Duration
}

// loopWork counts the work of the event loop, by kind. Only the goroutine of Loop.run uses it.
type loopWork map[work]*workCount

// newLoopWork returns counts for all kinds of work, so that recording needs no allocation.
func newLoopWork(m *Metrics) loopWork {
	all := loopWork{}
	for _, w := range allWork {
		all[w] = &workCount{total: m.loopWork.WithLabelValues(string(w)), seconds: m.loopSeconds.WithLabelValues(string(w))}
	}
	return all
}

// record counts a piece of work and the time that it took.
func (l loopWork) record(w work, took time.Duration) {
	c := l[w]
	c.count++
	c.took += took
	c.total.Inc()
	// A counter cannot be reduced.
	c.seconds.Add(max(0, took.Seconds()))
}

// takeLogFields returns the fields of the log line about load and resets the counts of the line.
func (l loopWork) takeLogFields() []exchange.LogField {
	counts, times := map[work]int{}, map[work]time.Duration{}
	busy := time.Duration(0)
	for w, c := range l {
		if c.count > 0 {
			counts[w], times[w] = c.count, c.took.Round(time.Microsecond)
		}
		busy += c.took
		c.count, c.took = 0, 0
	}
	return []exchange.LogField{
		{Name: "busy", Value: busy.String()},
		{Name: "work", Value: fmt.Sprint(counts)},
		{Name: "work_took", Value: fmt.Sprint(times)},
	}
}
