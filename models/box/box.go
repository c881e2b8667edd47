// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package box holds the entries of the platform's list of boxes.
package box

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
)

// Role is what a box is for.
type Role string

// The roles of boxes.
const (
	Entry  Role = "entry"
	Worker Role = "worker"
	Target Role = "target"
)

// State is what the platform says of a box.
type State string

// The states of a box. A box that the list does not name is not known to be
// dead; Dead means that the platform made sure of it.
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
	// Address is "ip:port": callers' port of a target, the sync port of a
	// worker, the peers' port of an entry box.
	Address string `json:"address"`
	State   State  `json:"state"`
}

// List is the platform's answer.
type List struct {
	Boxes []Box `json:"boxes"`
}

// MaxBoxes bounds a list: the two-year target's boxes with room to spare.
const MaxBoxes = 100_000

// UnmarshalJSON refuses entries without a name, a known role and an IP address.
func (b *Box) UnmarshalJSON(data []byte) error {
	type plain Box
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.Name == "" || p.Domain == "" {
		return errors.New("box: no name or no domain")
	}
	switch p.Role {
	case Entry, Worker, Target:
	default:
		return fmt.Errorf("box %s: unknown role %q", p.Name, p.Role)
	}
	switch p.State {
	case Live, Leaving, Dead:
	default:
		return fmt.Errorf("box %s: unknown state %q", p.Name, p.State)
	}
	if _, err := netip.ParseAddrPort(p.Address); err != nil {
		return fmt.Errorf("box %s: %w", p.Name, err)
	}
	*b = Box(p)
	return nil
}

// UnmarshalJSON refuses lists that are too long or name a box twice.
func (l *List) UnmarshalJSON(data []byte) error {
	type plain List
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if len(p.Boxes) > MaxBoxes {
		return fmt.Errorf("box list: %d boxes, the limit is %d", len(p.Boxes), MaxBoxes)
	}
	seen := make(map[string]struct{}, len(p.Boxes))
	for _, b := range p.Boxes {
		if _, ok := seen[b.Name]; ok {
			return fmt.Errorf("box list: %s is named twice", b.Name)
		}
		seen[b.Name] = struct{}{}
	}
	*l = List(p)
	return nil
}
