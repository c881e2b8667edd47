// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package soak runs daemons as real processes against a stand-in of the users' platform,
// injects faults from outside, and checks the guarantees given to callers and workers. The
// faults and jobs of a run are determined by its seed; the timing of the processes is not.
package soak
