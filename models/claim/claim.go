// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package claim defines the record by which a box becomes the holder of a cell's workers. Each
// record is self-contained, so the newest one is enough to determine the holder.
package claim

import "fmt"

// Claim is a claim to the cell, or the renewal of one.
type Claim struct {
	// Epoch is one more than the epoch of the previous claim. It is the fence number of all orders
	// that are given under the claim.
	Epoch       int64  `json:"epoch"`
	Box         string `json:"box"`
	Incarnation string `json:"incarnation"`
	// Address is where the holder serves other entry boxes.
	Address string `json:"address"`
	// Renewal numbers the claims and renewals of one incarnation of a box.
	Renewal int64 `json:"renewal"`
	// Released is set if the holder has given up the claim.
	Released bool `json:"released,omitempty"`
}

// Check returns an error if the claim has no box, no incarnation or no positive epoch.
func (c Claim) Check() error {
	if c.Epoch < 1 || c.Box == "" || c.Incarnation == "" {
		return fmt.Errorf("claim of box %q with epoch %d: want a box, an incarnation and an epoch of 1 or more", c.Box, c.Epoch)
	}
	return nil
}

// Member is an entry box as it announces itself.
type Member struct {
	Box         string `json:"box"`
	Incarnation string `json:"incarnation"`
	Domain      string `json:"domain"`
	Address     string `json:"address"`
	// Size is the processing capacity of the box, in thousandths of a processor. The cell is held
	// by a large box if there is one.
	Size int64 `json:"size,omitempty"`
}

// Check returns an error if the box, its incarnation or its address is missing or its size is negative.
func (m Member) Check() error {
	if m.Box == "" || m.Incarnation == "" || m.Address == "" || m.Size < 0 {
		return fmt.Errorf("box %q, incarnation %q, address %q, size %d: want all set and a size of 0 or more",
			m.Box, m.Incarnation, m.Address, m.Size)
	}
	return nil
}
