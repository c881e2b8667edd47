// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package resource_test

import (
	"testing"

	"saddlevane/models/resource"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestAmountsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := resource.Millis(rapid.Int64Range(0, 1000<<24).Draw(t, "millis"))
		var gotM resource.Millis
		text, _ := m.MarshalText()
		assert.NilError(t, gotM.UnmarshalText(text))
		assert.Equal(t, gotM, m)
		b := resource.Bytes(rapid.Int64Range(0, 1<<56).Draw(t, "bytes"))
		var gotB resource.Bytes
		text, _ = b.MarshalText()
		assert.NilError(t, gotB.UnmarshalText(text))
		assert.Equal(t, gotB, b)
	})
}

func TestInvalidAmountsAreRejected(t *testing.T) {
	for _, text := range []string{"", "-1", "NaN", "Inf", "1e30", "1x", "-5m", "99999999999m"} {
		var m resource.Millis
		assert.Check(t, m.UnmarshalText([]byte(text)) != nil, "processors %q", text)
	}
	for _, text := range []string{"", "-1GiB", "1.5GiB", "1GB", "999999999TiB"} {
		var b resource.Bytes
		assert.Check(t, b.UnmarshalText([]byte(text)) != nil, "memory %q", text)
	}
}

func TestDominantShareIgnoresResourcesMissingFromTotal(t *testing.T) {
	total := resource.Vector{Processors: 10, Memory: 100}
	assert.Equal(t, resource.Vector{Processors: 5, Memory: 20, Accelerators: 3}.DominantShare(total), 0.5)
}

func TestFitCount(t *testing.T) {
	free := resource.Vector{Processors: 10 * resource.Processor, Memory: 4 * resource.GiB, Accelerators: 1}
	for _, c := range []struct {
		need resource.Vector
		want int
	}{
		{resource.Vector{Processors: 3 * resource.Processor}, 3},
		{resource.Vector{Processors: resource.Processor, Memory: 2 * resource.GiB}, 2},
		{resource.Vector{Accelerators: 2}, 0},
		{resource.Vector{}, 5},
	} {
		assert.Equal(t, free.FitCount(c.need, 5), c.want, "%v", c.need)
	}
	assert.Equal(t, free.Minus(resource.Vector{Memory: 5 * resource.GiB}).FitCount(resource.Vector{Processors: 1}, 5), 0, "nothing fits if the free capacity is negative")
}
