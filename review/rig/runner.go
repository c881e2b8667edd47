package main

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Figures of the runners, as on the sheet of a small deployment.
const (
	runnerCPU    = 64000
	runnerMemMB  = 262144
	holdMax      = 6 * time.Second
	stopTime     = 100 * time.Millisecond
	saveInterval = 500 * time.Millisecond
	listedEnds   = 500
	// savedBytes is the size of a checkpoint. The pages call it a text and name no limit.
	savedBytes  = 2000
	serviceName = "loan-core"
	lapseAfter  = 4500 * time.Millisecond
)

// task is what the rig knows of a task: how long it works.
type workOf func(task string) time.Duration

// span is one run of a task as its runner saw it.
type span struct {
	task       string
	run        int64
	runner     string
	began, end time.Time
	how        string
	// noted is when the end was taken note of, or zero.
	noted time.Time
}

// key identifies the run.
func (s span) key() string { return fmt.Sprintf("%s#%d", s.task, s.run) }

// runner is a stand-in of one machine's runner. It has a new id and knows nothing after a crash.
type runner struct {
	record *record
	store  *store
	work   workOf
	zone   string
	rack   string
	number int
	proxy  *proxy
	addr   string
	// onRun is called when a run begins, saves says whether a task keeps its progress.
	onRun func(r *runner, task string)
	saves func(task string) bool
	// isLate says whether an order to start a task gets no answer and is carried out when the next life begins.
	// keepsID is set if the next life has the id that the runner had.
	isLate  func(r *runner, in body) bool
	keepsID bool

	mu       sync.Mutex
	server   *http.Server
	id       string
	lives    int
	bootedAt time.Time
	fence    int64
	leaseEnd time.Time
	runs     map[string]*run
	// highest has the highest run of each task that was stopped or has ended here.
	highest map[string]int64
	ends    []end
	lastEnd int64
	changed chan struct{}
	spans   []span
	up      bool
	late    []body
	// noted has when the ends of runs were taken note of.
	noted map[string]time.Time
}

// run is a run that is at work.
type run struct {
	task   string
	number int64
	began  time.Time
	work   time.Duration
	over   bool
}

// saved returns the run's checkpoint, which is renewed with every saveInterval of work.
func (r *run) saved() string {
	n := since(r.began) / saveInterval
	if n == 0 {
		return ""
	}
	text := fmt.Sprintf("%08x%08x", int64(n), crc32.ChecksumIEEE([]byte(r.task)))
	return strings.Repeat(text, savedBytes/len(text))
}

// end is a listed end of a run.
type end struct {
	number int64
	task   string
	run    int64
	row    []any
}

// newRunner starts a runner behind a proxy.
func newRunner(r *record, s *store, work workOf, number int, zone, rack string) (*runner, error) {
	n := &runner{record: r, store: s, work: work, number: number, zone: zone, rack: rack, noted: map[string]time.Time{}}
	back, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n.addr = back.Addr().String()
	if n.proxy, err = newProxy(n.addr); err != nil {
		return nil, err
	}
	n.boot(back)
	return n, nil
}

// boot begins a new life.
func (n *runner) boot(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", n.order(n.start))
	mux.HandleFunc("POST /run-stop", n.order(n.stop))
	mux.HandleFunc("POST /hold", n.hold)
	server := &http.Server{Handler: mux}
	n.mu.Lock()
	n.lives++
	if n.lives == 1 || !n.keepsID {
		n.id = fmt.Sprintf("i-%02d%02d", n.number, n.lives)
	}
	n.server, n.bootedAt, n.fence, n.leaseEnd = server, now(), 0, time.Time{}
	n.runs, n.highest, n.ends, n.lastEnd = map[string]*run{}, map[string]int64{}, nil, 0
	n.changed, n.up = make(chan struct{}), true
	id := n.id
	// An order that is carried out late reaches the new life before any other does.
	for _, in := range n.late {
		status, reason := n.start(in)
		n.record.say("runner %s: the order to start %s run %d is carried out late -> %d %s", n.id, in.Task, in.Run, status, reason)
	}
	n.late = nil
	n.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	n.record.add("runner %s begins", id)
	n.store.put("keyed.servers", id, map[string]any{
		"service": serviceName, "address": n.proxy.addr, "zone": n.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]any{"cpu": runnerCPU, "memMb": runnerMemMB, "gpu": 0}, "labels": []string{"a", n.rack}, "clockMs": 1000, "sequence": 1,
		"born": n.bootedAt.UnixMilli(),
	})
}

