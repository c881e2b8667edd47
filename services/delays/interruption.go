// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package delays

import "saddlevane/models/order"

// Interruption returns the delay that an end which is not a good one stands for.
func Interruption(how order.How) Cause {
	switch how {
	case order.Failed:
		return Failed
	case order.Stopped:
		return Stopped
	default:
		return Lost
	}
}
