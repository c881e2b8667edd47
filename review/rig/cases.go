package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The results of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cutZone is the zone whose runners are cut off.
const cutZone = "gl-cleveland"

// setCut cuts the runners of a zone off from all boxes, or ends that.
func (c *cell) setCut(zone string, cut bool) {
	c.record.say("the runners of %s are cut off: %v", zone, cut)
	for _, n := range c.runners {
		if n.zone == zone {
			n.proxy.setCut(cut)
		}
	}
}

// again is a case of TWICE. Runners that were silent answer again while the store is down; then they are cut
// off again, and the holder is killed.
func again(c *cell, trouble bool) int {
	const id, tasks, work = "a6a1000000000001", 20, 30 * time.Second
	c.works[id] = work
	stop := make(chan struct{})
	callers := c.traffic(200*time.Millisecond, stop)
	defer callers.Wait()
	defer close(stop)
	if !c.submit(id, jobOf(tasks, 20000, 1000, 30000), 4) {
		c.record.say("the job was not accepted")
		return notRun
	}
	for end := now().Add(5 * time.Second); c.atWork(id) < tasks; time.Sleep(50 * time.Millisecond) {
		if now().After(end) {
			c.record.say("not all tasks were started")
			return notRun
		}
	}
	time.Sleep(time.Second)
	if trouble {
		holder := c.holder()
		if holder == nil {
			return notRun
		}
		c.setCut(cutZone, true)
		time.Sleep(4800 * time.Millisecond)
		c.store.setDown(true)
		time.Sleep(200 * time.Millisecond)
		c.setCut(cutZone, false)
		time.Sleep(1300 * time.Millisecond)
		c.setCut(cutZone, true)
		time.Sleep(200 * time.Millisecond)
		c.record.say("%s, which holds the cell, is killed", holder.name)
		holder.kill()
		time.Sleep(300 * time.Millisecond)
		c.store.setDown(false)
		time.Sleep(200 * time.Millisecond)
		c.record.say("%s starts again", holder.name)
		if holder.start() != nil {
			return notRun
		}
		time.Sleep(7 * time.Second)
		c.setCut(cutZone, false)
	}
	state := c.awaitState(id, 60*time.Second, "succeeded", "failed", "cancelled")
	c.record.say("the job is shown as %q", state)
	return c.checkTwice(id)
}

// checkTwice checks that no task had two runs at the same time on runners that were up.
func (c *cell) checkTwice(id string) int {
	result := held
	all := c.spans(id)
	for i, a := range all {
		for _, b := range all[i+1:] {
			if a.task != b.task || !b.began.Before(a.end) {
				continue
			}
			result = broken
			together := min(a.end.Sub(b.began), b.end.Sub(b.began))
			c.record.say("TWICE: %s run %d on %s from %.3f to %.3f (%s), and run %d on %s from %.3f to %.3f (%s): together for %.3f s",
				a.task, a.run, a.runner, c.record.since(a.began), c.record.since(a.end), a.how,
				b.run, b.runner, c.record.since(b.began), c.record.since(b.end), b.how, together.Seconds())
		}
	}
	return result
}

// crashes is a case of LOST. The runner of a task crashes a second after the task was started, three times.
// The task itself is sound.
func crashes(c *cell, trouble bool) int {
	const id, work, most = "c4a5000000000002", 8 * time.Second, 4
	c.works[id] = work
	count := 0
	for _, n := range c.runners {
		n.onRun = func(n *runner, task string) {
			if !trouble || !slices.Contains([]string{id + ".0.0.0"}, task) {
				return
			}
			c.mu.Lock()
			count++
			nth := count
			c.mu.Unlock()
			if nth <= most {
				time.Sleep(time.Second)
				n.crash(500 * time.Millisecond)
			}
		}
	}
	if !c.submit(id, jobOf(1, 4000, 1000, 8000), 4) {
		return notRun
	}
	state := c.awaitState(id, 60*time.Second, "succeeded", "failed", "cancelled")
	failed := 0
	for _, s := range c.spans(id) {
		c.record.say("%s run %d on %s from %.3f to %.3f: %s", s.task, s.run, s.runner, c.record.since(s.began), c.record.since(s.end), s.how)
		if s.how == "failed" {
			failed++
		}
	}
	c.record.say("the job is shown as %q; %d of its runs ended `failed`, and 2 are its most", state, failed)
	if state == "failed" && failed < 2 {
		c.record.say("LOST: the job is shown as failed without cause")
		return broken
	}
	if state != "succeeded" {
		c.record.say("LOST: the job isn't done")
		return broken
	}
	return held
}

// ackTimeout is how long a cancelling may wait for its confirmation.
const ackTimeout = 4 * time.Second

