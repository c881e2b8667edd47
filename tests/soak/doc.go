// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package soak runs daemons as real processes against a stand-in of the users'
// platform, injects faults from outside for a while, and checks what callers and
// workers may rely on. Each run follows from its seed as far as real processes
// allow.
package soak
