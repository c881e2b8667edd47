package main

import (
	"fmt"
	"os"
	"time"
)

// playCrashes runs one gang beside a few small jobs. Six times, with some seconds between, a single runner
// that is in the gang crashes. The gang has nothing to do with that: it works on, and ends done, as soon as
// the crashes stop. Rule: LOST (reported as failed without cause).
func playCrashes(recordPath string) (int, error) {
	r, err := newRig(recordPath, 3, 48)
	if r != nil {
		defer r.close()
	}
	if err != nil {
		return notRun, err
	}
	const hit, calm = "aaaa000000000001", 30 * time.Second
	job := map[string]any{"spec": "work=8000 gang=2", "steps": []map[string]any{{"count": 2, "cpu": 18000, "memMb": 37000, "estimatedMs": 8000, "gangScheduled": true}}}
	if os.Getenv("VARIANT") == "lasting" {
		job = map[string]any{"spec": "work=10000000", "steps": []map[string]any{{"count": 1, "cpu": 8000, "memMb": 17000, "estimatedMs": 500, "longRunning": true}}}
	}
	waits := []time.Duration{3100 * time.Millisecond, 2300 * time.Millisecond, 4200 * time.Millisecond, 2700 * time.Millisecond, 3600 * time.Millisecond, 3300 * time.Millisecond}
	crashes, lastRun := 0, int64(0)
	r.onStart = func(t *taskRun) {
		if !r.trouble || jobOf(t.task) != hit || t.number <= lastRun || crashes >= len(waits) {
			return
		}
		lastRun = t.number
		m := t.life.machine
		time.AfterFunc(waits[crashes], func() { m.crash(4500 * time.Millisecond) })
		crashes++
	}
	begun := now()
	handedIn, state := false, ""
	for i := 0; since(begun) < 105*time.Second; i++ {
		r.submit(fmt.Sprintf("cccc%012x", i), map[string]any{"spec": "work=600", "steps": []map[string]any{{"count": 2, "cpu": 5600, "memMb": 16000, "estimatedMs": 600}}})
		time.Sleep(time.Second)
		if !handedIn && since(begun) > calm {
			if !r.submit(hit, job) {
				return notRun, fmt.Errorf("the job was not accepted")
			}
			handedIn = true
		}
		if handedIn {
			if state = r.state(hit); state != "running" && state != "queued" {
				break
			}
		}
	}
	r.runMu.Lock()
	defer r.runMu.Unlock()
	r.note("ends of the job's runs: %v", r.hows[hit])
	return r.verdict(state == "failed" && r.hows[hit]["failed"] == 0, "the job is reported as %q after %d crashes of one runner each; ends of its runs: %v", state, crashes, r.hows[hit]), nil
}
