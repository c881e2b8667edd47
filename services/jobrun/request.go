// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/workspace"
)

// Request is one caller's wish about submitted jobs. Exactly one part besides Caller is set.
type Request struct {
	// Caller is on whose behalf it is made; without one it is an operator's.
	Caller *workspace.Caller `json:"caller,omitempty"`

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
func (r Request) event(id exchange.CallID) exchange.Event {
	switch {
	case r.Submit != nil:
		return exchange.Submitted{Call: id, Caller: r.Caller, Submission: *r.Submit}
	case r.Cancel != "":
		return exchange.CancelAsked{Call: id, Caller: r.Caller, Job: r.Cancel}
	case r.State != "":
		return exchange.StateAsked{Call: id, Caller: r.Caller, Job: r.State}
	case r.Explain != "":
		return exchange.ExplanationAsked{Call: id, Job: r.Explain}
	case r.Pledge != 0:
		return exchange.PledgeAsked{Call: id, Epoch: r.Pledge}
	case r.Invite != 0:
		return exchange.InviteAsked{Call: id, Epoch: r.Invite}
	default:
		return exchange.CountAsked{Call: id, Caller: r.Caller, Queue: r.Count}
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

// workspace returns the workspace of the caller, if it is known.
func (r Request) workspace() string {
	if r.Caller == nil {
		return ""
	}
	return r.Caller.Workspace
}
