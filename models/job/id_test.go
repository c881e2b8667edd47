// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package job_test

import (
	"regexp"
	"strings"
	"testing"

	"saddlevane/models/job"

	"gotest.tools/v3/assert"
)

func TestIDIsCheckedByEachCharacter(t *testing.T) {
	pattern := regexp.MustCompile(`^[0-9A-Za-z_-]{1,64}$`)
	ids := []string{"", "a", "a\n", strings.Repeat("x", 64), strings.Repeat("x", 65), "ü"}
	for c := range 256 {
		ids = append(ids, "a"+string([]byte{byte(c)})+"b")
	}
	for _, id := range ids {
		assert.Equal(t, job.ID(id).Check() == nil, pattern.MatchString(id), "%q", id)
	}
	assert.Equal(t, testing.AllocsPerRun(100, func() { _ = job.ID("7c9e6679a0b1").Check() }), 0.0)
}
