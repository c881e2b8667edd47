// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"saddlevane/models/job"
	"saddlevane/services/blame"
)

// Tasks under which workers have crashed are suspects: what is held against each is
// judged by package blame and kept in the log. They are tried apart from each other.

const (
	// atRiskShare is one over the share of the workers that may be expected to crash at a
	// time under suspects, and jobAtRisk how many workers one job may risk.
	atRiskShare = 16
	jobAtRisk   = 0.5
	// calmBefore is for how long a worker starts nothing before a likely suspect begins
	// there, and trialFor for how long after it.
	calmBefore = time.Second
	trialFor   = 2 * time.Second
	// prepareMost is how long a worker is kept for a likely suspect that has not begun.
	prepareMost = 3 * time.Second
	// verdictAfter is how long after a crash a job is given up for it: about as long as it
	// takes until other workers that crashed at the same time are seen.
	verdictAfter = time.Second
	// unknownTasks is the hazard, a second, of a crash by tasks of which this holder does
	// not know: those on a worker that it has not heard yet, about a dozen.
	unknownTasks = 0.01
)

// unit returns the task that stands for another in what is held against it: the members
// of a gang run together, and the first stands for all.
func (s *step) unit(index int) int {
	if s.spec.Gang {
		return 0
	}
	return index
}

// blameOf returns what is held against a task.
func (s *step) blameOf(index int) job.Blame { return s.tasks[s.unit(index)].blame }

// holdAgainst notes what is held against a task from now on.
func (s *step) holdAgainst(index int, b job.Blame) {
	t := &s.tasks[s.unit(index)]
	if blame.Suspected(t.blame) {
		s.suspects--
	}
	t.blame = b
	if blame.Suspected(b) {
		s.suspects++
	}
}

// gangSuspected says whether a step is a gang that is to be kept apart from other suspects.
func (s *step) gangSuspected() bool { return s.spec.Gang && s.suspects > 0 }

// waitsSuspected says whether a task waits for a place that is to be tried apart.
func (s *step) waitsSuspected(index int) bool {
	t := &s.tasks[index]
	return s.suspects > 0 && !s.spec.Gang && !t.done && t.attempt == nil && blame.Suspected(t.blame)
}

// toPlace counts the waiting tasks that need not be tried apart.
func (s *step) toPlace() int {
	n := s.waiting
	for i := 0; i < len(s.tasks) && s.suspects > 0; i++ {
		if s.waitsSuspected(i) {
			n--
		}
	}
	return n
}

// suspect is a task, or a gang, that was on a worker when it crashed.
type suspect struct {
	step   *step
	index  int
	run    int64
	worked time.Duration
	// alone says that no other task had begun on the worker shortly before, or since.
	alone bool
	// bound says that worked is no more than a bound.
	bound bool
}

// suspectsOn returns the tasks on a worker that stopped answering at a time.
func (h *holding) suspectsOn(w *worker, at time.Time) []suspect {
	var all []suspect
	add := func(next suspect) {
		if next.step.job.state.Final() || next.step.blamedFor(next) {
			return
		}
		if i := slices.IndexFunc(all, next.same); i >= 0 {
			all[i].worked = max(all[i].worked, next.worked)
			all[i].alone = all[i].alone && next.alone
			return
		}
		all = append(all, next)
	}
	for _, a := range w.sorted() {
		add(suspect{step: a.step, index: a.step.unit(a.index), run: a.run, worked: h.atWorkMost(a, at), alone: a.isAlone(), bound: a.beganAt.IsZero()})
	}
	for _, s := range h.triedOn[w.ID] {
		if b := s.step.blameOf(s.index); slices.Contains(b.TriedOn, w.ID) {
			s.bound = true
			s.worked = max(0, time.Duration(h.core.unixMilli(at)-b.TriedAt)*time.Millisecond)
			add(s)
		}
	}
	delete(h.triedOn, w.ID)
	return all
}

// isAlone says whether no task but those of its unit had begun on its worker shortly
// before an attempt, or since.
func (a *attempt) isAlone() bool {
	for _, o := range a.worker.attempts {
		if o.step == a.step && o.step.unit(o.index) == a.step.unit(a.index) {
			continue
		}
		if o.beganAt.After(a.beganAt.Add(-calmBefore)) {
			return false
		}
	}
	return !a.beganAt.IsZero()
}

