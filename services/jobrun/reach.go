// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import "time"

// silentFor is how long a box that did not answer is not asked again, so that
// callers are refused at once.
const silentFor = 300 * time.Millisecond

// silent says whether a box is not to be asked for now.
func (p *Peers) silent(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loop.now().Before(p.silentUntil[address])
}

// setSilent notes that a box did not answer.
func (p *Peers) setSilent(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silentUntil[address] = p.loop.now().Add(silentFor)
}

// reaches says whether the box at an address, as far as is known, holds the cell and
// answers this one. A box that has just stepped down does not reach itself.
func (p *Peers) reaches(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return address != p.loop.self.Address && p.silentUntil[address].IsZero() && !p.elsewhere[address]
}

// answered notes that a box has answered, and whether it said that it does not hold
// the cell.
func (p *Peers) answered(address string, elsewhere bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.silentUntil, address)
	p.elsewhere[address] = elsewhere
}
