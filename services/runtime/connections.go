// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package runtime

import (
	"net/http"
	"time"

	"saddlevane/modules/conntrack"
	"saddlevane/modules/httpclient"

	"github.com/sirupsen/logrus"
)

// Connections bounds the open connections of the adapters.
type Connections struct {
	// Unused is how long one is kept that carries no call.
	Unused time.Duration
	// Answer is how long the answer to a call that may be made again may be overdue.
	Answer time.Duration
}

const (
	// dialWithin bounds the opening of a connection.
	dialWithin = time.Second
	// connsPerHost bounds the unused connections kept to one service.
	connsPerHost = 4
)

// client returns a client for one sort of service.
func (l *Loop) client(to string, c Connections, perHost int) *http.Client {
	return httpclient.New(httpclient.Settings{
		To: to, Dial: dialWithin, Unused: c.Unused, Answer: c.Answer, PerHost: perHost, Now: l.now, Reports: l.reports(),
	})
}

// reports logs what happens to connections.
func (l *Loop) reports() httpclient.Reports {
	return httpclient.Reports{Unanswered: l.unanswered, GivenUp: l.givenUp, Again: l.again}
}

// unanswered logs a call that ran out of its time without an answer.
func (l *Loop) unanswered(u conntrack.Unanswered) {
	l.log.WithFields(logrus.Fields{
		"to": u.To, "address": u.Address, "call": u.Call, "reused": u.Reused, "waited": u.Waited.String(),
		"open_for": u.OpenFor.String(), "heard_ago": u.HeardAgo.String(),
	}).Debug("a call had no answer")
}

// givenUp logs that connections were given up because a call had no answer.
func (l *Loop) givenUp(g conntrack.GivenUp) {
	l.log.WithFields(logrus.Fields{
		"to": g.To, "address": g.Address, "count": g.Count, "heard_ago": g.HeardAgo.String(),
	}).Info("connections were given up")
}

// again logs a call that was made again.
func (l *Loop) again(a httpclient.Again) {
	l.log.WithFields(logrus.Fields{
		"to": a.To, "address": a.Address, "call": a.Call, "answered_on": string(a.Answered), "took": a.Took.String(),
	}).Debug("a call was made again")
}
