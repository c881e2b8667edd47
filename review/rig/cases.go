package main

import (
	"fmt"
	"slices"
	"strings"
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
	for end := time.Now().Add(5 * time.Second); c.atWork(id) < tasks; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
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

// large is a case of Acks and LOST. A large job comes whose tasks keep their progress.
func large(c *cell, trouble bool) int {
	const big = "b160000000000003"
	c.works[big] = 12 * time.Second
	for _, n := range c.runners {
		n.saves = func(task string) bool { return strings.HasPrefix(task, big) }
	}
	if trouble {
		job := map[string]any{
			"spec": "case of the review", "repeatCount": 2, "firstRunMs": time.Now().UnixMilli() + 200, "intervalMs": 500,
			"steps": []map[string]any{{"count": 6000, "cpu": 50, "memMb": 50, "estimatedMs": 12000, "checkpointing": true}},
		}
		c.record.say("accepted: %v", c.submit(big, job, 3))
		time.Sleep(6 * time.Second)
		c.record.say("at work: %d", c.atWork(big))
	}
	ok := 0
	for i := range 20 {
		id := fmt.Sprintf("5ca11f%010x", i)
		if c.submit(id, jobOf(1, 500, 200, 400), 4) {
			ok++
			c.record.say("%s: %s", id, c.awaitState(id, 3*time.Second, "succeeded"))
		}
	}
	c.record.say("accepted %d of 20; store refused %d", ok, c.store.refused)
	if trouble {
		c.record.say("%s", c.awaitState(big, 30*time.Second, "succeeded"))
	}
	return held
}
