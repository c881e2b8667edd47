// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package reservations

import (
	"slices"

	"saddlevane/models/resource"
)

// Order holds the capacities that gangs have reserved on one worker, in the order in which they were
// reserved. G identifies a gang. The zero value has no reservations.
type Order[G comparable] struct{ reserved []gangCapacity[G] }

// gangCapacity is the capacity reserved for a gang.
type gangCapacity[G comparable] struct {
	gang     G
	capacity resource.Vector
}

// Add records that capacity has been reserved for a gang.
func (o *Order[G]) Add(gang G, capacity resource.Vector) {
	o.reserved = append(o.reserved, gangCapacity[G]{gang, capacity})
}

// Remove forgets the capacity reserved for a gang.
func (o *Order[G]) Remove(gang G) {
	o.reserved = slices.DeleteFunc(o.reserved, func(r gangCapacity[G]) bool { return r.gang == gang })
}

// After returns the capacity that gangs have reserved later than the given gang did.
func (o *Order[G]) After(gang G) resource.Vector {
	var sum resource.Vector
	first := slices.IndexFunc(o.reserved, func(r gangCapacity[G]) bool { return r.gang == gang })
	for _, r := range o.reserved[first+1:] {
		sum = sum.Plus(r.capacity)
	}
	return sum
}
