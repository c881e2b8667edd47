package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the runners, as the sheet of the deployment gives them.
const (
	holdMax   = 6 * time.Second
	gangWait  = 3 * time.Second
	heartbeat = 1500 * time.Millisecond
	stopTime  = 50 * time.Millisecond
	rackSize  = 6
)

// machine is one machine on which a runner lives; a crash ends that life, and a later one has a new id.
type machine struct {
	rig     *rig
	number  int
	address string
	// proxy, if set, stands between the daemons and the runner, and can cut the runner off.
	proxy *proxy
	// cpu is the capacity in thousandths of a core.
	cpu int

	mu       sync.Mutex
	life     *life
	listener net.Listener
	server   *http.Server
	lives    int
}

// life is one life of a runner. rig.runMu guards it.
type life struct {
	machine  *machine
	id       string
	born     time.Time
	fence    int64
	leaseEnd time.Time
	runs     map[string]*taskRun
	over     map[string]int64
	ends     [][]any
	// unseen has the ended runs that are listed in ends.
	unseen  []*taskRun
	lastEnd int64
	changed chan struct{}
	dead    bool
}

// taskRun is one run of a task. The spec of its job tells how long it works and how large its gang is.
type taskRun struct {
	task   string
	number int64
	life   *life
	plan   plan
	begun  time.Time
	ended  bool
	// how and endedAt are how and when the run ended; lapsed tells that the runner's lease was over between that and its note.
	how              string
	endedAt, notedAt time.Time
	lapsed           bool
}

// plan is what the spec of a job tells: "work=MS gang=N".
type plan struct {
	work time.Duration
	gang int
}

func planOf(spec string) plan {
	var p plan
	for _, field := range strings.Fields(spec) {
		name, value, _ := strings.Cut(field, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "work":
			p.work = time.Duration(n) * time.Millisecond
		case "gang":
			p.gang = n
		}
	}
	return p
}

func (r *rig) addMachine(number, cpu int) *machine {
	m := &machine{rig: r, number: number, cpu: cpu}
	m.boot()
	return m
}

// announced is the address at which the daemons reach the runner.
func (m *machine) announced() string {
	if m.proxy != nil {
		return m.proxy.address
	}
	return m.address
}

