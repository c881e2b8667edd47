// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"os"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// worldRange returns how many worlds a test runs and the first seed. The environment variables
// name and name_SEED override the given defaults.
func worldRange(t *testing.T, name string, worlds, first int64) (count, firstSeed int64) {
	t.Helper()
	return fromEnvironment(t, name, worlds), fromEnvironment(t, name+"_SEED", first)
}

// fromEnvironment returns the value of an environment variable, or otherwise if it is not set.
func fromEnvironment(t *testing.T, name string, otherwise int64) int64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	n, err := strconv.ParseInt(text, 10, 64)
	assert.NilError(t, err, name)
	return n
}
