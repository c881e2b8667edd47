// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package order

import (
	"time"

	"saddlevane/models/resource"
)

// Worker is one life of a worker as the platform lists it.
type Worker struct {
	// ID names the life, not the box.
	ID       string
	Address  string
	Pool     string
	Domain   string
	Labels   []string
	Rack     string
	Capacity resource.Vector
	// Leaving says that it takes no new work.
	Leaving bool
	// Remaining is the least time until it leaves, while it is leaving.
	Remaining time.Duration
}

// Listing is a change of the platform's list of workers.
type Listing struct {
	// Whole says that workers which are not named are no longer listed.
	Whole   bool
	Present []Worker
	Gone    []string
}

// Ticket is the advice service's leave to run a step on a worker.
type Ticket struct {
	Worker string `json:"worker"`
	Ticket string `json:"ticket"`
}
