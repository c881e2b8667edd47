// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package placement finds workers with enough free capacity for tasks. It keeps the workers in a
// grid by their free processors and memory, so that a search considers only workers that almost
// certainly have enough, those with the least first, and its cost does not grow with the number of
// workers.
package placement

import (
	"math"
	"slices"

	"saddlevane/models/resource"
)

// The grid has gridSize buckets for free processors and as many for free memory. Amounts are
// fractions of the largest worker: there are three buckets per doubling from 1/128 to 1, and one for
// less than 1/128. Most workers of a full shard have little free capacity, so the buckets for small
// amounts have to be narrow.
const (
	bucketsPerDoubling = 3
	doublings          = 7
	gridSize           = bucketsPerDoubling*doublings + 1
)

// The limits of one search.
const (
	// maxCandidates is the number of workers with enough free capacity after which the search stops.
	maxCandidates = 12
	// maxCellScan is the maximum number of workers considered in one grid cell.
	maxCellScan = 48
)

// Node is a worker with its capacity and free resources.
type Node struct {
	name     string
	rack     string
	capacity resource.Vector
	free     resource.Vector
	// index is the index that holds the worker, or nil, cell its grid cell and pos its position in
	// the cell.
	index *Index
	cell  int
	pos   int
}

// NewNode returns a worker that is in no index and has all its capacity free.
func NewNode(name, rack string, capacity resource.Vector) *Node {
	return &Node{name: name, rack: rack, capacity: capacity, free: capacity}
}

// Name returns the worker's name.
func (n *Node) Name() string { return n.name }

// Rack returns the name of the worker's rack.
func (n *Node) Rack() string { return n.rack }

// Capacity returns all resources of the worker.
func (n *Node) Capacity() resource.Vector { return n.capacity }

// Free returns the resources that are not reserved.
func (n *Node) Free() resource.Vector { return n.free }

// SetCapacity changes the capacity of the worker. What is reserved stays reserved.
func (n *Node) SetCapacity(capacity resource.Vector) {
	if capacity == n.capacity {
		return
	}
	reserved := n.capacity.Minus(n.free)
	n.capacity = capacity
	n.setFree(capacity.Minus(reserved))
}

// Reserve subtracts amount from the free resources.
func (n *Node) Reserve(amount resource.Vector) { n.setFree(n.free.Minus(amount)) }

// Release adds amount to the free resources.
func (n *Node) Release(amount resource.Vector) { n.setFree(n.free.Plus(amount)) }

// Clear releases all reserved resources.
func (n *Node) Clear() { n.setFree(n.capacity) }

// setFree sets the free resources and moves the worker to the grid cell for them.
func (n *Node) setFree(free resource.Vector) {
	n.free = free
	if n.index == nil {
		return
	}
	if at := n.index.cellOf(free); at != n.cell {
		n.index.unlink(n)
		n.index.link(n, at)
	}
}

// Index is a set of workers on which tasks may be placed.
type Index struct {
	// largest is the elementwise maximum of the capacities of all workers ever added.
	largest resource.Vector
	cells   [gridSize * gridSize][]*Node
	size    int
	// scanOffset is where the scan of a cell begins. It changes with each search, so that searches
	// do not always compare the same workers.
	scanOffset int
}

// Len returns the number of workers in the index.
func (x *Index) Len() int { return x.size }

// Add adds a worker. A worker that is in an index stays there.
func (x *Index) Add(n *Node) {
	if n.index != nil {
		return
	}
	x.enlarge(n.capacity)
	n.index = x
	x.size++
	x.link(n, x.cellOf(n.free))
}

// Remove removes a worker. It does nothing if the worker is not in this index.
func (x *Index) Remove(n *Node) {
	if n.index != x {
		return
	}
	x.unlink(n)
	n.index = nil
	x.size--
}