// large is a case of Acks. A large job comes whose tasks keep their progress; then other jobs are cancelled.
func large(c *cell, trouble bool) int {
	const big, others = "b160000000000003", 8
	c.works[big], c.uneven[big] = 4*time.Second, 500*time.Millisecond
	var kept []string
	for i := range others {
		id := fmt.Sprintf("0de5%012x", i)
		c.works[id] = 200 * time.Second
		kept = append(kept, id)
	}
	for _, n := range c.runners {
		n.saves = func(task string) bool { return strings.HasPrefix(task, big) }
	}
	stop := make(chan struct{})
	callers := c.traffic(200*time.Millisecond, stop)
	defer callers.Wait()
	defer close(stop)
	for _, id := range kept {
		if !c.submit(id, jobOf(2, 500, 200, 60000), 4) {
			c.record.say("%s was not accepted", id)
			return notRun
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		step := map[string]any{"count": 60, "cpu": 500, "memMb": 100, "estimatedMs": 18000, "checkpointing": true}
		job := map[string]any{"spec": "case of the review", "steps": []map[string]any{step, step, step}}
		if !c.submit(big, job, 4) {
			c.record.say("the large job was not accepted")
			return notRun
		}
		c.record.say("a large job of 3 x 60 tasks is accepted")
	}
	time.Sleep(5 * time.Second)
	c.record.say("at work of the large job: %d tasks; appends that the store refused for their size: %d", c.atWork(big), c.store.refusedAppends())
	unconfirmed := c.cancelAll(kept)
	c.record.say("cancels without 2xx or 410 after %v: %d of %d", ackTimeout, unconfirmed, others)
	fresh := c.submit("f4e5400000000004", jobOf(1, 500, 200, 400), 5)
	c.record.say("a new job was accepted: %v; appends refused so far: %d", fresh, c.store.refusedAppends())
	if unconfirmed >= 3 && 10*unconfirmed > others {
		c.record.say("Acks: more than a tenth of the cancels are not confirmed, with the store up and no link disturbed")
		return broken
	}
	return held
}

// cancelAll cancels jobs at the same time, each again and again until it is confirmed, and returns how many are
// not confirmed in time.
func (c *cell) cancelAll(ids []string) int {
	var all sync.WaitGroup
	var unconfirmed atomic.Int64
	for i, id := range ids {
		all.Go(func() {
			for end := now().Add(ackTimeout); now().Before(end); time.Sleep(200 * time.Millisecond) {
				b := c.boxes[i%len(c.boxes)]
				status, _ := call(http.MethodDelete, "http://"+b.frontend+routePrefix+id, routeHost, nil, until(end))
				c.record.add("caller: DELETE %s at %s -> %d", id, b.name, status)
				if status/100 == 2 || status == http.StatusGone {
					return
				}
				i++
			}
			unconfirmed.Add(1)
		})
	}
	all.Wait()
	return int(unconfirmed.Load())
}

// lostAfter is for how long a job may have nothing running while a task's turn has come, there is capacity for it
// twice over and under half of the service's capacity is in use.
const lostAfter = 3 * time.Second

// long is a case of LOST. The tasks of one job take 40 times as long as was guessed. They take less than half of the
// capacity, one on each runner.
func long(c *cell, trouble bool) int {
	const id, guess = "10a6000000000005", 5 * time.Second
	c.works[id] = guess
	if trouble {
		c.works[id] = 40 * guess
	}
	stop := make(chan struct{})
	callers := c.traffic(100*time.Millisecond, stop)
	time.Sleep(5 * time.Second)
	job := map[string]any{"spec": "case of the review", "steps": []map[string]any{{
		"count": len(c.runners), "cpu": 30000, "memMb": 1000, "estimatedMs": guess.Milliseconds(), "antiAffinity": 1,
	}}}
	if !c.submit(id, job, 4) {
		return notRun
	}
	time.Sleep(25 * time.Second)
	c.record.say("the long job has had %d runs, and is shown as %q", len(c.spans(id)), c.state(id))
	close(stop)
	callers.Wait()
	return c.checkIdle(id)
}

// checkIdle checks that no job of one step had nothing running for too long from its confirmation to its last end.
func (c *cell) checkIdle(long string) int {
	c.mu.Lock()
	accepted := maps.Clone(c.accepted)
	c.mu.Unlock()
	idle, ofLong, longest := 0, 0, time.Duration(0)
	for id, last := range accepted {
		runs := c.spans(id)
		slices.SortFunc(runs, func(a, b span) int { return a.began.Compare(b.began) })
		for _, r := range runs {
			pause := r.began.Sub(last)
			longest = max(longest, pause)
			if pause >= lostAfter {
				c.record.add("LOST: job %s had nothing running from %.3f to %.3f", id, c.record.since(last), c.record.since(r.began))
				idle++
				if id == long {
					ofLong++
				}
			}
			if r.end.After(last) {
				last = r.end
			}
		}
	}
	c.record.say("%d times a job had nothing running for %v or more, the long job %d times; %.3f s at most", idle, lostAfter, ofLong, longest.Seconds())
	if idle > 0 {
		return broken
	}
	return held
}

// reborn is a case of TWICE, of an entry of KNOWN-RED.txt. An order to start a task gets no answer, and its holder is
// killed before the log names it. The task is done by an order of the next holder. Then the first runner starts again
// under its id, and the first order is carried out there.
func reborn(c *cell, trouble bool) int {
	const id = "4eb0000000000006"
	c.works[id] = 500 * time.Millisecond
	var first *runner
	holder := c.holder()
	if holder == nil {
		return notRun
	}
	killed := make(chan struct{})
	for _, n := range c.runners {
		n.keepsID = true
		n.isLate = func(n *runner, in body) bool {
			if !trouble || !strings.HasPrefix(in.Task, id) || first != nil && first != n {
				return false
			}
			if first == nil {
				first = n
				c.record.say("the order to start %s run %d gets no answer from %s", in.Task, in.Run, n.id)
				go func() {
					c.record.say("%s, which holds the cell, is killed", holder.name)
					holder.kill()
					close(killed)
				}()
				return true
			}
			return false
		}
	}
	accepted := c.submit(id, jobOf(1, 4000, 1000, 500), 4)
	c.record.say("the job was accepted: %v", accepted)
	if trouble {
		<-killed
		time.Sleep(500 * time.Millisecond)
		if holder.start() != nil {
			return notRun
		}
	}
	state := c.awaitState(id, 20*time.Second, "succeeded", "failed", "cancelled")
	c.record.say("the job is shown as %q", state)
	time.Sleep(2 * time.Second)
	if trouble {
		first.crash(500 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	return c.checkAfterDone(id)
}

// checkAfterDone checks that no task of a job was started after a run that ended done, if that end was taken note of.
func (c *cell) checkAfterDone(id string) int {
	result := held
	var done *span
	for _, s := range c.spansByStart(id) {
		c.record.say("%s run %d on %s from %.3f to %.3f: %s", s.task, s.run, s.runner, c.record.since(s.began), c.record.since(s.end), s.how)
		if done != nil && s.began.After(done.end) {
			c.record.say("TWICE: the start at %.3f follows run %d that ended done at %.3f, and that end was taken note of at %.3f",
				c.record.since(s.began), done.run, c.record.since(done.end), c.record.since(done.noted))
			result = broken
		}
		if s.how == "done" && !s.noted.IsZero() {
			done = &s
		}
	}
	return result
}

// spansByStart returns the runs of a job's tasks by their beginnings.
func (c *cell) spansByStart(id string) []span {
	all := c.spans(id)
	slices.SortFunc(all, func(a, b span) int { return a.began.Compare(b.began) })
	return all
}

// waiting is a case of TWICE, of another entry of KNOWN-RED.txt. As in reborn, an order to start a task gets no answer and
// its holder is killed. The task has to wait for room. Meanwhile the first runner starts again under its id, out of
// reach, and carries the order out there; then the task is started elsewhere.
func waiting(c *cell, trouble bool) int {
	const id, short, long, later = "4eb0000000000007", "4eb1000000000008", "4eb2000000000009", "4eb300000000000a"
	c.works[id], c.works[short], c.works[long], c.works[later] = 500*time.Millisecond, 9*time.Second, 50*time.Second, 50*time.Second
	holder := c.holder()
	if holder == nil {
		return notRun
	}
	if !c.submit(short, jobOf(1, 40000, 1000, 9000), 4) || !c.submit(long, jobOf(1, 40000, 1000, 50000), 4) {
		return notRun
	}
	time.Sleep(500 * time.Millisecond)
	var first, held2 *runner
	for _, n := range c.runners {
		n.keepsID = true
		switch {
		case c.runs(n, long):
			held2 = n
		case !c.runs(n, short):
			first = n
		}
	}
	if first == nil || held2 == nil {
		return notRun
	}
	killed := make(chan struct{})
	var once sync.Once
	first.isLate = func(n *runner, in body) bool {
		isLate := false
		if trouble && strings.HasPrefix(in.Task, id) {
			once.Do(func() {
				isLate = true
				c.record.say("the order to start %s run %d gets no answer from %s; %s, which holds the cell, is killed", in.Task, in.Run, n.id, holder.name)
				go func() {
					held2.proxy.setCut(true)
					holder.kill()
					close(killed)
				}()
			})
		}
		return isLate
	}
	c.record.say("the job was accepted: %v", c.submit(id, jobOf(1, 40000, 1000, 500), 4))
	if trouble {
		<-killed
		time.Sleep(500 * time.Millisecond)
		if holder.start() != nil {
			return notRun
		}
		c.record.say("a later job was accepted: %v", c.submit(later, jobOf(1, 40000, 1000, 50000), 8))
		time.Sleep(2 * time.Second)
		held2.proxy.setCut(false)
		time.Sleep(time.Second)
		first.proxy.setCut(true)
		first.crash(500 * time.Millisecond)
		time.Sleep(5 * time.Second)
		first.proxy.setCut(false)
	}
	state := c.awaitState(id, 20*time.Second, "succeeded", "failed", "cancelled")
	// The holder keeps ends back for 15 s while an order to start their task may be on its way.
	time.Sleep(20 * time.Second)
	c.record.say("the job is shown as %q", state)
	return c.checkAfterDone(id)
}

// runs reports whether a runner runs a task of a job.
func (c *cell) runs(n *runner, id string) bool {
	return slices.ContainsFunc(n.seen(), func(s span) bool { return strings.HasPrefix(s.task, id) && s.how == "at work" })
}
