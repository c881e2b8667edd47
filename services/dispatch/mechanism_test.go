// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"os"
	"strings"
	"testing"

	"saddlevane/models/mechanism"

	"gotest.tools/v3/assert"
)

func TestMechanismNamesAreParsedAndDocumented(t *testing.T) {
	var names []string
	for _, m := range mechanism.All() {
		names = append(names, string(m))
	}
	all, err := mechanism.Parse(names)
	assert.NilError(t, err)
	assert.Equal(t, len(all), len(names))
	_, err = mechanism.Parse([]string{"draining", "nothing"})
	assert.ErrorContains(t, err, `"nothing"`)
	example, err := os.ReadFile("../../custom/conf/saddlevaned.example.yaml")
	assert.NilError(t, err)
	for _, name := range names {
		assert.Check(t, strings.Contains(string(example), name), "the example file does not name %s", name)
	}
}

// TestRandomWorldsWithoutEachMechanism checks that the mechanisms which can be switched off for
// measurements affect policy only: all guarantees hold without any of them.
func TestRandomWorldsWithoutEachMechanism(t *testing.T) {
	for i, m := range mechanism.All() {
		t.Run(string(m), func(t *testing.T) {
			t.Parallel()
			runRandomWorldWithout(t, int64(700+i), m)
		})
	}
}
