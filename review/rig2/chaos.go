package main

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// playChaos is no case: it mixes jobs of all kinds with kills, freezes and crashes, and checks what the
// runners see. SEED chooses the mix, MACHINES and DAEMONS the
// size, KEEPS_ID that a runner starts again under its id.
func playChaos(recordPath string) (int, error) {
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewSource(seed))
	daemons, machines := numberFrom("DAEMONS", 3), numberFrom("MACHINES", 24)
	r, err := newRig(recordPath, daemons, machines)
	if r != nil {
		defer r.close()
	}
	if err != nil {
		return notRun, err
	}
	r.quiet = os.Getenv("QUIET") != ""
	r.checks = newChecks()
	begun := now()
	var faultMu sync.Mutex
	fault, faultUntil, lateUntil := "", time.Time{}, time.Time{}
	r.store.fault = func() string {
		faultMu.Lock()
		defer faultMu.Unlock()
		if now().After(faultUntil) || fault == "lost" && rand.Float64() > 0.35 {
			return ""
		}
		return fault
	}
	r.late = func() bool {
		faultMu.Lock()
		defer faultMu.Unlock()
		return now().Before(lateUntil) && rand.Float64() < 0.2
	}
	type handed struct {
		id   string
		last bool
	}
	var jobs []handed
	done := make(chan bool)
	go func() {
		defer close(done)
		for since(begun) < 55*time.Second {
			time.Sleep(time.Duration(1500+rng.Intn(3500)) * time.Millisecond)
			d := r.daemons[rng.Intn(daemons)]
			switch rng.Intn(9) {
			case 7, 8:
				r.note("all channels go silent")
				r.muter.muteAll()
			case 5:
				faultMu.Lock()
				fault, faultUntil = []string{"busy", "silent", "slow", "lost"}[rng.Intn(4)], now().Add(time.Duration(1000+rng.Intn(5000))*time.Millisecond)
				r.note("store %s", fault)
				faultMu.Unlock()
			case 6:
				faultMu.Lock()
				lateUntil = now().Add(5 * time.Second)
				r.note("late orders")
				faultMu.Unlock()
			case 0, 1:
				r.note("kill %s", d.name)
				d.kill()
				time.Sleep(time.Duration(rng.Intn(2000)) * time.Millisecond)
				_ = r.startDaemon(d)
			case 2:
				r.note("freeze %s", d.name)
				_ = d.cmd.Process.Signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(500+rng.Intn(3000)) * time.Millisecond)
				_ = d.cmd.Process.Signal(syscall.SIGCONT)
			default:
				m := r.machines[rng.Intn(machines)]
				r.note("crash machine %d", m.number)
				m.crash(time.Duration(500+rng.Intn(4000)) * time.Millisecond)
			}
		}
	}()
	for i := 0; since(begun) < 50*time.Second; i++ {
		id := fmt.Sprintf("aaaa%012x", i)
		work := 50 + rng.Intn(3000)
		step := func(extra map[string]any) map[string]any {
			s := map[string]any{"count": 1 + rng.Intn(5), "cpu": 500 + rng.Intn(20000), "memMb": 64, "estimatedMs": work}
			for k, v := range extra {
				s[k] = v
			}
			return s
		}
		var job map[string]any
		last := false
		switch rng.Intn(6) {
		case 0:
			job = map[string]any{
				"spec": fmt.Sprintf("work=%d", work), "repeatCount": 1 + rng.Intn(12), "firstRunMs": now().UnixMilli() + int64(rng.Intn(3000)), "intervalMs": 200 + rng.Intn(1500),
				"steps": []map[string]any{step(nil), step(map[string]any{"after": []int{0}})},
			}
		case 1:
			n := 2 + rng.Intn(5)
			job = map[string]any{"spec": fmt.Sprintf("work=%d gang=%d", work, n), "steps": []map[string]any{step(map[string]any{"count": n, "gangScheduled": true, "sameRack": rng.Intn(2) == 0})}}
		case 2:
			last = i%3 == 0
			if !last {
				continue
			}
			job = map[string]any{"spec": "work=100000000", "steps": []map[string]any{step(map[string]any{"longRunning": true, "may_miss": 1, "antiAffinity": 1, "cpu": 300})}}
		default:
			job = map[string]any{"spec": fmt.Sprintf("work=%d", work), "steps": []map[string]any{step(map[string]any{"antiAffinity": rng.Intn(3)}), step(nil), step(map[string]any{"after": []int{0, 1}, "speculative": rng.Intn(4) == 0})}}
		}
		if r.submit(id, job) {
			jobs = append(jobs, handed{id, last})
			r.checks.accept(id, job)
		}
		time.Sleep(time.Duration(rng.Intn(400)) * time.Millisecond)
	}
	<-done
	time.Sleep(20 * time.Second)
	bad := 0
	for _, j := range jobs {
		s := r.state(j.id)
		if j.last && s != "running" || !j.last && s != "succeeded" {
			r.note("BAD job %s is %s", j.id, s)
			bad++
		}
	}
	r.runMu.Lock()
	defer r.runMu.Unlock()
	return r.verdict(bad > 0 || r.checks.bad > 0, "%d jobs, %d bad states, %d bad runs", len(jobs), bad, r.checks.bad), nil
}

// numberFrom returns the number in a variable of the environment, or another one if there is none.
func numberFrom(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// checks follow the runs of each task.
type checks struct {
	bad  int
	live map[string]map[*taskRun]bool
	done map[string]time.Time
	jobs map[string]map[string]any
}

func newChecks() *checks {
	return &checks{live: map[string]map[*taskRun]bool{}, done: map[string]time.Time{}, jobs: map[string]map[string]any{}}
}

func (c *checks) accept(id string, job map[string]any) { c.jobs[id] = job }

// start checks a start. The caller holds rig.runMu.
func (c *checks) start(r *rig, t *taskRun) {
	live := c.live[t.task]
	if live == nil {
		live = map[*taskRun]bool{}
		c.live[t.task] = live
	}
	for o := range live {
		if !o.ended && !o.life.dead {
			c.bad++
			r.note("BAD %s run %d on %s starts while run %d on %s works", t.task, t.number, t.life.id, o.number, o.life.id)
		}
	}
	live[t] = true
	if at, ok := c.done[t.task]; ok {
		c.bad++
		r.note("BAD %s run %d starts on %s, %v after it was noted as done", t.task, t.number, t.life.id, since(at))
	}
}

// noted records that the end of a run was taken note of. The caller holds rig.runMu.
func (c *checks) noted(task, how string) {
	if how == "done" {
		if _, ok := c.done[task]; !ok {
			c.done[task] = now()
		}
	}
}
