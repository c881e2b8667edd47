// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package claim holds the record that makes a box the holder of a cell's
// workers. Every record says all there is to know, so that any one is enough.
package claim

import "fmt"

// Claim is a claim, or its renewal.
type Claim struct {
	// Epoch is one more than that of the claim before. It is the fence number
	// of all orders under the claim.
	Epoch       int64  `json:"epoch"`
	Box         string `json:"box"`
	Incarnation string `json:"incarnation"`
	// Address is where the holder serves other entry boxes.
	Address string `json:"address"`
	// Renewal numbers the claims and renewals of one incarnation.
	Renewal int64 `json:"renewal"`
	// Released says that the holder has given the claim up.
	Released bool `json:"released,omitempty"`
}

// Check returns an error if the claim makes no sense.
func (c Claim) Check() error {
	if c.Epoch < 1 || c.Box == "" || c.Incarnation == "" {
		return fmt.Errorf("claim of box %q with epoch %d", c.Box, c.Epoch)
	}
	return nil
}

// Member is an entry box as it announces itself.
type Member struct {
	Box         string `json:"box"`
	Incarnation string `json:"incarnation"`
	Domain      string `json:"domain"`
	Address     string `json:"address"`
	// Size is how much the box can do, in thousandths of a processor. The cell is
	// held by a large box if there is one.
	Size int64 `json:"size,omitempty"`
}

// Check says why an announcement names no box, or nothing if it does.
func (m Member) Check() error {
	if m.Box == "" || m.Incarnation == "" || m.Address == "" || m.Size < 0 {
		return fmt.Errorf("box %q of incarnation %q at %q, size %d", m.Box, m.Incarnation, m.Address, m.Size)
	}
	return nil
}
