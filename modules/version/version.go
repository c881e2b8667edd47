// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package version says which build this is.
package version

import "runtime/debug"

// Number is the release.
const Number = "0.1.0"

// Version describes a build.
type Version struct {
	Number string `json:"number"`
	Go     string `json:"go"`
}

// Current returns this build's version.
func Current() Version {
	v := Version{Number: Number}
	if info, ok := debug.ReadBuildInfo(); ok {
		v.Go = info.GoVersion
	}
	return v
}