// blamedFor says whether a crash under the same run of a gang was judged before. The run
// ended with it, and workers that crash together have one cause.
func (s *step) blamedFor(o suspect) bool {
	return s.spec.Gang && o.run != 0 && s.tasks[o.index].blamedRun == o.run
}

// same says whether another suspect is the same task.
func (s suspect) same(o suspect) bool { return s.step == o.step && s.index == o.index }

// noteTried notes on which worker an earlier holder had started a suspect: if the worker
// is gone, it crashed under it.
func (h *holding) noteTried(s *step, index int) {
	for _, id := range s.blameOf(index).TriedOn {
		h.triedOn[id] = append(h.triedOn[id], suspect{step: s, index: s.unit(index)})
	}
}

// atWorkMost returns for how long at most an attempt had been at work at a time. One that
// an earlier holder started had been for at least as long as a lease lasts, or so it is
// taken: little is held against it.
func (h *holding) atWorkMost(a *attempt, at time.Time) time.Duration {
	if a.beganAt.IsZero() {
		return max(0, at.Sub(a.since)) + h.core.settings.Lease
	}
	return a.workedUntil(at)
}

// crash is what is known of the crash of a worker.
type crash struct {
	worker, rack string
	at           time.Time
	on           []suspect
	// input is what is held against each of them before, and for how long they worked.
	input []blame.Suspect
	// unknown is the hazard by tasks that this holder does not know.
	unknown float64
}

// judged returns what the crash says of the tasks that were on the worker, by what is
// known of other workers now.
func (c *crash) judged(b *blame.Background) []job.Blame {
	return blame.Judge(c.input, b.Hazard(c.at, c.worker, c.rack)+c.unknown)
}

// judge tells what the crash of a worker says of the tasks that were on it.
func (h *holding) judge(now time.Time, w *worker, on []suspect) {
	c := &crash{worker: w.ID, rack: w.Rack, at: w.silentSince, on: on}
	for _, s := range on {
		c.input = append(c.input, blame.Suspect{Before: s.step.tasks[s.index].blame, Worked: s.worked, Alone: s.alone, Bound: s.bound})
	}
	if !w.settled {
		c.unknown = unknownTasks
	}
	judged := c.judged(&h.background)
	h.background.Crashed(w.Rack, blame.Unexplained(judged))
	for i := range on {
		h.holdAgainst(now, c, i, judged[i])
	}
}

// holdAgainst notes what is held against a task since a worker crashed under it. If that
// is enough to give its job up, it is judged again shortly.
func (h *holding) holdAgainst(now time.Time, c *crash, i int, b job.Blame) {
	on := c.on[i]
	s, t := on.step, &on.step.tasks[on.index]
	s.holdAgainst(on.index, b)
	t.blamedRun = on.run
	h.markDirty(s.job)
	h.core.note("a worker crashed under a task", Field{"job", string(s.job.id)}, Field{"task", s.taskName(on.index)}, Field{"worker", c.worker},
		Field{"crashes", b.Crashes}, Field{"guilty", fmt.Sprintf("%.3g", blame.Probability(b))}, Field{"worked_most", on.worked.String()})
	t.tryAfter = now.Add(blame.Wait(b))
	if blame.Guilty(b) {
		t.accused = true
		h.accused = append(h.accused, accusation{task: on, crash: c, place: i, due: now.Add(verdictAfter)})
	}
}

// accusation is a task that is to be given up, unless more is known of the crash by then:
// when the first of several workers that crash together is seen, the others are not.
type accusation struct {
	task suspect
	// crash is what it is accused for, at which it has a place, or nil under an earlier
	// holder.
	crash *crash
	place int
	due   time.Time
}

// judged returns what is held against the task by what is known now.
func (a accusation) judged(b *blame.Background) job.Blame {
	if a.crash == nil {
		return a.task.step.blameOf(a.task.index)
	}
	return a.crash.judged(b)[a.place]
}

