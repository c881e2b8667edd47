// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package version reports the version of the build.
package version

import "runtime/debug"

// Number is the release number.
const Number = "0.1.0"

// Version describes a build.
type Version struct {
	Number string `json:"number"`
	Go     string `json:"go"`
}

// Current returns the version of this build.
func Current() Version {
	v := Version{Number: Number}
	if info, ok := debug.ReadBuildInfo(); ok {
		v.Go = info.GoVersion
	}
	return v
}
