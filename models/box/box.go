// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package box defines the platform's list of boxes.
package box

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
)

// Role is the role of a box in the cell.
type Role string

// The roles of boxes.
const (
	Entry  Role = "entry"
	Worker Role = "worker"
	Target Role = "target"
)

// State is the state of a box as reported by the platform.
type State string

// The states of a box. Dead means that the platform has made sure that the box is not running. A box
// that is missing from the list is not known to be dead.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Dead    State = "dead"
)

// Box is one box in the list.
type Box struct {
	Name   string `json:"name"`
	Role   Role   `json:"role"`
	Domain string `json:"domain"`
	Rack   string `json:"rack,omitempty"`
	// Pool names the pool of a target.
	Pool string `json:"pool,omitempty"`
	// Address is "ip:port". The port accepts callers' requests at a target, Syncs at a worker and
	// connections of peers at an entry box.
	Address string `json:"address"`
	State   State  `json:"state"`
}

// List is the list of boxes as returned by the platform.
type List struct {
	Boxes []Box `json:"boxes"`
}

// MaxBoxes limits the length of a list. It exceeds the number of boxes that the platform is
// designed for.
const MaxBoxes = 100_000

// UnmarshalJSON returns an error unless the entry has a name, a domain, a known role, a known state and
// an IP address and port.
func (b *Box) UnmarshalJSON(data []byte) error {
	type plain Box
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.Name == "" || p.Domain == "" {
		return errors.New("box: name or domain is empty")
	}
	switch p.Role {
	case Entry, Worker, Target:
	default:
		return fmt.Errorf("box %s: unknown role %q, want entry, worker or target", p.Name, p.Role)
	}
	switch p.State {
	case Live, Leaving, Dead:
	default:
		return fmt.Errorf("box %s: unknown state %q, want live, leaving or dead", p.Name, p.State)
	}
	if _, err := netip.ParseAddrPort(p.Address); err != nil {
		return fmt.Errorf("box %s: address: %w", p.Name, err)
	}
	*b = Box(p)
	return nil
}

// UnmarshalJSON returns an error if the list is too long or contains a box twice.
func (l *List) UnmarshalJSON(data []byte) error {
	type plain List
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if len(p.Boxes) > MaxBoxes {
		return fmt.Errorf("box list: has %d boxes, the limit is %d", len(p.Boxes), MaxBoxes)
	}
	seen := make(map[string]struct{}, len(p.Boxes))
	for _, b := range p.Boxes {
		if _, ok := seen[b.Name]; ok {
			return fmt.Errorf("box list: box %s is listed twice", b.Name)
		}
		seen[b.Name] = struct{}{}
	}
	*l = List(p)
	return nil
}
