// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"saddlevane/models/exchange"
	"saddlevane/modules/conntrack"
	"saddlevane/modules/httpclient"
	"saddlevane/modules/peering"
)

// reasonNoAnswer is the reason for closing connections that is reported in metrics and logs:
// a call on one of them had no answer.
const reasonNoAnswer = "no answer"

// ConnectionsDiscarded counts connections that were closed because a call had no answer. It logs
// them if more than the connection of that call was closed.
func (l *Loop) ConnectionsDiscarded(g conntrack.Discarded) {
	l.metrics.connectionsDiscarded.WithLabelValues(g.To, reasonNoAnswer).Add(float64(g.Count))
	if g.Count < 2 {
		return
	}
	l.logWriter.write(exchange.LogEvent{Message: "connections were discarded", Fields: []exchange.LogField{
		{Name: "to", Value: g.To},
		{Name: "address", Value: g.Address},
		{Name: "count", Value: g.Count},
		{Name: "reason", Value: reasonNoAnswer},
		{Name: "heard_ago", Value: g.SilentFor.String()},
	}})
}

// CallRetried logs and counts a call that was retried on another connection.
func (l *Loop) CallRetried(r httpclient.RetriedCall) {
	l.metrics.callsRetried.WithLabelValues(r.To, string(r.AnsweredOn)).Inc()
	l.logWriter.write(exchange.LogEvent{Message: "a call was retried", Fields: []exchange.LogField{
		{Name: "to", Value: r.To},
		{Name: "address", Value: r.Address},
		{Name: "call", Value: r.Call},
		{Name: "answered_on", Value: string(r.AnsweredOn)},
		{Name: "took", Value: r.Took.String()},
	}})
}

// ConnectionsChanged adds delta to the number of open connections to a kind of service.
func (l *Loop) ConnectionsChanged(to string, delta int) {
	l.metrics.connectionsOpen.WithLabelValues(to).Add(float64(delta))
}

// CallUnanswered logs and counts a call that timed out without an answer. The log line includes
// how long nothing had been received on the connection, which distinguishes a silent connection
// from a slow service.
func (l *Loop) CallUnanswered(u conntrack.Unanswered) {
	l.metrics.recordUnanswered(u)
	l.logWriter.write(exchange.LogEvent{Message: "a call was not answered", Fields: []exchange.LogField{
		{Name: "to", Value: u.To},
		{Name: "address", Value: u.Address},
		{Name: "call", Value: u.Call},
		{Name: "reused", Value: u.Reused},
		{Name: "waited", Value: u.Waited.String()},
		{Name: "open_for", Value: u.OpenFor.String()},
		{Name: "heard_ago", Value: u.SilentFor.String()},
	}})
}

// linkDiscarded logs and counts a link to another entry box that was closed because it was silent.
func (l *Loop) linkDiscarded(g peering.Discarded) {
	l.metrics.recordDiscardedLink(g.To, string(g.Reason))
	l.logWriter.write(exchange.LogEvent{Message: "a link to an entry box was discarded", Fields: []exchange.LogField{
		{Name: "address", Value: g.Address},
		{Name: "reason", Value: g.Reason},
		{Name: "open_for", Value: g.OpenFor.String()},
		{Name: "heard_ago", Value: g.SilentFor.String()},
		{Name: "calls", Value: g.Calls},
	}})
}

// linkNotAccepted logs why a connection from another entry box could not be accepted.
func (l *Loop) linkNotAccepted(err error) {
	l.logWriter.write(exchange.LogEvent{Message: "connection of an entry box could not be accepted", Fields: []exchange.LogField{{Name: "problem", Value: err.Error()}}})
}
