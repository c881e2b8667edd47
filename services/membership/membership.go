// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package membership keeps what a process has seen of other boxes: the
// platform's lagging list and the peers' own heartbeats. It is a hint for load;
// no promise rests on it.
package membership

import (
	"slices"
	"time"

	"saddlevane/models/box"
	"saddlevane/models/effect"
	"saddlevane/models/peer"
)

// Settings are the times of the peers' heartbeats.
type Settings struct {
	// Heartbeat is the time between two heartbeats to one peer.
	HeartbeatInterval time.Duration
	// DeadAfter is how long a peer may be silent.
	DeadAfter time.Duration
	// Seeds are peers' addresses to greet when the list cannot be read.
	Seeds []string
}

// Member is a peer in the same or another domain.
type Member struct {
	hello      peer.Hello
	receivedAt time.Time
}

// Hello returns the peer's last heartbeat.
func (m Member) Hello() peer.Hello { return m.hello }

// Membership is the state. It is not safe for concurrent use.
type Membership struct {
	settings    Settings
	self        peer.Hello
	boxes       map[string]box.Box
	listReadAt  time.Time
	members     map[string]Member
	nextHelloAt time.Time
	// liveChangedAt is when the set of live peers last changed.
	liveChangedAt time.Time
	live          []string
}

// New returns the state of a process that has seen nobody but itself.
func New(s Settings, self peer.Hello) *Membership {
	return &Membership{settings: s, self: self, boxes: map[string]box.Box{}, members: map[string]Member{}}
}

// Self returns the heartbeat of this process.
func (m *Membership) Self() peer.Hello { return m.self }

// SetYields names the shards that this process is ready to give up.
func (m *Membership) SetYields(shards []string) { m.self.Yields = shards }

// Yields says whether an incarnation of a peer is ready to give a shard up.
func (m *Membership) Yields(name, incarnation, shard string) bool {
	member, ok := m.members[name]
	return ok && member.hello.Incarnation == incarnation && slices.Contains(member.hello.Yields, shard)
}

// Leave marks this process as stopping.
func (m *Membership) Leave() { m.self.Leaving = true }

// Leaving says whether this process is stopping.
func (m *Membership) Leaving() bool { return m.self.Leaving }

// SetBoxes takes the platform's list.
func (m *Membership) SetBoxes(now time.Time, l box.List) {
	m.listReadAt = now
	m.boxes = make(map[string]box.Box, len(l.Boxes))
	for _, b := range l.Boxes {
		m.boxes[b.Name] = b
	}
}

// ListReadAt returns when the list was last read; zero if never.
func (m *Membership) ListReadAt() time.Time { return m.listReadAt }

// Box returns the list's entry of name.
func (m *Membership) Box(name string) (box.Box, bool) {
	b, ok := m.boxes[name]
	return b, ok
}

// Boxes returns the list's entries by name; it must not be changed.
func (m *Membership) Boxes() map[string]box.Box { return m.boxes }

// RecordHello takes a heartbeat.
func (m *Membership) RecordHello(now time.Time, h peer.Hello) {
	if h.Box == m.self.Box {
		return
	}
	m.members[h.Box] = Member{hello: h, receivedAt: now}
}

// Tick returns the heartbeats that are due.
func (m *Membership) Tick(now time.Time, next int64) []effect.Effect {
	m.self.Next = next
	m.updateMembers(now)
	if now.Before(m.nextHelloAt) {
		return nil
	}
	m.nextHelloAt = now.Add(m.settings.HeartbeatInterval)
	return m.hellos()
}

// LeaveHellos returns heartbeats to all peers at once, so that they hear of a
// planned stop without waiting for the next round.
func (m *Membership) LeaveHellos() []effect.Effect { return m.hellos() }

func (m *Membership) hellos() []effect.Effect {
	var effects []effect.Effect
	for _, address := range m.peerAddresses() {
		effects = append(effects, effect.SendHello{Address: address, Hello: m.self})
	}
	return effects
}

// peerAddresses returns where heartbeats go: all entry boxes of the own domain,
// as listed, heard of or given as seeds.
func (m *Membership) peerAddresses() []string {
	seen := map[string]bool{m.self.Address: true}
	var all []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
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

// address returns where a peer is reached: as the platform lists it, or else as
// it says itself.
func (m *Membership) address(name string, member Member) string {
	if b, ok := m.boxes[name]; ok && b.Role == box.Entry {
		return b.Address
	}
	return member.hello.Address
}

// updateMembers keeps when the set of live peers last changed, and forgets peers that
// have been silent for long.
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

const forgetFactor = 20

// StableFor returns how long the set of live peers has not changed.
func (m *Membership) StableFor(now time.Time) time.Duration { return now.Sub(m.liveChangedAt) }

// Live returns the entry boxes of the own domain that take work, this one
// included, sorted by name.
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

// acceptsWork says whether a peer has been heard of lately and is not leaving, by
// its own word or the list's.
func (m *Membership) acceptsWork(now time.Time, member Member) bool {
	if member.hello.Leaving || now.Sub(member.receivedAt) > m.settings.DeadAfter {
		return false
	}
	b, listed := m.boxes[member.hello.Box]
	return !listed || b.State == box.Live
}

// IsLive says whether the given incarnation of a peer, or of this process, has
// been heard of lately and takes work.
func (m *Membership) IsLive(now time.Time, name, incarnation string) bool {
	if name == m.self.Box {
		return incarnation == m.self.Incarnation && !m.self.Leaving
	}
	member, ok := m.members[name]
	return ok && member.hello.Incarnation == incarnation && m.acceptsWork(now, member)
}

// HasEnded says whether an incarnation of a box has surely ended: by a later life of
// the same box, or the list's word.
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

// AddressOf returns the address of an incarnation of a peer that has been heard of
// lately, leaving or not.
func (m *Membership) AddressOf(now time.Time, name, incarnation string) (string, bool) {
	member, ok := m.members[name]
	if !ok || member.hello.Incarnation != incarnation || now.Sub(member.receivedAt) > m.settings.DeadAfter {
		return "", false
	}
	return m.address(name, member), true
}

// Members returns the peers heard of, by name; it must not be changed.
func (m *Membership) Members() map[string]Member { return m.members }