// enlarge extends the grid to the given capacity, and moves the workers to their new cells.
func (x *Index) enlarge(capacity resource.Vector) {
	if capacity.Processors <= x.largest.Processors && capacity.Memory <= x.largest.Memory {
		return
	}
	x.largest.Processors = max(x.largest.Processors, capacity.Processors)
	x.largest.Memory = max(x.largest.Memory, capacity.Memory)
	var all []*Node
	for i := range x.cells {
		all = append(all, x.cells[i]...)
		x.cells[i] = nil
	}
	for _, n := range all {
		x.link(n, x.cellOf(n.free))
	}
}

// cellOf returns the index of the grid cell for a worker with v free.
func (x *Index) cellOf(v resource.Vector) int {
	return bucketOf(int64(v.Processors), int64(x.largest.Processors))*gridSize + bucketOf(int64(v.Memory), int64(x.largest.Memory))
}

// bucketBounds holds the lower bounds of the buckets, as fractions of the largest worker.
var bucketBounds = makeBucketBounds()

// makeBucketBounds returns bucketBounds.
func makeBucketBounds() [gridSize]float64 {
	var all [gridSize]float64
	for i := 1; i < gridSize; i++ {
		all[i] = math.Exp2(float64(i-1)/bucketsPerDoubling - doublings)
	}
	return all
}

// bucketOf returns the bucket of the fraction part/whole.
func bucketOf(part, whole int64) int {
	if part <= 0 || whole <= 0 {
		return 0
	}
	share := float64(part) / float64(whole)
	low, high := 0, gridSize
	for low+1 < high {
		middle := (low + high) / 2
		if share >= bucketBounds[middle] {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// link appends a worker to a grid cell.
func (x *Index) link(n *Node, cell int) {
	n.cell, n.pos = cell, len(x.cells[cell])
	x.cells[cell] = append(x.cells[cell], n)
}

// unlink removes a worker from its grid cell, whose last worker takes its position.
func (x *Index) unlink(n *Node) {
	cell := x.cells[n.cell]
	last := len(cell) - 1
	cell[n.pos] = cell[last]
	cell[n.pos].pos = n.pos
	cell[last] = nil
	x.cells[n.cell] = cell[:last]
}

// offsetsByDistance holds the offsets of grid cells by their distance from the tightest fit.
var offsetsByDistance = makeOffsetsByDistance()

// offset is a distance in the grid, in buckets.
type offset struct{ processors, memory int }

// makeOffsetsByDistance returns offsetsByDistance.
func makeOffsetsByDistance() []offset {
	var all []offset
	for p := range gridSize {
		for m := range gridSize {
			all = append(all, offset{p, m})
		}
	}
	slices.SortStableFunc(all, func(a, b offset) int { return a.processors + a.memory - b.processors - b.memory })
	return all
}

// Best returns the worker with the lowest score among those with enough free capacity for need, or
// nil if there is none. It compares a bounded number of workers, those with the least free capacity
// first. Only if none of them has enough, it considers all workers.
func (x *Index) Best(need resource.Vector, score func(*Node) float64) *Node {
	if n := x.search(need, score, maxCellScan); n != nil {
		return n
	}
	return x.search(need, score, x.size)
}

// search is Best with at most scan workers considered per grid cell.
func (x *Index) search(need resource.Vector, score func(*Node) float64, scan int) *Node {
	var best *Node
	bestScore, compared := 0.0, 0
	p0, m0 := bucketOf(int64(need.Processors), int64(x.largest.Processors)), bucketOf(int64(need.Memory), int64(x.largest.Memory))
	x.scanOffset++
	for _, d := range offsetsByDistance {
		p, m := p0+d.processors, m0+d.memory
		if p >= gridSize || m >= gridSize {
			continue
		}
		cell := x.cells[p*gridSize+m]
		for i := range min(len(cell), scan) {
			n := cell[(x.scanOffset+i)%len(cell)]
			if !need.Fits(n.free) {
				continue
			}
			if s := score(n); best == nil || s < bestScore {
				best, bestScore = n, s
			}
			compared++
		}
		if compared >= maxCandidates {
			return best
		}
	}
	return best
}
