// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package clock_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOnlyClockPackageReadsClocks checks that the daemon and its tool read clocks only through
// this package. Stand-ins, tests and benchmarks may read clocks directly.
func TestOnlyClockPackageReadsClocks(t *testing.T) {
	reads := regexp.MustCompile(`\btime\.(Now|Since|Until)\b|ClockGettime`)
	others := []string{"modules/clock/", "tests/", "platform/standin/", "cmd/saddlevane-"}
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() && strings.HasPrefix(d.Name(), ".") && path != root {
			return fs.SkipDir
		}
		name, _ := filepath.Rel(root, path)
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		for _, o := range others {
			if strings.HasPrefix(name, o) {
				return nil
			}
		}
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		for i, line := range strings.Split(string(data), "\n") {
			assert.Check(t, !reads.MatchString(line), "%s:%d reads a clock: %s", name, i+1, line)
		}
		return nil
	})
	assert.NilError(t, err)
}
