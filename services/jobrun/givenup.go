// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"saddlevane/modules/peering"
	"saddlevane/services/dispatch"
)

// givenUp logs and counts a link to another entry box that was given up as silent.
func (l *Loop) givenUp(g peering.GivenUp) {
	l.metrics.connectionGivenUp(g.To, string(g.Reason))
	l.notes.write(dispatch.Note{Message: "a link to an entry box was given up", Fields: []dispatch.Field{
		{Name: "address", Value: g.Address},
		{Name: "reason", Value: g.Reason},
		{Name: "open_for", Value: g.OpenFor.String()},
		{Name: "heard_ago", Value: g.HeardAgo.String()},
		{Name: "calls", Value: g.Calls},
	}})
}

// notAccepted logs why a connection of another entry box could not be accepted.
func (l *Loop) notAccepted(err error) {
	l.notes.write(dispatch.Note{Message: "a link could not be accepted", Fields: []dispatch.Field{{Name: "problem", Value: err.Error()}}})
}
