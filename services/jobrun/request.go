// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"saddlevane/models/job"
	"saddlevane/services/dispatch"
)

// Request is one caller's wish about submitted jobs. Exactly one part is set.
type Request struct {
	Submit *job.Submission `json:"submit,omitempty"`
	Cancel job.ID          `json:"cancel,omitempty"`
	State  job.ID          `json:"state,omitempty"`
	Count  string          `json:"count,omitempty"`
	// Explain asks why a job is as it is.
	Explain job.ID `json:"explain,omitempty"`
	// Pledge asks not to claim while the holder has this claim.
	Pledge int64 `json:"pledge,omitempty"`
	// Invite asks to claim in place of the holder with this claim.
	Invite int64 `json:"invite,omitempty"`
}

// event returns the event that gives the wish to the reducer.
func (r Request) event(id dispatch.CallID) dispatch.Event {
	switch {
	case r.Submit != nil:
		return dispatch.Submitted{Call: id, Submission: *r.Submit}
	case r.Cancel != "":
		return dispatch.CancelAsked{Call: id, Job: r.Cancel}
	case r.State != "":
		return dispatch.StateAsked{Call: id, Job: r.State}
	case r.Explain != "":
		return dispatch.ExplanationAsked{Call: id, Job: r.Explain}
	case r.Pledge != 0:
		return dispatch.PledgeAsked{Call: id, Epoch: r.Pledge}
	case r.Invite != 0:
		return dispatch.InviteAsked{Call: id, Epoch: r.Invite}
	default:
		return dispatch.CountAsked{Call: id, Queue: r.Count}
	}
}

// kind names the wish, for counters and lines.
func (r Request) kind() string {
	switch {
	case r.Submit != nil:
		return "submit"
	case r.Cancel != "":
		return "cancel"
	case r.State != "":
		return "state"
	case r.Explain != "":
		return "explain"
	default:
		return "count"
	}
}

// job returns the ID of the job that the wish is about, if any.
func (r Request) job() job.ID {
	if r.Submit != nil {
		return r.Submit.ID
	}
	return r.Cancel + r.State + r.Explain
}
