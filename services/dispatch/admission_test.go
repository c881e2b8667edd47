// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/workspace"

	"gotest.tools/v3/assert"
)

// useWeight publishes one workspace with a weight and no cap.
func (w *world) useWeight(weight float64) {
	next := w.config
	next.Version++
	assert.NilError(w.t, next.SetWorkspaces([]workspace.Workspace{{Name: "hot", Weight: weight, Keys: []workspace.Digest{workspace.DigestOf("hot")}}}))
	w.config = next
	for _, b := range w.boxes {
		b.post(exchange.ConfigRead{Config: next})
	}
}

// Callers of a workspace beyond its share got Retry-After times of a few milliseconds or none.
func TestRefusedCallersGetTimesOfOneSecondOrMore(t *testing.T) {
	for _, withoutForecast := range []bool{false, true} {
		t.Run(fmt.Sprint("without forecast ", withoutForecast), func(t *testing.T) {
			w := newWorld(t, 5, 1, 8)
			w.withoutForecast = withoutForecast
			w.boxes[0].kill()
			w.boxes[0].start()
			w.noRandomFailures = true
			w.useWeight(0)
			w.waitUntilServing()
			w.run(3 * time.Second)
			refused := 0
			for i := range 200 {
				s := oneStep(fmt.Sprint("j", i), "quick", 8, false)
				s.Workspace, s.Steps[0].Estimate = "hot", 1000
				a := w.callHolder(exchange.Submitted{Submission: s})
				if a.Outcome == exchange.OK {
					continue
				}
				assert.Equal(t, a.Outcome, exchange.OverLimit)
				assert.Check(t, a.RetryAfter >= 1000 && a.RetryAfter%1000 == 0, "%v", a.RetryAfter)
				refused++
			}
			assert.Check(t, refused > 0, "no job was refused")
		})
	}
}
