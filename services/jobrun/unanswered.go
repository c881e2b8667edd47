// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"saddlevane/modules/conntrack"
	"saddlevane/services/dispatch"
)

// Unanswered logs and counts a call that ran out of its time without an answer. How
// long nothing had come over its connection tells a silent connection from a slow
// service.
func (l *Loop) Unanswered(u conntrack.Unanswered) {
	l.metrics.unansweredCall(u)
	l.notes.write(dispatch.Note{Message: "a call had no answer", Fields: []dispatch.Field{
		{Name: "to", Value: u.To},
		{Name: "address", Value: u.Address},
		{Name: "call", Value: u.Call},
		{Name: "reused", Value: u.Reused},
		{Name: "waited", Value: u.Waited.String()},
		{Name: "open_for", Value: u.OpenFor.String()},
		{Name: "heard_ago", Value: u.HeardAgo.String()},
	}})
}
