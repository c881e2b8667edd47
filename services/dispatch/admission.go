// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/mechanism"
	"saddlevane/models/workspace"
	"saddlevane/services/workspaces"
)

// checkAdmission reports whether a new job is within its workspace's share. It returns a refusal if
// a step could never fit within the workspace's cap, or if the workspace exceeds its share while
// the workers have little free capacity.
func (h *holderState) checkAdmission(now time.Time, sub *job.Submission) (within bool, refusal *exchange.Answer) {
	if sub.Workspace == "" {
		return true, nil
	}
	ws := h.core.config.Workspace(sub.Workspace)
	if refusal := checkCap(ws, sub); refusal != nil {
		return false, refusal
	}
	if h.isWithinShare(now, ws) {
		return true, nil
	}
	if !h.hasAmpleFreeCapacity && h.isEnabled(mechanism.RefusedShares) {
		return false, &exchange.Answer{
			Outcome: exchange.OverLimit, Reason: "the workspace exceeds its share while the workers have little free capacity",
			RetryAfter: job.Milliseconds(h.workspaceShares.TimeToToken(now, ws).Milliseconds()),
		}
	}
	return false, nil
}

// checkCap returns a refusal if some step of a job could never fit within the workspace's cap.
func checkCap(ws workspace.Workspace, sub *job.Submission) *exchange.Answer {
	for i := range sub.Steps {
		if need := sub.Steps[i].MinNeed(); !workspaces.FitsCap(ws, need) {
			return &exchange.Answer{
				Outcome: exchange.OverLimit, Reason: fmt.Sprintf("step %d needs %v at a time, which exceeds the workspace cap of %v", i, need, ws.Cap),
			}
		}
	}
	return nil
}