// boot starts the next life at the machine's address.
func (m *machine) boot() {
	m.mu.Lock()
	defer m.mu.Unlock()
	address := m.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	m.address = l.Addr().String()
	if m.rig.proxied && m.proxy == nil {
		m.proxy = newProxy(m.address)
	}
	m.lives++
	id := fmt.Sprintf("i-%04x%04x", m.number, m.lives)
	if m.rig.keepsID {
		id = fmt.Sprintf("i-%04x", m.number)
	}
	n := &life{
		machine: m, id: id, born: now().Add(-time.Second),
		runs: map[string]*taskRun{}, over: map[string]int64{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", n.order(n.start))
	mux.HandleFunc("POST /run-stop", n.order(n.stop))
	mux.HandleFunc("POST /pace", n.order(func(wireOrder) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /hold", n.hold)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	m.life, m.listener, m.server = n, l, server
	go func() { _ = server.Serve(mutedListener{l, m.rig.muter}) }()
	go n.checkIn()
}

// checkIn writes the runner's entry about every heartbeat, until it has crashed. Its entry goes after
// three check-ins of silence.
func (n *life) checkIn() {
	for sequence := 1; ; sequence++ {
		n.machine.rig.runMu.Lock()
		dead := n.dead
		n.machine.rig.runMu.Unlock()
		if dead {
			time.Sleep(2 * heartbeat)
			if !n.machine.rig.keepsID {
				n.machine.rig.store.put("keyed.servers", n.id, nil)
			}
			return
		}
		fields := map[string]any{
			"service": service, "address": n.machine.announced(), "zone": "zone-" + strconv.Itoa(n.machine.number%2), "version": "1.4.2", "slots": 8,
			"state": "ready", "coldRemainingMs": 0, "sequence": sequence, "machine": fmt.Sprintf("m-%04x", n.machine.number),
			"capacity": map[string]any{"cpu": n.machine.cpu, "memMb": 262144, "gpu": 0},
			"labels":   []string{"a", "r" + strconv.Itoa(n.machine.number/rackSize)},
		}
		n.addBorn(fields)
		entry, _ := json.Marshal(fields)
		n.machine.rig.store.put("keyed.servers", n.id, entry)
		time.Sleep(heartbeat)
	}
}

// addBorn adds the start of the life, by which the lives of a runner that keeps its id differ.
func (n *life) addBorn(fields map[string]any) {
	if n.machine.rig.keepsID {
		fields["born"] = n.born.UnixMilli()
	}
}

// crash ends the life with all that it runs; the machine is down for a time and then boots again.
func (m *machine) crash(down time.Duration) {
	m.mu.Lock()
	n, server := m.life, m.server
	m.life = nil
	m.mu.Unlock()
	if n == nil {
		return
	}
	m.rig.runMu.Lock()
	n.dead = true
	for _, r := range n.runs {
		r.ended, r.how, r.endedAt = true, "crashed", now()
		m.rig.lostAt[jobOf(r.task)] = now()
		if !m.rig.quiet {
			m.rig.note("runner %s crashes under %s run %d", n.id, r.task, r.number)
		}
		m.rig.breakGang(r)
	}
	close(n.changed)
	n.changed = make(chan struct{})
	m.rig.runMu.Unlock()
	_ = server.Close()
	time.AfterFunc(down, m.boot)
}

type wireOrder struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      int64  `json:"fencingToken"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

func (n *life) clock() int64 { return since(n.born).Milliseconds() }

// order returns the handler of a start, a stop or a change of pace.
func (n *life) order(do func(wireOrder) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in wireOrder
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if wait := n.machine.rig.lateBy(n, in); wait > 0 {
			time.AfterFunc(wait, func() { n.carryOutLate(r, in) })
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		n.machine.rig.runMu.Lock()
		status, reason := n.check(r, in)
		if status == 0 {
			status, reason = do(in)
		}
		answer := map[string]any{"clockMs": n.clock()}
		n.machine.rig.runMu.Unlock()
		if reason != "" {
			answer["reason"] = reason
		}
		answerJSON(w, status, answer)
	}
}

// carryOutLate carries out an order that got no answer, in the life that the runner has by then.
func (n *life) carryOutLate(r *http.Request, in wireOrder) {
	n.machine.mu.Lock()
	current := n.machine.life
	n.machine.mu.Unlock()
	if current == nil {
		return
	}
	n.machine.rig.runMu.Lock()
	defer n.machine.rig.runMu.Unlock()
	status, reason := current.check(r, in)
	if status == 0 {
		switch r.URL.Path {
		case "/run-start":
			status, reason = current.start(in)
		case "/run-stop":
			status, reason = current.stop(in)
		}
	}
	if !n.machine.rig.quiet {
		n.machine.rig.note("%s of %s run %d is carried out late by %s: %d %s", r.URL.Path, in.Task, in.Run, current.id, status, reason)
	}
}

// check returns the refusal of an order that is meant for another life or carries a lower fence number.
func (n *life) check(r *http.Request, in wireOrder) (int, string) {
	if r.Header.Get("X-Expect-Instance") != n.id || n.dead {
		return http.StatusMisdirectedRequest, ""
	}
	if in.Fence < n.fence {
		return http.StatusConflict, "fence"
	}
	n.fence = in.Fence
	return 0, ""
}

func (n *life) lease(deadline int64) {
	left := min(time.Duration(deadline-n.clock())*time.Millisecond, holdMax)
	if end := now().Add(left); deadline > 0 && end.After(n.leaseEnd) {
		n.leaseEnd = end
		time.AfterFunc(left+time.Millisecond, func() {
			n.machine.rig.runMu.Lock()
			defer n.machine.rig.runMu.Unlock()
			if !n.dead && !now().Before(n.leaseEnd) {
				for _, r := range n.runs {
					n.end(r, "lapsed")
				}
				for _, r := range n.unseen {
					r.lapsed = true
				}
			}
		})
	}
}

func (n *life) start(in wireOrder) (int, string) {
	n.lease(in.DeadlineMs)
	switch r := n.runs[in.Task]; {
	case r != nil && r.number == in.Run:
		return http.StatusOK, ""
	case r != nil, in.Run <= n.over[in.Task]:
		return http.StatusConflict, "old"
	case n.clock() > in.DeadlineMs:
		return http.StatusConflict, "late"
	}
	r := &taskRun{task: in.Task, number: in.Run, life: n, plan: planOf(in.Spec)}
	n.runs[in.Task] = r
	n.machine.rig.started(r)
	return http.StatusOK, ""
}

func (n *life) stop(in wireOrder) (int, string) {
	r := n.runs[in.Task]
	if r == nil || r.number != in.Run {
		n.over[in.Task] = max(n.over[in.Task], in.Run)
		return http.StatusOK, ""
	}
	time.AfterFunc(stopTime, func() {
		n.machine.rig.runMu.Lock()
		defer n.machine.rig.runMu.Unlock()
		if !n.dead {
			n.end(r, "stopped")
		}
	})
	return http.StatusOK, ""
}

// end ends a run and lists its end. The caller holds rig.runMu.
func (n *life) end(r *taskRun, how string) {
	if r.ended {
		return
	}
	r.ended, r.how, r.endedAt = true, how, now()
	delete(n.runs, r.task)
	n.over[r.task] = max(n.over[r.task], r.number)
	n.lastEnd++
	n.ends = append(n.ends, []any{n.lastEnd, r.task, r.number, how, ""})
	n.unseen = append(n.unseen, r)
	n.machine.rig.ended(r, how)
	close(n.changed)
	n.changed = make(chan struct{})
	if how != "done" && how != "broken" {
		n.machine.rig.breakGang(r)
	}
}

func (n *life) hold(w http.ResponseWriter, r *http.Request) {
	var in wireOrder
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	mu := &n.machine.rig.runMu
	mu.Lock()
	defer mu.Unlock()
	if status, reason := n.check(r, in); status != 0 {
		answerJSON(w, status, map[string]any{"clockMs": n.clock(), "reason": reason})
		return
	}
	n.lease(in.DeadlineMs)
	for len(n.ends) > 0 && n.ends[0][0].(int64) <= in.LastSeen {
		n.machine.rig.seenEnds++
		if c := n.machine.rig.checks; c != nil {
			c.noted(n.ends[0][1].(string), n.ends[0][3].(string))
		}
		if !n.unseen[0].lapsed {
			n.unseen[0].notedAt = now()
		}
		n.ends, n.unseen = n.ends[1:], n.unseen[1:]
	}
	timer := time.NewTimer(time.Duration(in.WaitMs) * time.Millisecond)
	defer timer.Stop()
	for waiting := in.WaitMs > 0; waiting && len(n.ends) == 0 && !n.dead; {
		changed := n.changed
		mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		mu.Lock()
	}
	if n.dead {
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for _, t := range n.runs {
		percent := 0
		if !t.begun.IsZero() && t.plan.work > 0 {
			percent = min(99, int(100*since(t.begun)/t.plan.work))
		}
		running = append(running, []any{t.task, t.number, "", percent, 0})
	}
	ended := n.ends[:min(500, len(n.ends))]
	if ended == nil {
		ended = [][]any{}
	}
	answer := map[string]any{"clockMs": n.clock(), "runningCount": running, "ended": ended}
	n.addBorn(answer)
	answerJSON(w, http.StatusOK, answer)
}