// verdicts gives up the jobs of accused tasks whose time has come, if all that is known
// now still says so.
func (h *holding) verdicts(now time.Time) {
	for len(h.accused) > 0 && !now.Before(h.accused[0].due) {
		a := h.accused[0]
		h.accused = h.accused[1:]
		s, b := a.task.step, a.judged(&h.background)
		s.tasks[a.task.index].accused = false
		if s.job.state.Final() || s.blameOf(a.task.index).Crashes != b.Crashes {
			continue
		}
		s.holdAgainst(a.task.index, b)
		h.markDirty(s.job)
		if blame.Guilty(b) {
			h.giveUp(now, s, a.task.index)
		}
	}
}

// giveUp gives up the job of a task under which workers crashed.
func (h *holding) giveUp(now time.Time, s *step, index int) {
	b := s.blameOf(index)
	h.core.do(GivenUp{Crashes: b.Crashes})
	h.finish(now, s.job, job.Failed, fmt.Sprintf("%d workers crashed under task %s", b.Crashes, s.taskName(index)))
}

// taskName names a task of the step.
func (s *step) taskName(index int) string { return job.TaskID{StepID: s.id, Index: index}.String() }

// acquit drops what is held against a task: a run of it has ended, or has been at work
// for long. The crashes that were put down to it have had other causes.
func (h *holding) acquit(s *step, index int) {
	b := s.blameOf(index)
	if b.Crashes == 0 {
		return
	}
	s.holdAgainst(index, job.Blame{})
	for i := range s.tasks {
		if a := s.tasks[i].attempt; a != nil && s.unit(i) == s.unit(index) {
			a.leaveTrial()
		}
	}
	if !s.job.state.Final() {
		h.markDirty(s.job)
	}
}

// worksOn takes that an attempt is at work on a worker that lives.
func (h *holding) worksOn(now time.Time, a *attempt) {
	worked := now.Sub(a.since)
	if b := a.step.blameOf(a.index); b.Crashes > 0 && blame.Cleared(b, worked) {
		h.acquit(a.step, a.index)
	}
	if a.trial && worked > trialFor {
		a.endTrial()
	}
}

// enterTrial notes on its worker, and for the next holder, that an attempt is of a
// suspect.
func (h *holding) enterTrial(now time.Time, a *attempt) {
	b := a.step.blameOf(a.index)
	if b.Crashes == 0 {
		return
	}
	if b.TriedAt != h.core.unixMilli(now) {
		b.TriedOn, b.TriedAt = nil, h.core.unixMilli(now)
	}
	b.TriedOn = append(slices.Clone(b.TriedOn), a.worker.ID)
	a.step.holdAgainst(a.index, b)
	h.markDirty(a.step.job)
	if !blame.Suspected(b) {
		return
	}
	a.risk = blame.Probability(b)
	if a.step.spec.Gang {
		a.risk /= float64(len(a.step.tasks))
	}
	a.worker.suspects++
	if blame.Likely(b) {
		a.trial = true
		a.worker.trials++
	}
}

// leaveTrial takes back what enterTrial noted.
func (a *attempt) leaveTrial() {
	if a.risk == 0 {
		return
	}
	a.risk = 0
	a.worker.suspects--
	a.endTrial()
}

// endTrial lets the worker of a likely suspect take other tasks.
func (a *attempt) endTrial() {
	if a.trial {
		a.trial = false
		a.worker.trials--
	}
}

// tryOut starts the waiting suspects of a step that may be tried now, each on a worker
// without another. It is told which workers suit the step.
func (h *holding) tryOut(p *pass, r ranked, set *workerSet) {
	s := r.step
	for i := range s.tasks {
		if !s.waitsSuspected(i) || !h.mayTry(p.now, s, i) {
			continue
		}
		w := h.trialPlace(p, r, set, i)
		if w == nil {
			if r.queue.Advice != nil && !s.advice.asking() {
				h.askMore(p.now, r, set.workers)
			}
			return
		}
		ticket, valid := s.advice.ticketFor(p.now, w)
		if r.queue.Advice != nil && !valid {
			h.refresh(p.now, r, []share{{w, 1}})
			return
		}
		if !w.calm(p.now) && blame.Likely(s.tasks[i].blame) {
			continue
		}
		w.prepared = nil
		h.start(p.now, s, i, h.nextRun(s), w, ticket)
		h.core.note("a suspected task is tried", Field{"job", string(s.job.id)}, Field{"task", s.taskName(i)}, Field{"run", s.lastRun},
			Field{"worker", w.ID}, Field{"beside", len(w.attempts) - 1}, Field{"crashes", s.tasks[i].blame.Crashes}, Field{"claim", h.epoch})
	}
}

