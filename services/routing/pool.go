// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"slices"
	"time"

	"saddlevane/models/spec"
)

// pool is a pool in force: its classes, their queues and its targets.
type pool struct {
	name    string
	spec    spec.Pool
	retired bool
	classes map[string]*class
	// order holds the classes, urgent first.
	byPriority    []*class
	targets       map[string]*target
	sortedTargets []*target
	// turn rotates where pick starts, so that equals take turns.
	rotation int
	budget   retryBudget
}

func newPool(name string) *pool {
	return &pool{name: name, classes: map[string]*class{}, targets: map[string]*target{}}
}

func (p *pool) setSpec(s spec.Pool) {
	p.spec, p.retired = s, false
	previous := p.classes
	p.classes = make(map[string]*class, len(s.Classes))
	for _, k := range s.Classes {
		c := previous[k.Name]
		if c == nil {
			c = &class{}
		}
		c.spec = k
		p.classes[k.Name] = c
	}
	// A class that is gone stays in the order until its queue has drained.
	for name, c := range previous {
		if p.classes[name] == nil && c.waiting > 0 {
			p.byPriority = append(p.byPriority, c)
		}
	}
	p.sortClasses()
}

func (p *pool) sortClasses() {
	gone := p.byPriority
	p.byPriority = nil
	for _, c := range p.classes {
		p.byPriority = append(p.byPriority, c)
	}
	for _, c := range gone {
		if c.waiting > 0 && !slices.Contains(p.byPriority, c) {
			p.byPriority = append(p.byPriority, c)
		}
	}
	slices.SortFunc(p.byPriority, func(a, b *class) int {
		if d := a.spec.Priority.Rank() - b.spec.Priority.Rank(); d != 0 {
			return d
		}
		if a.spec.Name < b.spec.Name {
			return -1
		}
		return 1
	})
}

func (p *pool) setTargets(listed map[string]Target) {
	for name, l := range listed {
		t := p.targets[name]
		if t == nil || t.address != l.Address {
			t = &target{name: name, address: l.Address}
			p.targets[name] = t
		}
		t.listedLeaving = l.Leaving
	}
	for name, t := range p.targets {
		if _, stays := listed[name]; stays {
			continue
		}
		// One that has requests is kept, because it may come back and its slots
		// are still filled.
		t.listedLeaving = true
		if t.inflight == 0 {
			delete(p.targets, name)
		}
	}
	p.sortedTargets = p.sortedTargets[:0]
	for _, name := range sortedNames(p.targets) {
		p.sortedTargets = append(p.sortedTargets, p.targets[name])
	}
}

// nextClass returns the class whose head goes next: the most urgent, and among
// equally urgent ones the one that has waited longest. If not ordered, urgency
// does not count.
func (p *pool) nextClass(ordered bool) *class {
	var best *class
	for _, c := range p.byPriority {
		head := c.peek()
		if head == nil {
			continue
		}
		if best == nil {
			best = c
			continue
		}
		if ordered && c.spec.Priority != best.spec.Priority {
			break
		}
		if head.arrivedAt.Before(best.peek().arrivedAt) {
			best = c
		}
	}
	return best
}

// pickTarget returns the target for a request of class c, or nil if none has a free
// slot. Ejected targets are probed only with requests that may be repeated.
func (p *pool) pickTarget(now time.Time, c *class, policy Policy) *target {
	var best *target
	p.rotation++
	for i := range p.sortedTargets {
		t := p.sortedTargets[(p.rotation+i)%len(p.sortedTargets)]
		if !t.isUsable(now, c.spec.Repeatable) {
			continue
		}
		if t.isEjected() {
			return t
		}
		if best == nil || policy.Better(t, best) {
			best = t
		}
	}
	return best
}

// slots returns how many requests this box may have at healthy targets.
func (p *pool) slots(now time.Time) int {
	n := 0
	for _, t := range p.sortedTargets {
		if !t.isLeaving(now) && !t.isEjected() {
			n += t.limit
		}
	}
	return n
}

// inflight returns how many requests are at targets.
func (p *pool) inflight() int {
	n := 0
	for _, t := range p.sortedTargets {
		n += t.inflight
	}
	return n
}

// expectedWait returns how long a request of class c that came now would wait:
// by the queues ahead of it, the usual service times and the slots; and, since
// more urgent requests keep coming, by how fast the class has been served while
// it waited.
func (p *pool) expectedWait(now time.Time, c *class) time.Duration {
	seen, _ := c.backlog.estimateWait(now, c.waiting, c.serviceTime.mean())
	return max(seen, p.queueWait(now, c))
}

func (p *pool) queueWait(now time.Time, c *class) time.Duration {
	slots := p.slots(now)
	if slots == 0 {
		return p.timeUntilProbe(now)
	}
	var work time.Duration
	for _, other := range p.byPriority {
		if other.spec.Priority.Rank() <= c.spec.Priority.Rank() {
			work += time.Duration(other.waiting) * other.serviceTime.mean()
		}
	}
	if work == 0 {
		return 0
	}
	return work / time.Duration(slots)
}

