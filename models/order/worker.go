// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package order

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"saddlevane/models/resource"
)

// Worker is one life of a worker as the platform lists it.
type Worker struct {
	Incarnation
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

// Check says why an entry names no worker, or nothing if it does. A worker's room may be
// nothing for a while.
func (w *Worker) Check() error {
	host, port, err := net.SplitHostPort(w.Address)
	number, portErr := strconv.ParseUint(port, 10, 16)
	switch {
	case w.Name == "":
		return errors.New("it has no name")
	case w.BornUnixMilli < 0:
		return fmt.Errorf("it began at %d", w.BornUnixMilli)
	case w.Pool == "":
		return errors.New("it names no pool")
	case w.Domain == "":
		return errors.New("it names no failure domain")
	case err != nil || host == "" || portErr != nil || number == 0:
		return fmt.Errorf("%q is no address", w.Address)
	case w.Capacity.IsNegative():
		return fmt.Errorf("its capacity %v is below nothing", w.Capacity)
	case w.Remaining < 0:
		return fmt.Errorf("it leaves in %v", w.Remaining)
	default:
		return nil
	}
}

// Listing is a change of the platform's list of workers.
type Listing struct {
	// Whole says that workers which are not named are no longer listed.
	Complete bool
	Present  []Worker
	// Gone has the names of entries that name no worker any more.
	Removed []string
	// Foreign says why, of those that were there and could not be read.
	Unreadable map[string]string
}

// Ticket is the advice service's leave to run a step on a worker.
type Ticket struct {
	Worker string `json:"worker"`
	Ticket string `json:"ticket"`
}
