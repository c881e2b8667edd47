// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package blame

const (
	// The suspects that are tried at a time may be expected to crash at most 1/riskDivisor of the
	// workers. minRiskLimit is that limit, in expected crashes, for small cells and for the tasks
	// of one job. Tasks that were on the same worker when it crashed may be tried at the same time,
	// since at most one of them is guilty of that crash.
	riskDivisor  = 16
	minRiskLimit = 1.0
	// At most 1/trialDivisor of the workers are dedicated to trials at a time. Without the bound,
	// the tasks beside a guilty one, each slightly suspect, occupied all six workers of a cell, and
	// jobs waited 9 s for room.
	trialDivisor = 12
	// idleTrialDivisor replaces trialDivisor while much of the workers' capacity is free and no
	// task waits for room: trials then delay nobody else, and most suspects that wait for a trial
	// are innocent.
	idleTrialDivisor = 2
)

// MayTry reports whether a suspect that crashes its worker with probability risk may be tried
// beside the suspects under trial. all and ofJob are the expected numbers of crashes under all
// suspects under trial and under those of its job.
func MayTry(risk, all, ofJob float64, workers int) bool {
	most := max(minRiskLimit, float64(workers)/riskDivisor)
	return (all == 0 || all+risk <= most) && (ofJob == 0 || ofJob+risk <= minRiskLimit)
}

// MayDedicateWorker reports whether one more worker may be dedicated to a trial while kept ones
// are. roomy says that much of the workers' capacity is free and that no task waits for room.
func MayDedicateWorker(kept, workers int, roomy bool) bool {
	if roomy {
		return kept < max(1, workers/idleTrialDivisor)
	}
	return kept < max(1, workers/trialDivisor)
}
