package main

import (
	"fmt"
	"os"
	"time"
)

// playReborn hands in one job of one task in a calm cell of eight runners. The order to start the task gets no
// answer, and its runner is cut off for a moment, so that the order is not repeated there. The task is started on
// another runner. Then the first runner is cut off again and starts anew under its id behind the cut, and the
// order is carried out there. No daemon is touched. Rule: TWICE (two runs at the same time on runners that are
// up; with VARIANT=short, a start after a run that ended done, if that end is taken note of).
func playReborn(recordPath string) (int, error) {
	r, err := newRigOf(runnerKind{keepsID: true, proxied: true}, recordPath, 3, 8)
	if r != nil {
		defer r.close()
	}
	if err != nil {
		return notRun, err
	}
	const (
		hit, other = "aaaa000000000001", "cccc000000000001"
		calm       = 10 * time.Second
		// The order is carried out lateBy after it arrived. The first cut begins with the order.
		lateBy      = 9 * time.Second
		firstCut    = 2500 * time.Millisecond
		otherAt     = time.Second
		secondCutAt = 6 * time.Second
		secondCut   = 5 * time.Second
		down        = 500 * time.Millisecond
		// The holder keeps ends back for 15 s while an order to start their task may be on its way.
		after = 20 * time.Second
	)
	work := 8 * time.Second
	if os.Getenv("VARIANT") == "short" {
		work = 500 * time.Millisecond
	}
	isFirst := true
	r.lateOrder = func(n *life, in wireOrder) time.Duration {
		r.runMu.Lock()
		defer r.runMu.Unlock()
		if !r.trouble || !isFirst || jobOf(in.Task) != hit {
			return 0
		}
		isFirst = false
		m, arrived := n.machine, now()
		r.note("the order to start %s run %d gets no answer; its runner %s is cut off", in.Task, in.Run, n.id)
		m.proxy.setCut(true)
		go func() {
			time.Sleep(firstCut)
			r.note("the cut ends")
			m.proxy.setCut(false)
			time.Sleep(until(arrived.Add(secondCutAt)))
			r.note("%s is cut off again, and crashes behind the cut", n.id)
			m.proxy.setCut(true)
			m.crash(down)
			time.Sleep(secondCut)
			r.note("the cut ends")
			m.proxy.setCut(false)
		}()
		return lateBy
	}
	time.Sleep(calm)
	if !r.submit(hit, jobOfOne(40000, work)) {
		return notRun, fmt.Errorf("the job was not accepted")
	}
	// A second job lets another runner be the one that the task fits best.
	time.Sleep(otherAt)
	if !r.submit(other, jobOfOne(20000, time.Minute)) {
		return notRun, fmt.Errorf("the other job was not accepted")
	}
	state := r.awaitState(hit, 25*time.Second)
	time.Sleep(after)
	r.runMu.Lock()
	defer r.runMu.Unlock()
	if r.trouble && isFirst {
		return notRun, fmt.Errorf("the task was not started")
	}
	together, again := r.twice()
	return r.verdict(together+again > 0, "the job is %q; %d times a task had two runs at once, %d times it was started after an end that was taken note of", state, together, again), nil
}

// jobOfOne returns a job of one task.
func jobOfOne(cpu int, work time.Duration) map[string]any {
	ms := work.Milliseconds()
	return map[string]any{"spec": fmt.Sprintf("work=%d", ms), "steps": []map[string]any{{"count": 1, "cpu": cpu, "memMb": 20000, "estimatedMs": ms}}}
}

// twice counts how often a task had two runs at the same time on runners that were up, and how often it was
// started after a run that ended done, if that end was taken note of. The caller holds runMu.
func (r *rig) twice() (together, again int) {
	for i, t := range r.all {
		r.note("%s run %d on %s from %s to %s: %s, taken note of at %s", t.task, t.number, t.life.id, r.at(t.begun), r.at(t.endedAt), t.how, r.at(t.notedAt))
		for _, o := range r.all[:i] {
			switch {
			case o.task != t.task:
			case !o.ended, o.endedAt.After(t.begun):
				together++
			case o.how == "done" && !o.notedAt.IsZero():
				again++
			}
		}
	}
	return together, again
}

// at returns a time as the record gives it.
func (r *rig) at(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%.3f", t.Sub(r.begun).Seconds())
}
