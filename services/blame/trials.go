// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package blame

const (
	// riskDivisor limits the suspects that are tried at the same time: the expected number of
	// crashes under them may be at most 1/riskDivisor of the number of workers. minRiskLimit is the
	// limit, in expected crashes, for small cells and for the tasks of one job. Tasks that were on
	// the same worker when it crashed may be tried at the same time, since at most one of them is
	// guilty of that crash.
	riskDivisor  = 16
	minRiskLimit = 1.0
	// trialDivisor limits the workers that are dedicated to trials at the same time to
	// 1/trialDivisor of all. Without the limit, the tasks beside a guilty one, each slightly
	// suspect, occupied all six workers of a cell, and jobs waited 9 s for free capacity.
	trialDivisor = 12
	// idleTrialDivisor replaces trialDivisor while much of the workers' capacity is free and no
	// task waits for capacity: trials then delay nobody else, and most suspects that wait for a
	// trial are innocent.
	idleTrialDivisor = 2
)

// MayTry reports whether a suspect that crashes its worker with probability risk may be tried
// beside the suspects under trial. all and ofJob are the expected numbers of crashes under all
// suspects under trial and under those of its job.
func MayTry(risk, all, ofJob float64, workers int) bool {
	limit := max(minRiskLimit, float64(workers)/riskDivisor)
	return (all == 0 || all+risk <= limit) && (ofJob == 0 || ofJob+risk <= minRiskLimit)
}

// MayDedicateWorker reports whether one more worker may be dedicated to a trial while the given
// number of workers already are. spareCapacity says that much of the workers' capacity is free and
// that no task waits for it.
func MayDedicateWorker(dedicated, workers int, spareCapacity bool) bool {
	if spareCapacity {
		return dedicated < max(1, workers/idleTrialDivisor)
	}
	return dedicated < max(1, workers/trialDivisor)
}