// crash ends the life at once; all that runs there dies. The next life begins after a pause. The entry of
// the earlier life lapses after three check-ins of silence.
func (n *runner) crash(pause time.Duration) {
	n.mu.Lock()
	server, id := n.server, n.id
	n.up = false
	for _, r := range n.runs {
		n.finish(r, "crashed", false)
	}
	close(n.changed)
	n.changed = make(chan struct{})
	n.mu.Unlock()
	_ = server.Close()
	n.proxy.reset()
	n.record.say("runner %s crashes", id)
	if !n.keepsID {
		time.AfterFunc(lapseAfter, func() { n.store.put("keyed.servers", id, nil) })
	}
	time.AfterFunc(pause, func() {
		l, err := net.Listen("tcp", n.addr)
		if err != nil {
			n.record.say("runner %d cannot listen again: %v", n.number, err)
			return
		}
		n.boot(l)
	})
}

// close ends the runner.
func (n *runner) close() {
	n.mu.Lock()
	server := n.server
	n.mu.Unlock()
	_ = server.Close()
	n.proxy.close()
}

// clock is the steady clock of this life, in milliseconds. n.mu must be held.
func (n *runner) clock() int64 { return 1000 + since(n.bootedAt).Milliseconds() }

// body is what an order carries.
type body struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadlineMs"`
	Fence      int64  `json:"fencingToken"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"lastSeen"`
	Wait       int64  `json:"waitMs"`
}

// accept reads an order and checks whom it is for and its fence number. It returns false if it has answered.
// n.mu is held when it returns true.
func (n *runner) accept(w http.ResponseWriter, r *http.Request, in *body) bool {
	if err := json.NewDecoder(r.Body).Decode(in); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return false
	}
	n.mu.Lock()
	switch {
	case r.Header.Get("X-Expect-Instance") != n.id:
		answer(w, http.StatusMisdirectedRequest, map[string]any{"clockMs": n.clock()})
	case in.Fence < n.fence:
		answer(w, http.StatusConflict, map[string]any{"clockMs": n.clock(), "reason": "fence"})
	default:
		n.fence = in.Fence
		n.extend(in.Deadline)
		return true
	}
	n.mu.Unlock()
	return false
}

// order serves an order that is answered at once.
func (n *runner) order(do func(in body) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in body
		if !n.accept(w, r, &in) {
			return
		}
		if r.URL.Path == "/run-start" && n.isLate != nil && n.isLate(n, in) {
			n.late = append(n.late, in)
			n.mu.Unlock()
			<-r.Context().Done()
			return
		}
		defer n.mu.Unlock()
		status, reason := do(in)
		out := map[string]any{"clockMs": n.clock()}
		if reason != "" {
			out["reason"] = reason
		}
		n.record.add("runner %s: %s %s run %d -> %d %s", n.id, r.URL.Path, in.Task, in.Run, status, reason)
		answer(w, status, out)
	}
}

// extend extends the lease; it is never shortened. n.mu must be held.
func (n *runner) extend(deadline int64) {
	left := min(time.Duration(deadline-n.clock())*time.Millisecond, holdMax)
	at := now().Add(left)
	if deadline == 0 || !at.After(n.leaseEnd) {
		return
	}
	n.leaseEnd = at
	life := n.lives
	time.AfterFunc(left+time.Millisecond, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.lives != life || !n.up || now().Before(n.leaseEnd) {
			return
		}
		for _, r := range n.runs {
			n.finish(r, "lapsed", true)
		}
	})
}

