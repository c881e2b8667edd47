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
	Heartbeat time.Duration
	// DeadAfter is how long a peer may be silent.
	DeadAfter time.Duration
	// Seeds are peers' addresses to greet when the list cannot be read.
	Seeds []string
}

// Member is a peer in the same or another domain.
type Member struct {
	hello   peer.Hello
	heardAt time.Time
}

// Hello returns the peer's last heartbeat.
func (m Member) Hello() peer.Hello { return m.hello }

// Membership is the state. It is not safe for concurrent use.
type Membership struct {
	settings Settings
	self     peer.Hello
	boxes    map[string]box.Box
	listedAt time.Time
	members  map[string]Member
	helloAt  time.Time
	// changedAt is when the set of live peers last changed.
	changedAt time.Time
	live      []string
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

// BoxesRead takes the platform's list.
func (m *Membership) BoxesRead(now time.Time, l box.List) {
	m.listedAt = now
	m.boxes = make(map[string]box.Box, len(l.Boxes))
	for _, b := range l.Boxes {
		m.boxes[b.Name] = b
	}
}

// ListedAt returns when the list was last read; zero if never.
func (m *Membership) ListedAt() time.Time { return m.listedAt }

// Box returns the list's entry of name.
func (m *Membership) Box(name string) (box.Box, bool) {
	b, ok := m.boxes[name]
	return b, ok
}

// Boxes returns the list's entries by name; it must not be changed.
func (m *Membership) Boxes() map[string]box.Box { return m.boxes }

// HelloHeard takes a heartbeat.
func (m *Membership) HelloHeard(now time.Time, h peer.Hello) {
	if h.Box == m.self.Box {
		return
	}
	m.members[h.Box] = Member{hello: h, heardAt: now}
}

// Tick returns the heartbeats that are due.
func (m *Membership) Tick(now time.Time, next int64) []effect.Effect {
	m.self.Next = next
	m.note(now)
	if now.Before(m.helloAt) {
		return nil
	}
	m.helloAt = now.Add(m.settings.Heartbeat)
	return m.hellos()
}

// Farewell returns heartbeats to all peers at once, so that they hear of a
// planned stop without waiting for the next round.
func (m *Membership) Farewell() []effect.Effect { return m.hellos() }

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

// note keeps when the set of live peers last changed, and forgets peers that
// have been silent for long.
func (m *Membership) note(now time.Time) {
	live := m.Live(now)
	if !slices.Equal(live, m.live) {
		m.live = live
		m.changedAt = now
	}
	for name, member := range m.members {
		if now.Sub(member.heardAt) > forgetAfter*m.settings.DeadAfter {
			delete(m.members, name)
		}
	}
}

const forgetAfter = 20

// StableFor returns how long the set of live peers has not changed.
func (m *Membership) StableFor(now time.Time) time.Duration { return now.Sub(m.changedAt) }

// Live returns the entry boxes of the own domain that take work, this one
// included, sorted by name.
func (m *Membership) Live(now time.Time) []string {
	var names []string
	if !m.self.Leaving {
		names = append(names, m.self.Box)
	}
	for name, member := range m.members {
		if member.hello.Domain == m.self.Domain && m.takesWork(now, member) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// takesWork says whether a peer has been heard of lately and is not leaving, by
// its own word or the list's.
func (m *Membership) takesWork(now time.Time, member Member) bool {
	if member.hello.Leaving || now.Sub(member.heardAt) > m.settings.DeadAfter {
		return false
	}
	b, listed := m.boxes[member.hello.Box]
	return !listed || b.State == box.Live
}

// Alive says whether the given incarnation of a peer, or of this process, has
// been heard of lately and takes work.
func (m *Membership) Alive(now time.Time, name, incarnation string) bool {
	if name == m.self.Box {
		return incarnation == m.self.Incarnation && !m.self.Leaving
	}
	member, ok := m.members[name]
	return ok && member.hello.Incarnation == incarnation && m.takesWork(now, member)
}

// Gone says whether an incarnation of a box has surely ended: by a later life of
// the same box, or the list's word.
func (m *Membership) Gone(name, incarnation string) bool {
	if name == m.self.Box {
		return incarnation != m.self.Incarnation
	}
	if b, listed := m.boxes[name]; listed && b.State == box.Dead {
		return true
	}
	member, ok := m.members[name]
	return ok && member.hello.Incarnation != incarnation
}

// Find returns the address of an incarnation of a peer that has been heard of
// lately, leaving or not.
func (m *Membership) Find(now time.Time, name, incarnation string) (string, bool) {
	member, ok := m.members[name]
	if !ok || member.hello.Incarnation != incarnation || now.Sub(member.heardAt) > m.settings.DeadAfter {
		return "", false
	}
	return m.address(name, member), true
}

// Members returns the peers heard of, by name; it must not be changed.
func (m *Membership) Members() map[string]Member { return m.members }