// trialPlace returns a worker for a suspect, or nil: one without another suspect. For a
// likely one that is the emptiest, which from then on gets nothing else.
func (h *holding) trialPlace(p *pass, r ranked, set *workerSet, index int) *worker {
	s := r.step
	likely := blame.Likely(s.blameOf(index))
	if w := h.preparedFor(s, index); likely && w != nil {
		if w.slots(s, w.room()) > 0 {
			return w
		}
		// Its room has shrunk, or is taken by what started late.
		w.prepared = nil
	}
	var best *candidate
	for _, c := range h.candidates(p.now, s, r.suited(set)) {
		if c.worker.suspects == 0 && c.worker.prepared == nil && (best == nil || c.betterTrial(*best, likely)) {
			best = &c
		}
	}
	if best == nil {
		return nil
	}
	if likely {
		best.worker.prepared = &preparation{step: s, index: index, since: p.now}
	}
	return best.worker
}

// preparation is a worker's being kept for a likely suspect.
type preparation struct {
	step  *step
	index int
	since time.Time
}

// preparedFor returns the worker that is kept for a suspect, or nil.
func (h *holding) preparedFor(s *step, index int) *worker {
	for _, w := range h.byName() {
		if w.prepared != nil && w.prepared.step == s && w.prepared.index == index {
			return w
		}
	}
	return nil
}

// endPreparation lets a worker take other tasks again whose suspect does not come.
func (h *holding) endPreparation(now time.Time, w *worker) {
	if pr := w.prepared; pr != nil && (now.Sub(pr.since) > prepareMost || !pr.step.open || !pr.step.waitsSuspected(pr.index) || !h.isSound(now, w)) {
		w.prepared = nil
		h.planDue = true
	}
}

// calm says whether nothing was started on a worker lately.
func (w *worker) calm(now time.Time) bool {
	for _, a := range w.attempts {
		if now.Sub(a.beganAt) < calmBefore {
			return false
		}
	}
	return true
}

// mayTry says whether a suspect may be tried now: what is held against it is in the log
// if it is likely to be guilty, and not too many workers are at risk.
func (h *holding) mayTry(now time.Time, s *step, index int) bool {
	b := s.blameOf(index)
	t := &s.tasks[s.unit(index)]
	if t.accused || now.Before(t.tryAfter) || blame.Likely(b) && h.journal.awaits(s.job) {
		return false
	}
	risk := blame.Probability(b)
	all, ofJob := h.atRisk(s.job)
	return (all == 0 || all+risk <= float64(len(h.workers))/atRiskShare) && (ofJob == 0 || ofJob+risk <= jobAtRisk)
}

// atRisk returns how many workers are expected to crash under the suspects on them, all
// and those of a job.
func (h *holding) atRisk(j *submitted) (all, ofJob float64) {
	for _, w := range h.byName() {
		if w.suspects == 0 {
			continue
		}
		for _, a := range w.sorted() {
			all += a.risk
			if a.step.job == j {
				ofJob += a.risk
			}
		}
	}
	return all, ofJob
}

// betterTrial says whether a candidate is better than another for trying a suspect.
func (c candidate) betterTrial(o candidate, likely bool) bool {
	beside := 0
	if likely {
		beside = cmp.Compare(len(c.worker.attempts), len(o.worker.attempts))
	}
	return cmp.Or(cmp.Compare(c.unticketed, o.unticketed), beside, c.compare(o)) < 0
}

// awaits says whether the log does not have the last progress of a job yet.
func (j *journal) awaits(s *submitted) bool {
	return s.dirty || j.batch != nil && slices.ContainsFunc(j.batch.progress, func(b batched) bool { return b.job == s })
}

// whySuspected says why the suspects of a step wait, or "".
func (h *holding) whySuspected(s *step) string {
	for i := range s.tasks {
		if b := s.tasks[i].blame; blame.Suspected(b) {
			return fmt.Sprintf("%d workers crashed under task %d, which crashes them with probability %.2g; it is tried apart", b.Crashes, i, blame.Probability(b))
		}
	}
	return ""
}