// start begins a run. n.mu must be held.
func (n *runner) start(in body) (int, string) {
	known := n.runs[in.Task]
	switch {
	case known != nil && known.number == in.Run:
		return http.StatusOK, ""
	case known != nil && known.number > in.Run, in.Run <= n.highest[in.Task]:
		return http.StatusConflict, "old"
	case known != nil:
		return http.StatusConflict, "old"
	case in.Deadline > 0 && n.clock() > in.Deadline:
		return http.StatusConflict, "late"
	}
	r := &run{task: in.Task, number: in.Run, began: now(), work: n.work(in.Task)}
	n.runs[in.Task] = r
	life := n.lives
	time.AfterFunc(r.work, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.lives == life && !r.over {
			n.finish(r, "done", true)
		}
	})
	if n.onRun != nil {
		go n.onRun(n, in.Task)
	}
	return http.StatusOK, ""
}

// stop stops a run. n.mu must be held.
func (n *runner) stop(in body) (int, string) {
	r := n.runs[in.Task]
	if r == nil || r.number != in.Run {
		n.highest[in.Task] = max(n.highest[in.Task], in.Run)
		return http.StatusOK, ""
	}
	life := n.lives
	time.AfterFunc(stopTime, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.lives == life && !r.over {
			n.finish(r, "stopped", true)
		}
	})
	return http.StatusOK, ""
}

// finish ends a run, and lists its end unless the life is over. n.mu must be held.
func (n *runner) finish(r *run, how string, listed bool) {
	if r.over {
		return
	}
	r.over = true
	delete(n.runs, r.task)
	n.highest[r.task] = max(n.highest[r.task], r.number)
	n.spans = append(n.spans, span{task: r.task, run: r.number, runner: n.id, began: r.began, end: now(), how: how})
	n.record.add("runner %s: %s run %d ends: %s", n.id, r.task, r.number, how)
	if !listed {
		return
	}
	n.lastEnd++
	n.ends = append(n.ends, end{number: n.lastEnd, task: r.task, run: r.number, row: []any{n.lastEnd, r.task, r.number, how, n.savedOf(r)}})
	close(n.changed)
	n.changed = make(chan struct{})
}

// hold extends the lease, forgets ends that were seen and answers both lists.
func (n *runner) hold(w http.ResponseWriter, r *http.Request) {
	var in body
	if !n.accept(w, r, &in) {
		return
	}
	defer n.mu.Unlock()
	n.ends = slices.DeleteFunc(n.ends, func(e end) bool {
		if e.number > in.LastSeen {
			return false
		}
		n.noted[span{task: e.task, run: e.run}.key()] = now()
		return true
	})
	timer := time.NewTimer(time.Duration(min(in.Wait, 2000)) * time.Millisecond)
	defer timer.Stop()
	life, waiting := n.lives, in.Wait > 0
	for waiting && n.lives == life && n.up && len(n.ends) == 0 {
		changed := n.changed
		n.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		n.mu.Lock()
	}
	if n.lives != life || !n.up {
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for _, task := range n.runs {
		percent := min(99, int(100*since(task.began)/task.work))
		running = append(running, []any{task.task, task.number, n.savedOf(task), percent})
	}
	ended := [][]any{}
	for _, e := range n.ends[:min(listedEnds, len(n.ends))] {
		ended = append(ended, e.row)
	}
	answer(w, http.StatusOK, map[string]any{"clockMs": n.clock(), "born": n.bootedAt.UnixMilli(), "runningCount": running, "ended": ended})
}

// savedOf returns the checkpoint of a run, or nothing if its step keeps none.
func (n *runner) savedOf(r *run) string {
	if n.saves != nil && n.saves(r.task) {
		return r.saved()
	}
	return ""
}

// seen returns the runs of this runner, those that are still at work last.
func (n *runner) seen() []span {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := slices.Clone(n.spans)
	for i := range all {
		all[i].noted = n.noted[all[i].key()]
	}
	for _, r := range n.runs {
		all = append(all, span{task: r.task, run: r.number, runner: n.id, began: r.began, end: now(), how: "at work"})
	}
	return all
}
