// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package runtime

import (
	"net/http"
	"time"

	"saddlevane/modules/conntrack"
	"saddlevane/modules/httpclient"
	"saddlevane/modules/peering"

	"github.com/sirupsen/logrus"
)

// Connections holds the timeouts of the adapters' open connections.
type Connections struct {
	// ProbeAfter is how long a link to another entry box may receive nothing before it is probed.
	ProbeAfter time.Duration
	// AnswerTimeout is how long the response to a probe may take, and how long the response to a
	// retryable call may be overdue before the call is retried.
	AnswerTimeout time.Duration
	// IdleTimeout is how long an idle connection to a service is kept.
	IdleTimeout time.Duration
}

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// maxIdleConnsPerHost is the maximum number of idle connections kept to one service.
	maxIdleConnsPerHost = 4
)

// newClient returns an HTTP client for one kind of service, which log messages and metrics name as
// to. It keeps at most perHost idle connections to each address.
func (l *Loop) newClient(to string, c Connections, perHost int) *http.Client {
	return httpclient.New(httpclient.Settings{
		To: to, DialTimeout: dialTimeout, IdleTimeout: c.IdleTimeout, MinOverdue: c.AnswerTimeout, MaxIdlePerHost: perHost, Now: l.now, Hooks: l.connectionHooks(),
	})
}

// connectionHooks returns hooks that log timeouts, discarded connections and retries.
func (l *Loop) connectionHooks() httpclient.Hooks {
	return httpclient.Hooks{OnUnanswered: l.logUnanswered, OnDiscard: l.logDiscardedConnections, OnRetry: l.logRetriedCall}
}

// logUnanswered logs a call that timed out without a response.
func (l *Loop) logUnanswered(u conntrack.Unanswered) {
	l.log.WithFields(logrus.Fields{
		"to": u.To, "address": u.Address, "call": u.Call, "reused": u.Reused, "waited": u.Waited.String(),
		"open_for": u.OpenFor.String(), "heard_ago": u.SilentFor.String(),
	}).Debug("a call was not answered")
}

// logDiscardedConnections logs that connections were discarded because a call had no response.
func (l *Loop) logDiscardedConnections(d conntrack.Discarded) {
	l.log.WithFields(logrus.Fields{
		"to": d.To, "address": d.Address, "count": d.Count, "heard_ago": d.SilentFor.String(),
	}).Info("connections were discarded")
}

// logRetriedCall logs a call that was retried.
func (l *Loop) logRetriedCall(r httpclient.RetriedCall) {
	l.log.WithFields(logrus.Fields{
		"to": r.To, "address": r.Address, "call": r.Call, "answered_on": string(r.AnsweredOn), "took": r.Took.String(),
	}).Debug("a call was retried")
}

// logDiscardedLink logs a link to another entry box that was discarded as unresponsive.
func (l *Loop) logDiscardedLink(d peering.Discarded) {
	l.log.WithFields(logrus.Fields{
		"address": d.Address, "reason": d.Reason, "open_for": d.OpenFor.String(), "heard_ago": d.SilentFor.String(), "calls": d.Calls,
	}).Info("a link to an entry box was discarded")
}

// logAcceptFailure logs that a connection from another entry box could not be accepted.
func (l *Loop) logAcceptFailure(err error) {
	l.log.WithError(err).Warning("connection of an entry box could not be accepted")
}
