package main

import (
	"fmt"
	"time"
)

// playGone runs one gang beside a few small jobs. Four times, with some seconds between, a single runner
// that is in the gang is lost for good. After that all is calm, and most of the capacity is free. Rule:
// LOST (nothing running for 3 s while a task's turn has come).
func playGone(recordPath string) (int, error) {
	r, err := newRig(recordPath, 3, 48)
	if r != nil {
		defer r.close()
	}
	if err != nil {
		return notRun, err
	}
	const hit, calm, losses = "aaaa000000000001", 20 * time.Second, 4
	waits := []time.Duration{2100 * time.Millisecond, 1800 * time.Millisecond, 2500 * time.Millisecond, 1900 * time.Millisecond}
	lost, lastRun := 0, int64(0)
	var lostAt time.Time
	var startedAt time.Time
	r.onStart = func(t *taskRun) {
		if jobOf(t.task) != hit || t.number <= lastRun {
			return
		}
		lastRun, startedAt = t.number, now()
		if !r.trouble || lost >= losses {
			return
		}
		m := t.life.machine
		time.AfterFunc(waits[lost], func() {
			m.crash(time.Hour)
			r.runMu.Lock()
			defer r.runMu.Unlock()
			lostAt = now()
		})
		lost++
	}
	begun := now()
	handedIn, state := false, ""
	for i := 0; since(begun) < 95*time.Second; i++ {
		r.submit(fmt.Sprintf("cccc%012x", i), map[string]any{"spec": "work=600", "steps": []map[string]any{{"count": 2, "cpu": 5600, "memMb": 16000, "estimatedMs": 600}}})
		time.Sleep(time.Second)
		if !handedIn && since(begun) > calm {
			if !r.submit(hit, map[string]any{"spec": "work=8000 gang=2", "steps": []map[string]any{{"count": 2, "cpu": 18000, "memMb": 37000, "estimatedMs": 8000, "gangScheduled": true}}}) {
				return notRun, fmt.Errorf("the gang was not accepted")
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
	// The gang has nothing running from the last loss on until its next start.
	idle := time.Duration(0)
	switch {
	case lost < losses:
	case startedAt.After(lostAt):
		idle = startedAt.Sub(lostAt)
	default:
		idle = since(lostAt)
	}
	r.note("the gang's state is %s; last start at %.1f s, last loss at %.1f s", state, startedAt.Sub(r.begun).Seconds(), lostAt.Sub(r.begun).Seconds())
	// The run ends for certain with the lease of the lost runner, at most 6 s after the loss. Then come the
	// 4 s and the 3 s of the rule.
	return r.verdict(idle > holdMax+7*time.Second, "the gang is reported as %q; after the last of %d losses it had nothing running for %.1f s", state, lost, idle.Seconds()), nil
}
