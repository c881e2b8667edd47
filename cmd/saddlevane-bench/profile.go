// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"os"
	"runtime/pprof"
)

// withProfile calls run and writes a CPU profile of it to the named file, if the name is not empty.
func withProfile(name string, run func()) error {
	if name == "" {
		run()
		return nil
	}
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := pprof.StartCPUProfile(f); err != nil {
		return err
	}
	defer pprof.StopCPUProfile()
	run()
	return nil
}
