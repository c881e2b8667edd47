// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package resource holds amounts of processors, memory and accelerators.
package resource

// Vector is an amount of each resource. The zero Vector is nothing.
type Vector struct {
	Processors Millis `json:"processors" yaml:"processors"`
	Memory     Bytes  `json:"memory" yaml:"memory"`
	// Accelerators counts whole devices.
	Accelerators int64 `json:"accelerators,omitempty" yaml:"accelerators"`
}

// Plus returns v + o.
func (v Vector) Plus(o Vector) Vector {
	return Vector{v.Processors + o.Processors, v.Memory + o.Memory, v.Accelerators + o.Accelerators}
}

// Minus returns v - o; parts of it may be negative.
func (v Vector) Minus(o Vector) Vector {
	return Vector{v.Processors - o.Processors, v.Memory - o.Memory, v.Accelerators - o.Accelerators}
}

// Times returns n times v.
func (v Vector) Times(n int) Vector {
	return Vector{v.Processors * Millis(n), v.Memory * Bytes(n), v.Accelerators * int64(n)}
}

// Fits says whether v is at most free in every resource.
func (v Vector) Fits(free Vector) bool {
	return v.Processors <= free.Processors && v.Memory <= free.Memory && v.Accelerators <= free.Accelerators
}

// Max returns the larger of both in each resource.
func (v Vector) Max(o Vector) Vector {
	return Vector{
		Processors: max(v.Processors, o.Processors), Memory: max(v.Memory, o.Memory), Accelerators: max(v.Accelerators, o.Accelerators),
	}
}

// Min returns the smaller of both in each resource.
func (v Vector) Min(o Vector) Vector {
	return Vector{
		Processors: min(v.Processors, o.Processors), Memory: min(v.Memory, o.Memory), Accelerators: min(v.Accelerators, o.Accelerators),
	}
}

// IsZero says whether v is nothing.
func (v Vector) IsZero() bool { return v == Vector{} }

// IsNegative says whether any part of v is below zero.
func (v Vector) IsNegative() bool {
	return v.Processors < 0 || v.Memory < 0 || v.Accelerators < 0
}

// FitCount returns how many times need fits v, at most as often as most.
func (v Vector) FitCount(need Vector, most int) int {
	if v.IsNegative() {
		return 0
	}
	n := most
	if need.Processors > 0 {
		n = min(n, int(v.Processors/need.Processors))
	}
	if need.Memory > 0 {
		n = min(n, int(v.Memory/need.Memory))
	}
	if need.Accelerators > 0 {
		n = min(n, int(v.Accelerators/need.Accelerators))
	}
	return n
}

// DominantShare returns the largest share that v takes of any resource of
// total, as a fraction. A resource that total lacks does not count.
func (v Vector) DominantShare(total Vector) float64 {
	return max(
		share(int64(v.Processors), int64(total.Processors)),
		share(int64(v.Memory), int64(total.Memory)),
		share(v.Accelerators, total.Accelerators),
	)
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
