// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package delays

import "saddlevane/models/order"

// InterruptionCause returns the cause of the delay that results from a run that did not succeed,
// given how the run ended.
func InterruptionCause(how order.EndStatus) Cause {
	switch how {
	case order.Failed:
		return RunFailed
	case order.Stopped:
		return RunStopped
	default:
		return RunLost
	}
}
