// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting_test

import (
	"testing"
	"time"

	"saddlevane/modules/setting"

	"gotest.tools/v3/assert"
)

func TestWorkerLeaseIsLimitedByMaxLease(t *testing.T) {
	j := setting.Jobs{Lease: 6 * time.Second, MaxLease: 10 * time.Second}
	assert.Equal(t, j.WorkerLease(), 6*time.Second)
	j.MaxLease = 4 * time.Second
	assert.Equal(t, j.WorkerLease(), 4*time.Second)
}
