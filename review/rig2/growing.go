package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// ackTimeout is ackTimeoutMs of a small deployment.
const ackTimeout = 4 * time.Second

// playWideCrash runs one wide job of short tasks beside a few small jobs. Some of the runners on which it
// runs crash once. Later, a few long jobs are cancelled. Rule: Acks.
func playWideCrash(recordPath string) (int, error) {
	const (
		machines  = 48
		tasks     = 10000
		wide      = "aaaa000000000001"
		calmAfter = 28 * time.Second
		restartAt = 60 * time.Second
		end       = 85 * time.Second
	)
	r, err := newRig(recordPath, 3, machines)
	if r != nil {
		defer r.close()
	}
	if err != nil {
		return notRun, err
	}
	r.quiet = true
	begun := now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	cancels, unacked, small := 0, 0, 0
	for i := range 6 {
		id := fmt.Sprintf("bbbb%012x", i)
		if !r.submit(id, map[string]any{"spec": "work=300000", "steps": []map[string]any{{"count": 1, "cpu": 500, "memMb": 64, "estimatedMs": 300000}}}) {
			return notRun, fmt.Errorf("a job to cancel was not accepted")
		}
		wg.Go(func() {
			time.Sleep(until(begun.Add(calmAfter + time.Duration(i)*5*time.Second)))
			sentAt := now()
			status, _ := r.callUntil(ackTimeout, http.MethodDelete, prefix+id, nil, http.StatusOK, http.StatusGone)
			r.note("DELETE %s: %d after %d ms", id, status, since(sentAt).Milliseconds())
			mu.Lock()
			defer mu.Unlock()
			cancels++
			if status != http.StatusOK && status != http.StatusGone {
				unacked++
			}
		})
	}
	if !r.submit(wide, map[string]any{"spec": "work=15000", "steps": []map[string]any{{"count": tasks, "cpu": 100, "memMb": 16, "estimatedMs": 15000}}}) {
		return notRun, fmt.Errorf("the wide job was not accepted")
	}
	wg.Go(func() {
		time.Sleep(9 * time.Second)
		r.runMu.Lock()
		started, runs := r.starts[wide], make([]int, machines/rackSize)
		for _, m := range r.machines {
			runs[m.number/rackSize] += len(m.life.runs)
		}
		r.runMu.Unlock()
		rack := slices.Index(runs, slices.Max(runs))
		r.note("%d tasks of the wide job were started", started)
		if !r.trouble {
			return
		}
		r.note("rack %d goes down for 4.5 s with all %d runners, which run %d tasks", rack, rackSize, runs[rack])
		for _, m := range r.machines[rack*rackSize : (rack+1)*rackSize] {
			m.crash(4500 * time.Millisecond)
		}
	})
	restarted, afterRestart, ends, seen := false, 0, 0, 0
	for i := 0; since(begun) < end; i++ {
		if !restarted && since(begun) > restartAt {
			// The verdict is about the time before. This only shows whether an operator could help.
			restarted = true
			r.runMu.Lock()
			ends, seen = r.allEnds, r.seenEnds
			r.runMu.Unlock()
			for _, d := range r.daemons {
				d.kill()
			}
			for _, d := range r.daemons {
				if err := r.startDaemon(d); err != nil {
					return notRun, err
				}
			}
			r.note("all daemons were killed and started again")
		}
		id := fmt.Sprintf("cccc%012x", i)
		status, _ := r.call(r.daemons[i%3], http.MethodPost, prefix+id, map[string]any{"spec": "work=300", "steps": []map[string]any{{"count": 2, "cpu": 500, "memMb": 64, "estimatedMs": 300}}})
		r.note("POST %s: %d", id, status)
		if status == http.StatusOK {
			small++
			if restarted {
				afterRestart++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	wg.Wait()
	r.awaitState(wide, time.Second)
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.note("the store refused %d appends with a record over %d bytes, the first at %s; largest record %d bytes", r.store.refused, recordBytes, r.store.firstRefusal, r.store.largest)
	r.note("ends listed by runners before the restart: %d, taken note of: %d; small jobs accepted: %d, of these after the restart: %d", ends, seen, small, afterRestart)
	return r.verdict(cancels >= 3 && unacked*10 > cancels, "%d of %d cancels of accepted jobs got no 2xx or 410 within %v; %d of %d ends were not taken note of by then", unacked, cancels, ackTimeout, ends-seen, ends), nil
}
