// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"slices"
	"time"

	"saddlevane/models/spec"
)

// pool holds the classes of a pool, their queues and the pool's targets.
type pool struct {
	name    string
	spec    spec.Pool
	retired bool
	classes map[string]*class
	// byPriority holds the classes, most urgent first.
	byPriority    []*class
	targets       map[string]*target
	sortedTargets []*target
	// rotation is the index at which pickTarget starts. It advances with each
	// call, so that equally good targets are used in turn.
	rotation int
	budget   retryBudget
}

func newPool(name string) *pool {
	return &pool{name: name, classes: map[string]*class{}, targets: map[string]*target{}}
}

// setSpec replaces the settings and the classes of the pool. Classes that remain keep their
// queues and statistics.
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
	// A removed class stays in byPriority until its queue is empty.
	for name, c := range previous {
		if p.classes[name] == nil && c.waiting > 0 {
			p.byPriority = append(p.byPriority, c)
		}
	}
	p.sortClasses()
}

// sortClasses rebuilds byPriority from the current classes and from removed ones with
// waiting requests.
func (p *pool) sortClasses() {
	previous := p.byPriority
	p.byPriority = nil
	for _, c := range p.classes {
		p.byPriority = append(p.byPriority, c)
	}
	for _, c := range previous {
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

// setTargets replaces the targets by those listed. A target whose address has changed is a
// new one.
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
		// A target with requests in flight is kept: they still occupy its slots,
		// and it may be listed again.
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

// nextClass returns the class whose first request is sent next, or nil if none
// waits. If byPriority is set, the most urgent classes come first; among the
// classes compared, the one whose first request arrived earliest is chosen.
func (p *pool) nextClass(byPriority bool) *class {
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
		if byPriority && c.spec.Priority != best.spec.Priority {
			break
		}
		if head.arrivedAt.Before(best.peek().arrivedAt) {
			best = c
		}
	}
	return best
}

// pickTarget returns the target for a request of class c, or nil if none has a
// free slot. Ejected targets are probed only with requests that may be repeated,
// because a probe is likely to fail.
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

// slots returns the number of requests that this box may have in flight at all
// healthy targets together.
func (p *pool) slots(now time.Time) int {
	n := 0
	for _, t := range p.sortedTargets {
		if !t.isLeaving(now) && !t.isEjected() {
			n += t.limit
		}
	}
	return n
}

// inflight returns the number of requests that are being served by targets.
func (p *pool) inflight() int {
	n := 0
	for _, t := range p.sortedTargets {
		n += t.inflight
	}
	return n
}

// expectedWait returns how long a request of class c that arrives now would
// wait. It is the larger of two estimates: queueWait, from the queues ahead, and
// the wait at the rate at which the current backlog of the class has been served.
// The second accounts for more urgent requests that keep arriving.
func (p *pool) expectedWait(now time.Time, c *class) time.Duration {
	observed, _ := c.backlog.estimateWait(now, c.waiting, c.serviceTime.mean())
	return max(observed, p.queueWait(now, c))
}

// queueWait estimates the wait of a request of class c from the requests that are
// queued ahead of it, their mean service times and the number of slots. Without
// healthy targets it returns the time until one can be probed.
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

// timeUntilProbe returns the time until the first ejected target may be probed.
func (p *pool) timeUntilProbe(now time.Time) time.Duration {
	shortest := time.Duration(-1)
	for _, t := range p.sortedTargets {
		if t.isLeaving(now) || t.limit == 0 {
			continue
		}
		if wait := max(t.ejectedUntil.Sub(now), 0); shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	return max(shortest, 0)
}

// class is a class of requests and its queue.
type class struct {
	spec spec.Class
	// queue holds the requests by deadline, from index head on. Requests that no
	// longer wait may remain in it, so waiting counts those that do.
	queue       []*pending
	head        int
	waiting     int
	serviceTime durationEWMA
	backlog     backlog
}

// minTimeLeft returns the minimum time that must remain before a request's
// deadline for it to be sent. It is larger for a request that may not be
// repeated, because such a request must be allowed to finish, whereas an attempt
// at any other can be cut off.
func (c *class) minTimeLeft() time.Duration {
	if c.spec.Repeatable {
		return c.serviceTime.mean()
	}
	return min(c.serviceTime.upperBound(), c.spec.Deadline/2)
}

// push inserts a request into the queue, which is sorted by deadline. A request
// that is retried, or that a peer forwarded, may have an earlier deadline than
// those already queued.
func (c *class) push(q *pending) {
	c.waiting++
	if n := len(c.queue); n == c.head || !q.deadline.Before(c.queue[n-1].deadline) {
		c.queue = append(c.queue, q)
		return
	}
	index, _ := slices.BinarySearchFunc(c.queue[c.head:], q, func(a, b *pending) int {
		return a.deadline.Compare(b.deadline)
	})
	c.queue = slices.Insert(c.queue, c.head+index, q)
}

// peek returns the first request that still waits, or nil. It removes the ended
// requests ahead of it from the queue.
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

// pop removes the first request that still waits from the queue and returns it, or nil.
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

// countAbandoned subtracts an abandoned request from the count of waiting ones.
// The request stays in the queue until peek or compact removes it.
func (c *class) countAbandoned() {
	c.waiting--
	c.compact()
}

// compact removes sent and abandoned requests from a queue of at least 64 entries
// once they are at least half of it.
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

// durationEWMA is an exponentially weighted moving average of durations, and of
// their absolute deviation from it.
type durationEWMA struct{ value, deviation time.Duration }

// ewmaDivisor is the inverse of the weight of a new sample.
const ewmaDivisor = 16

// add adds a sample. The first one sets the average and half of it as the deviation.
func (s *durationEWMA) add(d time.Duration) {
	if s.value == 0 {
		s.value, s.deviation = d, d/2
		return
	}
	diff := d - s.value
	s.value += diff / ewmaDivisor
	s.deviation += (max(diff, -diff) - s.deviation) / ewmaDivisor
}

func (s *durationEWMA) mean() time.Duration { return s.value }

// upperBound returns a duration that few samples exceed: the mean plus four
// deviations, as for TCP retransmission timers (RFC 6298).
func (s *durationEWMA) upperBound() time.Duration { return s.value + 4*s.deviation }

// backlog measures the rate at which a class is served while its queue is never
// empty. since is the start of the measurement, sent the number of requests sent
// from then on.
type backlog struct {
	since time.Time
	sent  int
}

// minObservation is how long a backlog must last before its rate is used.
const minObservation = time.Second

// estimateWait returns how long the last of the waiting requests will wait at the
// observed rate, or false if the backlog has not lasted long enough.
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

// update records the number of waiting requests. It is called after each change.
func (b *backlog) update(now time.Time, waiting int) {
	switch {
	case waiting == 0:
		*b = backlog{}
	case b.since.IsZero():
		b.since = now
	case now.Sub(b.since) > maxObservation:
		// Halve the weight of old observations, as the rate may have changed.
		b.since, b.sent = b.since.Add(now.Sub(b.since)/2), b.sent/2
	}
}

// maxObservation is the length of an observation at which its weight is halved.
const maxObservation = 8 * time.Second

// retryBudget is a token bucket that limits retries to a fraction of new requests.
// A token allows one retry.
type retryBudget struct {
	tokens      float64
	initialized bool
}

// earn adds the fraction of a token that one new request earns. The budget starts full.
func (b *retryBudget) earn(s Settings) {
	if !b.initialized {
		b.tokens, b.initialized = s.RetryBurst, true
	}
	b.tokens = min(b.tokens+s.RetryRatio, s.RetryBurst)
}

// spend takes the token for a retry and reports whether there was one.
func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
