// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package membership tracks which other boxes are live, from the platform's box list,
// which lags behind, and the heartbeats (hellos) of peers. It only guides how load is
// distributed; no safety guarantee depends on it.
package membership

import (
	"slices"
	"time"

	"saddlevane/models/box"
	"saddlevane/models/effect"
	"saddlevane/models/peer"
)

// Settings holds the timing of heartbeats between peers, and the seeds.
type Settings struct {
	// HeartbeatInterval is the time between two heartbeats to one peer.
	HeartbeatInterval time.Duration
	// DeadAfter is how long after its last heartbeat a peer still counts as live.
	DeadAfter time.Duration
	// Seeds are addresses of peers that get heartbeats even if the box list cannot be
	// read.
	Seeds []string
}

// Member is a peer, in the same domain or another one, that has sent a heartbeat.
type Member struct {
	hello      peer.Hello
	receivedAt time.Time
}

// Hello returns the peer's last heartbeat.
func (m Member) Hello() peer.Hello { return m.hello }

// Membership is what one process knows about the other boxes. It is not safe for
// concurrent use.
type Membership struct {
	settings Settings
	self     peer.Hello
	// boxes holds the box list by name.
	boxes      map[string]box.Box
	listReadAt time.Time
	members    map[string]Member
	// nextHelloAt is when the next heartbeats are due.
	nextHelloAt time.Time
	// liveChangedAt is when the set of live peers last changed.
	liveChangedAt time.Time
	// live is the result of Live at the last Tick.
	live []string
}

// New returns the membership of a process that has received no heartbeat and not read
// the box list.
func New(s Settings, self peer.Hello) *Membership {
	return &Membership{settings: s, self: self, boxes: map[string]box.Box{}, members: map[string]Member{}}
}

// Self returns the heartbeat that this process sends.
func (m *Membership) Self() peer.Hello { return m.self }

// SetYields sets the shards that this process is ready to give up, for its heartbeats.
func (m *Membership) SetYields(shards []string) { m.self.Yields = shards }

// Yields reports whether the last heartbeat of an incarnation of a peer offers to give
// up a shard.
func (m *Membership) Yields(name, incarnation, shard string) bool {
	member, ok := m.members[name]
	return ok && member.hello.Incarnation == incarnation && slices.Contains(member.hello.Yields, shard)
}

// Leave marks this process as stopping in its heartbeats.
func (m *Membership) Leave() { m.self.Leaving = true }

// Leaving reports whether Leave was called.
func (m *Membership) Leaving() bool { return m.self.Leaving }

// SetBoxes replaces the box list by one that was read at now.
func (m *Membership) SetBoxes(now time.Time, l box.List) {
	m.listReadAt = now
	m.boxes = make(map[string]box.Box, len(l.Boxes))
	for _, b := range l.Boxes {
		m.boxes[b.Name] = b
	}
}

// ListReadAt returns when the box list was last read; zero if never.
func (m *Membership) ListReadAt() time.Time { return m.listReadAt }

// Box returns the entry of a box in the box list.
func (m *Membership) Box(name string) (box.Box, bool) {
	b, ok := m.boxes[name]
	return b, ok
}

// Boxes returns the box list by name; the map must not be modified.
func (m *Membership) Boxes() map[string]box.Box { return m.boxes }

// RecordHello records a heartbeat that was received at now. It ignores those of this box.
func (m *Membership) RecordHello(now time.Time, h peer.Hello) {
	if h.Box == m.self.Box {
		return
	}
	m.members[h.Box] = Member{hello: h, receivedAt: now}
}

// Tick updates the set of live peers and returns the heartbeats that are due. next is
// the offset of the log up to which this process has read, for its heartbeats.
func (m *Membership) Tick(now time.Time, next int64) []effect.Effect {
	m.self.Next = next
	m.updateMembers(now)
	if now.Before(m.nextHelloAt) {
		return nil
	}
	m.nextHelloAt = now.Add(m.settings.HeartbeatInterval)
	return m.hellos()
}

// LeaveHellos returns heartbeats to all peers before they are due, so that peers learn
// of a planned stop at once.
func (m *Membership) LeaveHellos() []effect.Effect { return m.hellos() }

// hellos returns a heartbeat to each peer.
func (m *Membership) hellos() []effect.Effect {
	var effects []effect.Effect
	for _, address := range m.peerAddresses() {
		effects = append(effects, effect.SendHello{Address: address, Hello: m.self})
	}
	return effects
}

