// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package blame

const (
	// riskDivisor is one over the share of the workers that may be expected to crash at a
	// time under suspects, and minRiskLimit how many may be in a small cell, and under the
	// tasks of one job: those that were beside each other when a worker crashed can be
	// tried at once, since one of them at most is guilty of it.
	riskDivisor  = 16
	minRiskLimit = 1.0
	// trialDivisor is one over the share of the workers that get nothing else for a trial at a
	// time: without the bound tasks beside a guilty one, each a little likely, took six of
	// six workers for it, and jobs waited for room for 9 s.
	trialDivisor = 12
	// idleTrialDivisor is the same while much of the workers' room is free and nothing waits for
	// room: trials keep nobody else waiting then, and those who wait for their turn are mostly
	// guilty of nothing.
	idleTrialDivisor = 2
)

// MayTry says whether a suspect may be tried that crashes its worker with some probability,
// beside those that are being tried: so many workers are expected to crash under all of them,
// and under those of its job.
func MayTry(risk, all, ofJob float64, workers int) bool {
	most := max(minRiskLimit, float64(workers)/riskDivisor)
	return (all == 0 || all+risk <= most) && (ofJob == 0 || ofJob+risk <= minRiskLimit)
}

// MayDedicateWorker says whether one more worker may be kept for a trial where some are. Roomy says that
// much of the workers' room is free, and nothing waits for it.
func MayDedicateWorker(kept, workers int, roomy bool) bool {
	if roomy {
		return kept < max(1, workers/idleTrialDivisor)
	}
	return kept < max(1, workers/trialDivisor)
}
