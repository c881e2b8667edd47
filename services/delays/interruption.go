// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package delays

import "saddlevane/models/order"

// InterruptionCause returns the cause of the delay by a run that ended without success.
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