// peerAddresses returns the addresses that get heartbeats, sorted: entry boxes of the
// same domain in the box list, peers of that domain that have sent heartbeats, and the
// seeds.
func (m *Membership) peerAddresses() []string {
	added := map[string]bool{m.self.Address: true}
	var all []string
	add := func(address string) {
		if !added[address] {
			added[address] = true
			all = append(all, address)
		}
	}
	for _, b := range m.boxes {
		if b.Role == box.Entry && b.Domain == m.self.Domain && b.State != box.Dead && b.Name != m.self.Box {
			add(b.Address)
		}
	}
	for name, member := range m.members {
		if member.hello.Domain == m.self.Domain {
			add(m.address(name, member))
		}
	}
	for _, seed := range m.settings.Seeds {
		add(seed)
	}
	slices.Sort(all)
	return all
}

// address returns the address of a peer from the box list, or else from its heartbeat.
func (m *Membership) address(name string, member Member) string {
	if b, ok := m.boxes[name]; ok && b.Role == box.Entry {
		return b.Address
	}
	return member.hello.Address
}

// updateMembers updates the set of live peers and when it last changed, and removes
// peers that have sent no heartbeat for forgetFactor times DeadAfter.
func (m *Membership) updateMembers(now time.Time) {
	live := m.Live(now)
	if !slices.Equal(live, m.live) {
		m.live = live
		m.liveChangedAt = now
	}
	for name, member := range m.members {
		if now.Sub(member.receivedAt) > forgetFactor*m.settings.DeadAfter {
			delete(m.members, name)
		}
	}
}

// forgetFactor is after how many times DeadAfter without a heartbeat a peer is removed.
const forgetFactor = 20

// StableFor returns how long the set of live peers has been unchanged at now.
func (m *Membership) StableFor(now time.Time) time.Duration { return now.Sub(m.liveChangedAt) }

// Live returns the names of the entry boxes of this domain that accept work, sorted. They
// include this box unless it is leaving.
func (m *Membership) Live(now time.Time) []string {
	var names []string
	if !m.self.Leaving {
		names = append(names, m.self.Box)
	}
	for name, member := range m.members {
		if member.hello.Domain == m.self.Domain && m.acceptsWork(now, member) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// acceptsWork reports whether a peer has sent a heartbeat within DeadAfter and neither
// its heartbeat nor the box list says that it is leaving or dead. A peer that is not in
// the list counts as live.
func (m *Membership) acceptsWork(now time.Time, member Member) bool {
	if member.hello.Leaving || now.Sub(member.receivedAt) > m.settings.DeadAfter {
		return false
	}
	b, listed := m.boxes[member.hello.Box]
	return !listed || b.State == box.Live
}

// IsLive reports whether the given incarnation of a peer accepts work. For this box, it
// reports whether the incarnation is that of this process and not leaving.
func (m *Membership) IsLive(now time.Time, name, incarnation string) bool {
	if name == m.self.Box {
		return incarnation == m.self.Incarnation && !m.self.Leaving
	}
	member, ok := m.members[name]
	return ok && member.hello.Incarnation == incarnation && m.acceptsWork(now, member)
}

// HasEnded reports whether an incarnation of a box is known to have ended, because the
// box has sent a heartbeat of another incarnation or the box list says that it is dead.
func (m *Membership) HasEnded(name, incarnation string) bool {
	if name == m.self.Box {
		return incarnation != m.self.Incarnation
	}
	if b, listed := m.boxes[name]; listed && b.State == box.Dead {
		return true
	}
	member, ok := m.members[name]
	return ok && member.hello.Incarnation != incarnation
}

// AddressOf returns the address of an incarnation of a peer that has sent a heartbeat
// within DeadAfter, even if it is leaving, and false for any other.
func (m *Membership) AddressOf(now time.Time, name, incarnation string) (string, bool) {
	member, ok := m.members[name]
	if !ok || member.hello.Incarnation != incarnation || now.Sub(member.receivedAt) > m.settings.DeadAfter {
		return "", false
	}
	return m.address(name, member), true
}

// Members returns the peers that have sent heartbeats, by name; the map must not be
// modified.
func (m *Membership) Members() map[string]Member { return m.members }
