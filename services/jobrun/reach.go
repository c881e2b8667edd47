// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import "time"

// unresponsiveRetryDelay is how long a box that did not answer is not asked again, so that
// callers are refused at once.
const unresponsiveRetryDelay = 300 * time.Millisecond

// isUnresponsive says whether a box is not to be asked for now.
func (p *Peers) isUnresponsive(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loop.now().Before(p.unresponsiveUntil[address])
}

// markUnresponsive notes that a box did not answer.
func (p *Peers) markUnresponsive(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unresponsiveUntil[address] = p.loop.now().Add(unresponsiveRetryDelay)
}

// reachesHolder says whether the box at an address, as far as is known, holds the cell and
// answers this one. A box that has just stepped down does not reach itself.
func (p *Peers) reachesHolder(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return address != p.loop.self.Address && p.unresponsiveUntil[address].IsZero() && !p.notHolder[address]
}

// recordAnswer notes that a box has answered, and whether it said that it does not hold
// the cell.
func (p *Peers) recordAnswer(address string, elsewhere bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.unresponsiveUntil, address)
	p.notHolder[address] = elsewhere
}
