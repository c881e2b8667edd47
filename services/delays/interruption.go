// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package delays

import "saddlevane/models/order"

// InterruptionCause returns the delay that an end which is not a good one stands for.
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
