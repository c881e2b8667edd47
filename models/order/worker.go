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

// Worker is one incarnation of a worker as listed by the platform.
type Worker struct {
	Incarnation
	Address  string
	Pool     string
	Domain   string
	Labels   []string
	Rack     string
	Capacity resource.Vector
	// Leaving is set if the worker accepts no new work.
	Leaving bool
	// Remaining is the minimum time until the worker is gone, while Leaving is set.
	Remaining time.Duration
}

// Check returns an error if the entry does not describe a worker. A capacity of zero is valid, because
// a worker may have no capacity for a while.
func (w *Worker) Check() error {
	host, port, err := net.SplitHostPort(w.Address)
	number, portErr := strconv.ParseUint(port, 10, 16)
	switch {
	case w.Name == "":
		return errors.New("name is empty")
	case w.BornUnixMilli < 0:
		return fmt.Errorf("start time is %d, want 0 or more", w.BornUnixMilli)
	case w.Pool == "":
		return errors.New("pool is empty")
	case w.Domain == "":
		return errors.New("failure domain is empty")
	case err != nil || host == "" || portErr != nil || number == 0:
		return fmt.Errorf("address is %q, want host:port with a port from 1 to 65535", w.Address)
	case w.Capacity.IsNegative():
		return fmt.Errorf("capacity is %v, want no negative amount", w.Capacity)
	case w.Remaining < 0:
		return fmt.Errorf("remaining time is %v, want 0 or more", w.Remaining)
	default:
		return nil
	}
}

// Listing is a change of the platform's list of workers.
type Listing struct {
	// Complete is set if Present is the complete list: other workers are no longer listed.
	Complete bool
	Present  []Worker
	// Removed names the entries that no longer describe a worker.
	Removed []string
	// Unreadable maps those removed entries that exist but could not be decoded to the reason.
	Unreadable map[string]string
}

// Ticket is the advice service's permission to run a step on a worker.
type Ticket struct {
	Worker string `json:"worker"`
	Ticket string `json:"ticket"`
}
