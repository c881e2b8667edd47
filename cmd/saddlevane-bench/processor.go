// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/services/overload"
)

// processorCosts are the costs of what the holder's process does, on a processor of speed 1.
type processorCosts struct {
	// speed divides all costs.
	speed float64
	// message is the cost of an order to a worker or of its result outside the reducer, submission that
	// of a submission with its reply, logLine that of a log line.
	message, submission, logLine time.Duration
	// event is the cost of an event in the reducer, pass that of a decision with a plan. If they are 0,
	// the real time of the reducer is charged.
	event, pass time.Duration
}

// cause is what the processor works for.
type cause string

const (
	causeRenewals    cause = "renewals"
	causeEnds        cause = "ends"
	causeStarts      cause = "starts"
	causeSubmissions cause = "submissions"
	causePasses      cause = "passes"
	causeDecisions   cause = "other decisions"
	causeAdvice      cause = "advice"
	causeTicks       cause = "ticks"
	causeAppends     cause = "appends"
	causeLogLines    cause = "log lines"
	causeOther       cause = "other"
)

// allCauses lists the causes in the order of the tables.
var allCauses = []cause{causeRenewals, causeEnds, causeStarts, causeSubmissions, causePasses, causeDecisions, causeAdvice, causeTicks, causeAppends, causeLogLines, causeOther}

// eventCost returns what an event is for and its cost outside the reducer.
func (p processorCosts) eventCost(e exchange.Event) (cause, time.Duration) {
	switch e := e.(type) {
	case exchange.Submitted:
		return causeSubmissions, p.submission
	case exchange.RenewEnded:
		if len(e.Report.Ended) > 0 {
			return causeEnds, p.message
		}
		return causeRenewals, p.message
	case exchange.StartEnded:
		return causeStarts, p.message
	case exchange.Advised:
		return causeAdvice, p.message
	case exchange.AppendEnded:
		return causeAppends, p.message
	case exchange.Tick:
		return causeTicks, 0
	case exchange.StopEnded:
		return causeOther, p.message
	default:
		return causeOther, 0
	}
}

// effectCost returns what an effect is for and its cost.
func (p processorCosts) effectCost(e exchange.Effect) (cause, time.Duration) {
	switch e.(type) {
	case exchange.Renew:
		return causeRenewals, p.message
	case exchange.StartRun:
		return causeStarts, p.message
	case exchange.Advise:
		return causeAdvice, p.message
	case exchange.Append:
		return causeAppends, p.message
	case exchange.StopRun:
		return causeOther, p.message
	case exchange.LogEvent:
		return causeLogLines, p.logLine
	default:
		return causeOther, 0
	}
}

// maxGroup bounds the events that are handled before one decision.
const maxGroup = 4096

// arrival is an event that waits for the processor, and when it arrived.
type arrival struct {
	event exchange.Event
	at    time.Time
}

// processor simulates the only processor of the box that holds the cell. Events wait for it in a
// queue. Like the event loop of the process, it handles all events that wait, decides, and carries
// out the effects; each of these steps takes its cost in virtual time.
type processor struct {
	cell  *simCell
	costs processorCosts
	queue []arrival
	// working is set while it does anything, handled is the number of events since the last decision.
	working    bool
	handled    int
	tickQueued bool
	gate       overload.Gate
	usage      processorUsage
}

// processorUsage is what a processor has done.
type processorUsage struct {
	// worked is the time by cause, count the number of events and effects.
	worked map[cause]time.Duration
	count  map[cause]int
	// maxQueued is the largest number of waiting events, refused the number of refused submissions.
	maxQueued, refused int
	// submitWaits are the times that submissions waited in the queue.
	submitWaits []time.Duration
}

func newProcessorUsage() processorUsage {
	return processorUsage{worked: map[cause]time.Duration{}, count: map[cause]int{}}
}

// busy returns the time for all causes.
func (u processorUsage) busy() time.Duration {
	all := time.Duration(0)
	for _, d := range u.worked {
		all += d
	}
	return all
}

// enqueue adds an event to the queue. Like those of a ticker, ticks are dropped while one waits.
func (p *processor) enqueue(e exchange.Event) {
	if _, tick := e.(exchange.Tick); tick {
		if p.tickQueued {
			return
		}
		p.tickQueued = true
	}
	p.queue = append(p.queue, arrival{event: e, at: p.cell.now})
	p.usage.maxQueued = max(p.usage.maxQueued, len(p.queue))
	if !p.working {
		p.working = true
		p.next()
	}
}

// charge records work and returns the virtual time that it takes.
func (p *processor) charge(c cause, cost time.Duration) time.Duration {
	cost = time.Duration(float64(cost) / p.costs.speed)
	p.usage.worked[c] += cost
	p.usage.count[c]++
	return cost
}

// next handles the next waiting event, or decides if there is none or the group is complete.
func (p *processor) next() {
	if len(p.queue) == 0 || p.handled >= maxGroup {
		p.decide()
		return
	}
	a := p.queue[0]
	p.queue = p.queue[1:]
	p.handled++
	c, cost := p.costs.eventCost(a.event)
	cost += p.reducerCost(p.costs.event, func() { p.cell.core.Handle(p.cell.now, p.admit(a)) })
	p.cell.schedule(p.charge(c, cost), p.next)
}

// reducerCost runs a part of the reducer and returns its cost: the given one, or the real time if
// that is 0.
func (p *processor) reducerCost(fixed time.Duration, run func()) time.Duration {
	startedAt := time.Now()
	run()
	took := time.Since(startedAt)
	p.cell.decideTime += took
	if fixed > 0 {
		return fixed
	}
	return took
}

// admit applies the gate of an overloaded holder to an event that is about to be handled.
func (p *processor) admit(a arrival) exchange.Event {
	now := p.cell.now
	p.gate.RecordQueueAge(now.Sub(a.at))
	switch e := a.event.(type) {
	case exchange.Tick:
		p.tickQueued = false
		p.gate.RecordResponseTime(p.cell.core.WorkerAnswerTime(now))
		p.gate.Update(now)
	case exchange.Submitted:
		p.usage.submitWaits = append(p.usage.submitWaits, now.Sub(a.at))
		if ok, after := p.gate.Admit(now, string(e.Submission.ID)); !ok {
			p.usage.refused++
			e.RetryAfter = after
		}
		return e
	}
	return a.event
}

// decide has the reducer decide and carries out the effects.
func (p *processor) decide() {
	p.handled = 0
	plans := p.cell.core.PlanCount()
	var effects []exchange.Effect
	cost := p.reducerCost(p.costs.event, func() { effects = p.cell.core.Decide(p.cell.now) })
	c := causeDecisions
	if p.cell.core.PlanCount() != plans {
		c = causePasses
		cost = max(cost, p.costs.pass)
	}
	took := p.charge(c, cost)
	p.cell.schedule(took, func() {
		if c == causePasses {
			p.cell.core.Handle(p.cell.now, exchange.Decided{Took: took})
		}
		p.carryOut(effects)
	})
}

// carryOut carries out effects one after the other, and then goes on with the queue.
func (p *processor) carryOut(effects []exchange.Effect) {
	for i, e := range effects {
		c, cost := p.costs.effectCost(e)
		if cost == 0 {
			p.cell.execute(e)
			continue
		}
		p.cell.schedule(p.charge(c, cost), func() {
			p.cell.execute(e)
			p.carryOut(effects[i+1:])
		})
		return
	}
	if len(p.queue) == 0 {
		p.working = false
		return
	}
	p.next()
}
