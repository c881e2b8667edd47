// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"
)

// tier orders steps before anything else does.
type tier int

// A job is on time if it can still be done within its objective. What is late
// gives way to it, and what cannot earn anything any more to both.
const (
	onTime tier = iota
	late
	hopeless
)

// lateMost is how many times its objective a job may take and still be of use
// to its caller (the users' rules).
const lateMost = 3

const (
	// gangsWaiting is how many gangs may keep room free at a time, and one more for
	// each workersPerGang workers. What they keep is kept from lower ranks only.
	gangsWaiting   = 2
	workersPerGang = 32
)

// queueOf returns how the configuration treats a job. A queue that is gone is
// treated like the least of all.
func (h *holding) queueOf(j *submitted) job.Queue {
	if q, ok := h.core.config.Queues[j.queue]; ok {
		return q
	}
	return job.Queue{Name: j.queue, Priority: leastPriority, Attempts: 1, Stretch: 1}
}

const leastPriority = 1 << 20

// objective returns the time within which an instance is wanted.
func objective(in *instance, q job.Queue) time.Duration {
	return time.Duration(q.Stretch*float64(in.chain())) + q.Latency
}

// slack returns how much later than now a step may start and be on time.
func (s *step) slack(now time.Time, h *holding) time.Duration {
	wanted := s.instance.dueAt.Add(objective(s.instance, h.queueOf(s.job)))
	return wanted.Sub(now) - s.left
}

// ranked is a step with what orders it.
type ranked struct {
	step     *step
	queue    job.Queue
	tier     tier
	wantedAt time.Time
}

func (h *holding) rank(now time.Time, s *step) ranked {
	r := ranked{step: s, queue: h.queueOf(s.job)}
	most := objective(s.instance, r.queue)
	r.wantedAt = s.instance.dueAt.Add(most)
	finish := now.Add(s.left)
	switch {
	case s.spec.Service || !finish.After(r.wantedAt):
		r.tier = onTime
	case !finish.After(s.instance.dueAt.Add(lateMost * most)):
		r.tier = late
	default:
		r.tier = hopeless
	}
	return r
}

