// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package delays

import (
	"time"

	"saddlevane/modules/ordered"
)

// Waits sums up how long a step has waited for its first start, by cause.
type Waits struct {
	totals Totals
	// until is the time until which the sum goes.
	until time.Time
}

// Record adds the time since the last call, or since the step was opened, to what the step has waited for
// the given cause. Only time before the first start counts.
func (w *Waits) Record(now, openedAt time.Time, hasStarted bool, cause Cause) {
	if since := ordered.Later(w.until, openedAt); !hasStarted && !since.IsZero() {
		if w.totals == nil {
			w.totals = Totals{}
		}
		w.totals[cause] += now.Sub(since)
	}
	w.until = now
}

// Totals returns the sum by cause.
func (w *Waits) Totals() Totals { return w.totals }
