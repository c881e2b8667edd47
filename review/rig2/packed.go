package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// playPacked runs many jobs of one small task each that lasts; they end up on few runners. One of these
// runners crashes once; nothing else happens. Rule: LOST (nothing running for 3 s while a task's turn has
// come, which holds for each task that lasts from 6 s after its last run).
func playPacked(recordPath string) (int, error) {
	r, err := newRig(recordPath, 3, 48)
	if r != nil {
		defer r.close()
	}
	if err != nil {
		return notRun, err
	}
	const (
		jobs    = 80
		calm    = 36 * time.Second
		crashAt = 48 * time.Second
		down    = 4500 * time.Millisecond
		end     = 90 * time.Second
	)
	begun := now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	time.Sleep(calm)
	for i := range jobs {
		wg.Go(func() {
			if r.submit(fmt.Sprintf("aaaa%012x", i), map[string]any{"spec": "work=100000000", "steps": []map[string]any{{"count": 1, "cpu": 600, "memMb": 1000, "estimatedMs": 500, "longRunning": true}}}) {
				mu.Lock()
				defer mu.Unlock()
				accepted++
			}
		})
		time.Sleep(30 * time.Millisecond)
	}
	wg.Wait()
	if accepted < jobs {
		return notRun, fmt.Errorf("only %d jobs were accepted", accepted)
	}
	time.Sleep(until(begun.Add(crashAt)))
	r.runMu.Lock()
	hit := slices.MaxFunc(r.machines, func(a, b *machine) int { return len(a.life.runs) - len(b.life.runs) })
	r.note("machine %d is the fullest and runs %d tasks", hit.number, len(hit.life.runs))
	r.runMu.Unlock()
	crashedAt := now()
	if r.trouble {
		hit.crash(down)
	}
	time.Sleep(until(begun.Add(end)))
	// idle has how long each job had nothing running after the crash.
	r.runMu.Lock()
	defer r.runMu.Unlock()
	waiting, longest := 0, time.Duration(0)
	for i := range jobs {
		id := fmt.Sprintf("aaaa%012x", i)
		lost, startedAt := r.lostAt[id], r.startedAt[id]
		idle := time.Duration(0)
		switch {
		case lost.IsZero():
		case startedAt.After(lost):
			idle = startedAt.Sub(lost)
		default:
			idle = since(lost)
		}
		r.note("job %s had nothing running for %.1f s", id, idle.Seconds())
		longest = max(longest, idle)
		if idle > down+7*time.Second+time.Second {
			waiting++
		}
	}
	return r.verdict(waiting > 0, "after the crash of one of 48 runners %d of %d jobs had nothing running for more than 12.5 s, the longest for %.1f s, while %.0f s passed", waiting, jobs, longest.Seconds(), since(crashedAt).Seconds()), nil
}
