package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// The one route of the rig's configuration.
const (
	routeHost   = "nony24.example"
	routePrefix = "/lohu930/"
)

// cell is three boxes with the stand-ins around them.
type cell struct {
	record  *record
	store   *store
	runners []*runner
	boxes   []*box
	dir     string

	mu sync.Mutex
	// works has how long the first task of each step of a job works, by the job's id, and uneven how much longer
	// each further one does. The tasks of other jobs take usualWork.
	works, uneven map[string]time.Duration
	// accepted has the jobs that were answered with a 2xx, and when.
	accepted map[string]time.Time
}

// usualWork is how long the tasks of the small jobs work.
const usualWork = 400 * time.Millisecond

// options are the command line's.
type options struct {
	daemon, template string
	trouble          bool
}

// newCell starts the stand-ins and the boxes, and waits until all boxes are ready.
func newCell(r *record, o options, runners int) (*cell, error) {
	c := &cell{record: r, works: map[string]time.Duration{}, uneven: map[string]time.Duration{}, accepted: map[string]time.Time{}}
	var err error
	if c.dir, err = os.MkdirTemp("", "review"); err != nil {
		return c, err
	}
	if c.store, err = newStore(r); err != nil {
		return c, err
	}
	c.store.put("keyed.op", "config", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "r-73hh2b9", "host": routeHost, "pathPrefix": routePrefix, "kind": "non_idempotent", "timeoutMs": 3000,
			"targetLatencyMs": 3000, "priority": 2, "service": serviceName, "maxAttempts": 2, "stretch": 4.0,
		}},
		"services": []map[string]any{{"name": serviceName, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "admissionCheck": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	zones := []string{"gl-chicago", "gl-detroit", "gl-cleveland"}
	for i := range runners {
		n, err := newRunner(r, c.store, c.workOf, i+1, zones[i%len(zones)], fmt.Sprintf("r%d", i%len(zones)+1))
		if err != nil {
			return c, err
		}
		c.runners = append(c.runners, n)
	}
	advice, err := freeAddress()
	if err != nil {
		return c, err
	}
	for i, zone := range zones {
		b, err := newBox(c.dir, o.daemon, o.template, fmt.Sprintf("edge-%s-%d", zone, i+1), zone, c.store.addr, advice)
		if err != nil {
			return c, err
		}
		c.boxes = append(c.boxes, b)
		if err := b.start(); err != nil {
			return c, err
		}
	}
	// Traffic starts 10 s after the machines do.
	for end := now().Add(10 * time.Second); now().Before(end); time.Sleep(50 * time.Millisecond) {
		if !slices.ContainsFunc(c.boxes, func(b *box) bool { return !b.isReady() }) && c.holder() != nil {
			time.Sleep(time.Second)
			r.add("all boxes are ready")
			return c, nil
		}
	}
	return c, errNotReady
}

// workOf returns how long a task works.
func (c *cell) workOf(task string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	work, known := c.works[id]
	if !known {
		return usualWork
	}
	var instance, step, index int
	if _, err := fmt.Sscanf(task[len(id):], ".%d.%d.%d", &instance, &step, &index); err != nil {
		return work
	}
	return work + time.Duration(index)*c.uneven[id]
}

// holder returns the box that holds the cell, or nil.
func (c *cell) holder() *box {
	for _, b := range c.boxes {
		if b.holds() {
			return b
		}
	}
	return nil
}

// close ends all processes and stand-ins. The boxes' logs are kept if the environment names a folder for them.
func (c *cell) close() {
	for _, b := range c.boxes {
		b.kill()
		_ = b.output.Close()
	}
	for _, n := range c.runners {
		n.close()
	}
	if c.store != nil {
		_ = c.store.server.Close()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		for _, b := range c.boxes {
			if data, err := os.ReadFile(b.output.Name()); err == nil {
				_ = os.WriteFile(keep+"/"+b.name+".log", data, 0o600)
			}
		}
	}
	if c.dir != "" {
		_ = os.RemoveAll(c.dir)
	}
}

// submit hands a job in, at one box after the other, and reports whether it was accepted.
func (c *cell) submit(id string, job map[string]any, tries int) bool {
	for i := range tries {
		b := c.boxes[(i+len(id)+int(id[len(id)-1]))%len(c.boxes)]
		status, _ := call(http.MethodPost, "http://"+b.frontend+routePrefix+id, routeHost, job, 3*time.Second)
		c.record.add("caller: POST %s at %s -> %d", id, b.name, status)
		if status/100 == 2 {
			c.mu.Lock()
			c.accepted[id] = now()
			c.mu.Unlock()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for a job's state until a box answers.
func (c *cell) state(id string) string {
	for i := range 2 * len(c.boxes) {
		b := c.boxes[i%len(c.boxes)]
		status, data := call(http.MethodGet, "http://"+b.frontend+routePrefix+id, routeHost, nil, 3*time.Second)
		var in struct {
			State string `json:"state"`
		}
		switch {
		case status == http.StatusOK && json.Unmarshal(data, &in) == nil:
			c.record.add("caller: GET %s at %s -> %d %s", id, b.name, status, in.State)
			return in.State
		case status == http.StatusGone:
			c.record.add("caller: GET %s at %s -> %d", id, b.name, status)
			return "gone"
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.record.add("caller: GET %s is not answered", id)
	return ""
}

// awaitState waits until a job has one of the given states, and returns the last one that was seen.
func (c *cell) awaitState(id string, limit time.Duration, wanted ...string) string {
	state := ""
	for end := now().Add(limit); now().Before(end); time.Sleep(250 * time.Millisecond) {
		if state = c.state(id); slices.Contains(wanted, state) {
			return state
		}
	}
	return state
}

// traffic hands in a small job at an interval until stop is closed.
func (c *cell) traffic(interval time.Duration, stop <-chan struct{}) *sync.WaitGroup {
	var all sync.WaitGroup
	all.Add(1)
	go func() {
		defer all.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			id := fmt.Sprintf("5ca11%011x", i)
			all.Add(1)
			go func() {
				defer all.Done()
				c.submit(id, jobOf(2, 500, 200, 400), 4)
			}()
		}
	}()
	return &all
}

// jobOf returns a job of one step.
func jobOf(count, cpu, memMB, estimatedMs int) map[string]any {
	return map[string]any{"spec": "case of the review", "steps": []map[string]any{{"count": count, "cpu": cpu, "memMb": memMB, "estimatedMs": estimatedMs}}}
}

// spans returns the runs of a job's tasks as the runners saw them, by task and by their beginnings.
func (c *cell) spans(id string) []span {
	var all []span
	for _, n := range c.runners {
		for _, s := range n.seen() {
			if strings.HasPrefix(s.task, id+".") {
				all = append(all, s)
			}
		}
	}
	slices.SortFunc(all, func(a, b span) int { return cmp.Or(cmp.Compare(a.task, b.task), a.began.Compare(b.began)) })
	return all
}

// atWork returns how many tasks of a job are at work.
func (c *cell) atWork(id string) int {
	count := 0
	for _, s := range c.spans(id) {
		if s.how == "at work" {
			count++
		}
	}
	return count
}