func (a ranked) compare(b ranked) int {
	if a.step.advice.first != b.step.advice.first {
		if a.step.advice.first {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(a.tier, b.tier),
		cmp.Compare(a.queue.Priority, b.queue.Priority),
		a.wantedAt.Compare(b.wantedAt),
		cmp.Compare(a.step.id.Job, b.step.id.Job),
		cmp.Compare(a.step.id.Instance, b.step.id.Instance),
		cmp.Compare(a.step.id.Step, b.step.id.Step),
	)
}

// pass is one run of the plan over all open steps.
type pass struct {
	now  time.Time
	sets map[setKey]*workerSet
	// blocked counts the gangs that keep room free.
	blocked int
}

// setKey is what decides which workers a step may use, advice aside.
type setKey struct{ pool, label string }

// workerSet is the workers for one key, as they were when the pass began.
type workerSet struct {
	workers []*worker
	// most bounds the room of each of them in each resource.
	most resource.Vector
}

// plan places the tasks of open steps, the first in rank first.
func (h *holding) plan(now time.Time) {
	for _, w := range h.workers {
		w.blockedBy = nil
	}
	p := &pass{now: now, sets: map[setKey]*workerSet{}}
	misses := 0
	for _, r := range h.rankOpen(now) {
		if misses >= mostMisses {
			return
		}
		if h.placeStep(p, r) {
			continue
		}
		misses++
		if !r.step.spec.Gang {
			continue
		}
		if misses <= explained {
			h.explainWait(p, r)
		}
		if p.blocked >= max(gangsWaiting, len(h.workers)/workersPerGang) {
			continue
		}
		if h.keepRoom(p, r) {
			p.blocked++
		}
	}
}

const (
	// mostMisses ends a pass: where so many steps that rank higher have found no
	// room, a search through thousands of others costs more than it finds.
	mostMisses = 300
	// explained is of how many waiting steps a pass says why they wait.
	explained = 20
)

// explainEvery is the least time between two lines about a gang that waits.
const explainEvery = 2 * time.Second

// explainWait says why a gang does not start.
func (h *holding) explainWait(p *pass, r ranked) {
	s := r.step
	if p.now.Sub(s.explainedAt) < explainEvery {
		return
	}
	s.explainedAt = p.now
	set := h.set(p, s, r.queue.Pool)
	suited := set.workers
	if r.queue.Advice != nil {
		suited = s.suited(set.workers)
	}
	_, placed := h.fit(s, suited)
	h.core.note("gang waits for room", Field{"job", string(s.job.id)}, Field{"step", s.id.String()}, Field{"tasks", len(s.tasks)},
		Field{"need", s.spec.Need.Processors.String()}, Field{"room_for", placed}, Field{"workers_asked", len(s.advice.suits)},
		Field{"workers_suited", len(suited)}, Field{"gangs_before", p.blocked}, Field{"tier", int(r.tier)},
		Field{"slack", s.slack(p.now, h).String()})
}

// set returns the workers that may run a step, advice aside.
func (h *holding) set(p *pass, s *step, pool string) *workerSet {
	key := setKey{pool, s.spec.Label}
	if set := p.sets[key]; set != nil {
		return set
	}
	set := &workerSet{}
	for _, w := range h.workers {
		if w.Pool != pool || !h.takes(p.now, w) || s.spec.Label != "" && !slices.Contains(w.Labels, s.spec.Label) {
			continue
		}
		set.workers = append(set.workers, w)
		room := w.room()
		set.most.Processors = max(set.most.Processors, room.Processors)
		set.most.Memory = max(set.most.Memory, room.Memory)
		set.most.Accelerators = max(set.most.Accelerators, room.Accelerators)
	}
	slices.SortFunc(set.workers, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	p.sets[key] = set
	return set
}

// rankOpen returns the steps that have tasks to place, in order.
func (h *holding) rankOpen(now time.Time) []ranked {
	kept := h.open[:0]
	var all []ranked
	for _, s := range h.open {
		if !s.open || s.job.state.Final() {
			continue
		}
		kept = append(kept, s)
		if s.waiting == 0 || now.Before(s.notBefore) || s.spec.Gang && s.attempts > 0 {
			continue
		}
		if s.job.inherited && len(h.unsettled) > 0 {
			continue
		}
		all = append(all, h.rank(now, s))
	}
	clear(h.open[len(kept):])
	h.open = kept
	slices.SortFunc(all, ranked.compare)
	return all
}

// room returns what is free on a worker and not promised.
func (w *worker) room() resource.Vector { return w.free.Minus(w.promised) }

// slots returns how many more tasks of a step a worker has room for.
func (w *worker) slots(s *step, room resource.Vector) int {
	n := fits(s.spec.Reserved(), room)
	if s.spec.PerWorker > 0 {
		held := 0
		for _, a := range w.attempts {
			if a.step == s {
				held++
			}
		}
		n = min(n, s.spec.PerWorker-held)
	}
	return max(0, n)
}

// fits returns how many times need fits room.
func fits(need, room resource.Vector) int {
	n := job.MaxTasks
	if need.Processors > 0 {
		n = min(n, int(room.Processors/need.Processors))
	}
	if need.Memory > 0 {
		n = min(n, int(room.Memory/need.Memory))
	}
	if need.Accelerators > 0 {
		n = min(n, int(room.Accelerators/need.Accelerators))
	}
	if room.IsNegative() {
		return 0
	}
	return n
}

// share is some tasks on one worker.
type share struct {
	worker *worker
	tasks  int
}

// placeStep starts what it can of a step, or asks for the advice that this
// needs. It returns false if tasks are left for want of room.
func (h *holding) placeStep(p *pass, r ranked) bool {
	s := r.step
	defer func() { s.advice.first = false }()
	if r.queue.Pool == "" || s.advice.asking {
		return true
	}
	set := h.set(p, s, r.queue.Pool)
	if r.queue.Advice != nil && s.spec.Gang && s.knownSlots(set.workers) < gangChoice*len(s.tasks) {
		// A gang can wait for room on workers that suit it, if there are enough.
		if h.askUnknown(p.now, s, r.queue, set.workers) {
			return true
		}
	}
	if !s.spec.Reserved().Fits(set.most) {
		return false
	}
	suited := set.workers
	if r.queue.Advice != nil {
		suited = s.suited(set.workers)
	}
	shares, placed := h.fit(s, suited)
	whole := placed == s.waiting && (!s.spec.Gang || placed == len(s.tasks))
	if r.queue.Advice != nil && !whole && (placed == 0 || s.spec.Gang) && h.askMore(p, r, set.workers, placed) {
		return true
	}
	if placed == 0 || s.spec.Gang && !whole {
		return false
	}
	if r.queue.Advice != nil && h.refresh(p.now, r, shares) {
		return true
	}
	h.startShares(p.now, s, shares)
	return s.waiting == 0
}

// gangChoice is for how many times its tasks a gang is to know workers, so that
// it need not wait for particular ones.
const gangChoice = 2

// knownSlots returns how many tasks the workers known to suit would hold if
// empty. Workers come and go, so it is counted anew each time.
func (s *step) knownSlots(workers []*worker) int {
	slots := 0
	for _, w := range workers {
		if s.advice.suits[w] {
			slots += fits(s.spec.Reserved(), w.Capacity)
		}
	}
	return slots
}

// suited returns the candidates that the advice service named.
func (s *step) suited(candidates []*worker) []*worker {
	var all []*worker
	for _, w := range candidates {
		if s.advice.suits[w] {
			all = append(all, w)
		}
	}
	return all
}

// fit chooses workers for a step's waiting tasks: those near its data first,
// then the fullest that have room, so that large holes stay whole.
func (h *holding) fit(s *step, suited []*worker) ([]share, int) {
	open := make([]share, 0, len(suited))
	for _, w := range suited {
		if w.blockedBy != nil && w.blockedBy != s {
			continue
		}
		if n := w.slots(s, w.room()); n > 0 {
			open = append(open, share{w, n})
		}
	}
	slices.SortFunc(open, func(a, b share) int {
		return cmp.Or(
			cmp.Compare(s.far(a.worker), s.far(b.worker)),
			cmp.Compare(a.worker.room().Processors, b.worker.room().Processors),
			cmp.Compare(a.worker.ID, b.worker.ID),
		)
	})
	if s.spec.OneRack && s.spec.Gang {
		if shares, ok := inOneRack(s, open); ok {
			return shares, s.waiting
		}
	}
	return take(open, s.waiting)
}

// take takes as many tasks as wanted from the front.
func take(open []share, wanted int) ([]share, int) {
	var taken []share
	placed := 0
	for _, o := range open {
		if placed == wanted {
			break
		}
		n := min(o.tasks, wanted-placed)
		taken = append(taken, share{o.worker, n})
		placed += n
	}
	return taken, placed
}

// inOneRack looks for a rack that has room for the whole gang.
func inOneRack(s *step, open []share) ([]share, bool) {
	racks := map[string][]share{}
	var names []string
	for _, o := range open {
		if racks[o.worker.Rack] == nil {
			names = append(names, o.worker.Rack)
		}
		racks[o.worker.Rack] = append(racks[o.worker.Rack], o)
	}
	slices.Sort(names)
	for _, name := range names {
		if shares, placed := take(racks[name], s.waiting); placed == s.waiting {
			return shares, true
		}
	}
	return nil, false
}

// far returns 1 if the worker is not near the step's data.
func (s *step) far(w *worker) int {
	if s.spec.NearRack == "" || s.spec.NearRack == w.Rack {
		return 0
	}
	return 1
}

// askMore asks about workers that have room now, if those known do not. It
// returns true if a call was made.
func (h *holding) askMore(p *pass, r ranked, workers []*worker, placed int) bool {
	s := r.step
	var open []*worker
	most := placed
	for _, w := range workers {
		if _, asked := s.advice.suits[w]; asked || w.blockedBy != nil {
			continue
		}
		if n := w.slots(s, w.room()); n > 0 {
			open = append(open, w)
			most += n
		}
	}
	if len(open) == 0 || s.spec.Gang && most < len(s.tasks) {
		return false
	}
	return h.askUnknown(p.now, s, r.queue, open)
}

// refresh asks for new tickets if some of the chosen workers' have run out, and
// keeps the room meanwhile. It returns true if a call was made.
func (h *holding) refresh(now time.Time, r ranked, shares []share) bool {
	s := r.step
	stale := slices.ContainsFunc(shares, func(sh share) bool {
		_, ok := s.advice.ticketFor(now, sh.worker)
		return !ok
	})
	if !stale {
		return false
	}
	if now.Before(s.advice.askAgain) {
		return true
	}
	var workers []*worker
	for _, sh := range shares {
		workers = append(workers, sh.worker)
	}
	if h.ask(now, s, r.queue.Advice, workers) {
		for _, sh := range shares {
			h.promise(s, sh.worker, sh.tasks)
		}
	}
	return true
}

// startShares starts a step's waiting tasks on the workers chosen.
func (h *holding) startShares(now time.Time, s *step, shares []share) {
	next := 0
	run := h.nextRun(s)
	for _, sh := range shares {
		ticket, _ := s.advice.ticketFor(now, sh.worker)
		for range sh.tasks {
			for s.tasks[next].done || s.tasks[next].attempt != nil {
				next++
			}
			h.start(now, s, next, run, sh.worker, ticket)
		}
	}
	h.core.note("tasks started", Field{"job", string(s.job.id)}, Field{"step", s.id.String()}, Field{"run", run},
		Field{"workers", names(shares)}, Field{"still_waiting", s.waiting}, Field{"advised", len(s.advice.suits)},
		Field{"claim", h.epoch}, Field{"config", h.core.config.Version}, Field{"age", now.Sub(s.instance.dueAt).String()},
		Field{"slack", s.slack(now, h).String()})
}

// names lists workers with the number of tasks on each.
func names(shares []share) string {
	all := make([]string, len(shares))
	for i, sh := range shares {
		all[i] = fmt.Sprintf("%s:%d", sh.worker.ID, sh.tasks)
	}
	return strings.Join(all, " ")
}

// keepRoom keeps the workers that can hold a waiting gang soonest free of what
// ranks lower. It returns false if no set of them could hold it.
func (h *holding) keepRoom(p *pass, r ranked) bool {
	s := r.step
	suited := slices.Clone(h.set(p, s, r.queue.Pool).workers)
	if r.queue.Advice != nil {
		suited = s.suited(suited)
	}
	slices.SortStableFunc(suited, func(a, b *worker) int {
		return cmp.Compare(b.slots(s, b.room()), a.slots(s, a.room()))
	})
	placed := 0
	var kept []*worker
	for _, w := range suited {
		if w.blockedBy != nil {
			continue
		}
		if placed >= len(s.tasks) {
			break
		}
		placed += w.slots(s, w.Capacity)
		kept = append(kept, w)
	}
	if placed < len(s.tasks) {
		return false
	}
	for _, w := range kept {
		w.blockedBy = s
	}
	h.makeRoom(p, r, kept)
	return true
}
