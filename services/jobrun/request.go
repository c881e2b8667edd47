// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/workspace"
)

// Request is a request about submitted jobs, or of one entry box to another. Exactly one field
// besides Caller is set.
type Request struct {
	// Caller is who makes the request. It is nil for requests of operators and of entry boxes.
	Caller *workspace.Caller `json:"caller,omitempty"`

	// Submit is a job to submit; Cancel and State name a job to cancel or to return the state of.
	// Count names a queue whose waiting jobs are counted.
	Submit *job.Submission `json:"submit,omitempty"`
	Cancel job.ID          `json:"cancel,omitempty"`
	State  job.ID          `json:"state,omitempty"`
	Count  string          `json:"count,omitempty"`
	// Explain names a job whose state is to be explained.
	Explain job.ID `json:"explain,omitempty"`
	// Pledge asks the box not to claim the cell while the claim with this epoch is held. With an epoch
	// that no claim has, it only asks whether the box reaches the log.
	Pledge int64 `json:"pledge,omitempty"`
	// Holder asks the box which box holds the cell.
	Holder bool `json:"holder,omitempty"`
	// Invite asks the box to claim the cell from the holder of the claim with this epoch.
	Invite int64 `json:"invite,omitempty"`
}

// event returns the event that passes the request to the reducer.
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
	case r.Holder:
		return exchange.HolderAsked{Call: id}
	case r.Pledge != 0:
		return exchange.PledgeAsked{Call: id, Epoch: r.Pledge}
	case r.Invite != 0:
		return exchange.InviteAsked{Call: id, Epoch: r.Invite}
	default:
		return exchange.CountAsked{Call: id, Caller: r.Caller, Queue: r.Count}
	}
}

// kind returns the name of the request in metrics and logs.
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

// job returns the ID of the job that the request is about, empty if there is none.
func (r Request) job() job.ID {
	if r.Submit != nil {
		return r.Submit.ID
	}
	return r.Cancel + r.State + r.Explain
}

// workspace returns the caller's workspace, empty if it is not known.
func (r Request) workspace() string {
	if r.Caller == nil {
		return ""
	}
	return r.Caller.Workspace
}