// timeUntilProbe returns how long until the first ejected target is tried again.
func (p *pool) timeUntilProbe(now time.Time) time.Duration {
	least := time.Duration(-1)
	for _, t := range p.sortedTargets {
		if t.isLeaving(now) || t.limit == 0 {
			continue
		}
		if wait := max(t.ejectedUntil.Sub(now), 0); least < 0 || wait < least {
			least = wait
		}
	}
	return max(least, 0)
}

// class is a class of requests and its queue.
type class struct {
	spec        spec.Class
	queue       []*pending
	head        int
	waiting     int
	serviceTime durationEWMA
	backlog     backlog
}

// minTimeLeft returns how much of its time a request must have left to be sent: one
// that may be repeated can be cut off, any other must be let finish.
func (c *class) minTimeLeft() time.Duration {
	if c.spec.Repeatable {
		return c.serviceTime.mean()
	}
	return min(c.serviceTime.upperBound(), c.spec.Deadline/2)
}

// push puts a request in the queue, which is in the order of deadlines: a
// request that was sent before, or that a peer passed on, goes ahead of those
// that can wait longer.
func (c *class) push(q *pending) {
	c.waiting++
	if n := len(c.queue); n == c.head || !q.deadline.Before(c.queue[n-1].deadline) {
		c.queue = append(c.queue, q)
		return
	}
	at, _ := slices.BinarySearchFunc(c.queue[c.head:], q, func(a, b *pending) int {
		return a.deadline.Compare(b.deadline)
	})
	c.queue = slices.Insert(c.queue, c.head+at, q)
}

// peek returns the first request that still waits, or nil.
func (c *class) peek() *pending {
	for c.head < len(c.queue) {
		if q := c.queue[c.head]; q.state == stageWaiting {
			return q
		}
		c.queue[c.head] = nil
		c.head++
	}
	c.queue, c.head = c.queue[:0], 0
	return nil
}

func (c *class) pop() *pending {
	q := c.peek()
	if q == nil {
		return nil
	}
	c.queue[c.head] = nil
	c.head++
	c.waiting--
	c.compact()
	return q
}

// countAbandoned counts one request out that stays in the queue as a gap.
func (c *class) countAbandoned() {
	c.waiting--
	c.compact()
}

// compact closes gaps once they are the larger part of a queue.
func (c *class) compact() {
	if len(c.queue) < 64 || len(c.queue) < 2*c.waiting {
		return
	}
	kept := make([]*pending, 0, c.waiting)
	for _, q := range c.queue[c.head:] {
		if q != nil && q.state == stageWaiting {
			kept = append(kept, q)
		}
	}
	c.queue, c.head = kept, 0
}

// durationEWMA is an exponentially weighted mean of durations and of their deviation
// from it.
type durationEWMA struct{ value, deviation time.Duration }

const ewmaDivisor = 16

func (s *durationEWMA) add(d time.Duration) {
	if s.value == 0 {
		s.value, s.deviation = d, d/2
		return
	}
	off := d - s.value
	s.value += off / ewmaDivisor
	s.deviation += (max(off, -off) - s.deviation) / ewmaDivisor
}

func (s *durationEWMA) mean() time.Duration { return s.value }

// upperBound returns a time that few exceed: the mean and four deviations, as
// retransmission timers do it (RFC 6298).
func (s *durationEWMA) upperBound() time.Duration { return s.value + 4*s.deviation }

// backlog watches how fast a class is served while some of it always waits.
type backlog struct {
	since time.Time
	sent  int
}

// minObservation is how long a backlog must have lasted before its rate counts.
const minObservation = time.Second

// estimateWait returns how long the last of waiting requests will wait at the rate seen,
// or false if the backlog is too young to tell.
func (b *backlog) estimateWait(now time.Time, waiting int, service time.Duration) (time.Duration, bool) {
	if waiting == 0 || b.since.IsZero() {
		return 0, false
	}
	elapsed := now.Sub(b.since)
	if elapsed < max(minObservation, 2*service) {
		return 0, false
	}
	return elapsed * time.Duration(waiting) / time.Duration(max(b.sent, 1)), true
}

// update is told how many wait after each change.
func (b *backlog) update(now time.Time, waiting int) {
	switch {
	case waiting == 0:
		*b = backlog{}
	case b.since.IsZero():
		b.since = now
	case now.Sub(b.since) > maxObservation:
		// What was long ago tells little of how fast it goes now.
		b.since, b.sent = b.since.Add(now.Sub(b.since)/2), b.sent/2
	}
}

const maxObservation = 8 * time.Second

// retryBudget lets retries be only a part of fresh requests.
type retryBudget struct {
	tokens      float64
	initialized bool
}

func (b *retryBudget) earn(s Settings) {
	if !b.initialized {
		b.tokens, b.initialized = s.RetryBurst, true
	}
	b.tokens = min(b.tokens+s.RetryRatio, s.RetryBurst)
}

func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
