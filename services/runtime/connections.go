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

// Connections bounds the open connections of the adapters.
type Connections struct {
	// Probe is how long nothing may have come over a link to another entry box before it
	// is probed.
	ProbeAfter time.Duration
	// Answer is how long the answer to a probe may take, and how long that to a call that
	// may be made again may be overdue.
	AnswerTimeout time.Duration
	// Unused is how long a connection to a service is kept that carries no call.
	IdleTimeout time.Duration
}

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// maxIdleConnsPerHost bounds the unused connections kept to one service.
	maxIdleConnsPerHost = 4
)

// newClient returns a client for one sort of service.
func (l *Loop) newClient(to string, c Connections, perHost int) *http.Client {
	return httpclient.New(httpclient.Settings{
		To: to, DialTimeout: dialTimeout, IdleTimeout: c.IdleTimeout, MinOverdue: c.AnswerTimeout, MaxIdlePerHost: perHost, Now: l.now, Hooks: l.connectionHooks(),
	})
}

// connectionHooks logs what happens to connections.
func (l *Loop) connectionHooks() httpclient.Hooks {
	return httpclient.Hooks{OnUnanswered: l.logUnanswered, OnDiscard: l.logConnectionsGivenUp, OnRetry: l.logRepeatedCall}
}

// logUnanswered logs a call that ran out of its time without an answer.
func (l *Loop) logUnanswered(u conntrack.Unanswered) {
	l.log.WithFields(logrus.Fields{
		"to": u.To, "address": u.Address, "call": u.Call, "reused": u.Reused, "waited": u.Waited.String(),
		"open_for": u.OpenFor.String(), "heard_ago": u.SilentFor.String(),
	}).Debug("a call had no answer")
}

// logConnectionsGivenUp logs that connections were given up because a call had no answer.
func (l *Loop) logConnectionsGivenUp(g conntrack.Discarded) {
	l.log.WithFields(logrus.Fields{
		"to": g.To, "address": g.Address, "count": g.Count, "heard_ago": g.SilentFor.String(),
	}).Info("connections were given up")
}

// logRepeatedCall logs a call that was made again.
func (l *Loop) logRepeatedCall(a httpclient.RetriedCall) {
	l.log.WithFields(logrus.Fields{
		"to": a.To, "address": a.Address, "call": a.Call, "answered_on": string(a.AnsweredOn), "took": a.Took.String(),
	}).Debug("a call was made again")
}

// logLinkGivenUp logs a link to another entry box that was given up as silent.
func (l *Loop) logLinkGivenUp(g peering.Discarded) {
	l.log.WithFields(logrus.Fields{
		"address": g.Address, "reason": g.Reason, "open_for": g.OpenFor.String(), "heard_ago": g.SilentFor.String(), "calls": g.Calls,
	}).Info("a link to an entry box was given up")
}

// logAcceptFailure logs why a connection of another entry box could not be accepted.
func (l *Loop) logAcceptFailure(err error) {
	l.log.WithError(err).Warning("a link could not be accepted")
}
