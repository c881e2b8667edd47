// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package resource defines amounts of processors, memory and accelerators.
package resource

// Vector holds an amount of each resource. The zero Vector is an amount of nothing.
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

// Minus returns v - o. Each resource of the result may be negative.
func (v Vector) Minus(o Vector) Vector {
	return Vector{v.Processors - o.Processors, v.Memory - o.Memory, v.Accelerators - o.Accelerators}
}

// Times returns n times v.
func (v Vector) Times(n int) Vector {
	return Vector{v.Processors * Millis(n), v.Memory * Bytes(n), v.Accelerators * int64(n)}
}

// Fits reports whether v is at most free in every resource.
func (v Vector) Fits(free Vector) bool {
	return v.Processors <= free.Processors && v.Memory <= free.Memory && v.Accelerators <= free.Accelerators
}

// Max returns the larger amount of each resource in v and o.
func (v Vector) Max(o Vector) Vector {
	return Vector{
		Processors: max(v.Processors, o.Processors), Memory: max(v.Memory, o.Memory), Accelerators: max(v.Accelerators, o.Accelerators),
	}
}

// Min returns the smaller amount of each resource in v and o.
func (v Vector) Min(o Vector) Vector {
	return Vector{
		Processors: min(v.Processors, o.Processors), Memory: min(v.Memory, o.Memory), Accelerators: min(v.Accelerators, o.Accelerators),
	}
}

// IsZero reports whether v is zero in every resource.
func (v Vector) IsZero() bool { return v == Vector{} }

// IsNegative reports whether v is below zero in any resource.
func (v Vector) IsNegative() bool {
	return v.Processors < 0 || v.Memory < 0 || v.Accelerators < 0
}

// FitCount returns how many times need fits into v, but at most limit.
func (v Vector) FitCount(need Vector, limit int) int {
	if v.IsNegative() {
		return 0
	}
	n := limit
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

// DominantShare returns the largest fraction that v takes of any resource of total. Resources that
// are zero in total are ignored.
func (v Vector) DominantShare(total Vector) float64 {
	return max(
		share(int64(v.Processors), int64(total.Processors)),
		share(int64(v.Memory), int64(total.Memory)),
		share(v.Accelerators, total.Accelerators),
	)
}

// share returns part/whole, or 0 if whole is not positive.
func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
