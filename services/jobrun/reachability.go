// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import "time"

// unresponsiveRetryDelay is how long a box that did not answer is not called again. Meanwhile
// requests to it are refused at once.
const unresponsiveRetryDelay = 300 * time.Millisecond

// isUnresponsive reports whether a box recently did not answer and is not to be called yet.
func (p *Peers) isUnresponsive(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loop.now().Before(p.unresponsiveUntil[address])
}

// markUnresponsive records that a box did not answer.
func (p *Peers) markUnresponsive(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unresponsiveUntil[address] = p.loop.now().Add(unresponsiveRetryDelay)
}

// reachesHolder reports whether, as far as known, the box at address holds the cell and answers
// this box. It is false for this box itself, which may be recorded as holder after it stepped down.
func (p *Peers) reachesHolder(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return address != p.loop.self.Address && p.unresponsiveUntil[address].IsZero() && !p.notHolder[address]
}

// recordAnswer records that a box has answered, and whether it does not hold the cell.
func (p *Peers) recordAnswer(address string, notHolder bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.unresponsiveUntil, address)
	p.notHolder[address] = notHolder
}
