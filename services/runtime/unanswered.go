// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package runtime

import (
	"saddlevane/modules/conntrack"
	"saddlevane/modules/peering"

	"github.com/sirupsen/logrus"
)

// unanswered logs a call that ran out of its time without an answer.
func (l *Loop) unanswered(u conntrack.Unanswered) {
	l.log.WithFields(logrus.Fields{
		"to": u.To, "address": u.Address, "call": u.Call, "reused": u.Reused, "waited": u.Waited.String(),
		"open_for": u.OpenFor.String(), "heard_ago": u.HeardAgo.String(),
	}).Debug("a call had no answer")
}

// givenUp logs a link to another entry box that was given up as silent.
func (l *Loop) givenUp(g peering.GivenUp) {
	l.log.WithFields(logrus.Fields{
		"address": g.Address, "reason": g.Reason, "open_for": g.OpenFor.String(), "heard_ago": g.HeardAgo.String(), "calls": g.Calls,
	}).Info("a link to an entry box was given up")
}

// notAccepted logs why a connection of another entry box could not be accepted.
func (l *Loop) notAccepted(err error) {
	l.log.WithError(err).Warning("a link could not be accepted")
}
