// Rig2 plays the cases of the second review: it stands in for the platform's store and runners, starts
// the daemons as the deploy file does, calls them as requesters do, and checks one rule in each case.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service = "huvo11a"
	host    = "nony24.example"
	prefix  = "/lohu930/"
	queue   = "r-wrr6x73"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// rig is one run of a case.
type rig struct {
	trouble bool
	begun   time.Time
	dir     string
	store   *store
	address string

	recordMu sync.Mutex
	record   *os.File

	// runMu guards the lives of the runners and what follows.
	runMu    sync.Mutex
	machines []*machine
	gangs    map[string][]*taskRun
	// all has every run, by its start.
	all []*taskRun
	// starts and hows count the starts of each job and its ends by how they came.
	starts map[string]int
	hows   map[string]map[string]int
	// startedAt and lostAt have when each job last started a run, and last lost one to a crash.
	startedAt, lostAt map[string]time.Time

	seenEnds int
	allEnds  int
	quiet    bool
	onStart  func(r *taskRun)
	checks   *checks
	// late, if set, decides whether an order gets no answer and is carried out late.
	late  func() bool
	muter *muter
	// lateOrder, if set, decides which order gets no answer, and after which time it is carried out; 0 for none.
	lateOrder func(n *life, in wireOrder) time.Duration
	runnerKind

	daemons []*daemon
	client  *http.Client
}

// daemon is one saddlevaned process.
type daemon struct {
	name, callers, ready, operators, settings string
	cmd                                       *exec.Cmd
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	fmt.Fprintf(r.record, "%8.3f "+format+"\n", append([]any{since(r.begun).Seconds()}, args...)...)
}

func jobOf(task string) string { id, _, _ := strings.Cut(task, "."); return id }

func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// lateBy returns after which time an order is carried out that gets no answer, or 0 for an order that is sound.
func (r *rig) lateBy(n *life, in wireOrder) time.Duration {
	switch {
	case r.lateOrder != nil:
		return r.lateOrder(n, in)
	case r.late != nil && r.late():
		return time.Duration(2000+now().UnixNano()%5000) * time.Millisecond
	}
	return 0
}

// started records the start of a run, and begins it, or its gang once all of one run are present. The
// caller holds runMu.
func (r *rig) started(t *taskRun) {
	r.all = append(r.all, t)
	r.starts[jobOf(t.task)]++
	r.startedAt[jobOf(t.task)] = now()
	if r.checks != nil {
		r.checks.start(r, t)
	}
	if !r.quiet {
		r.note("start %s run %d on %s", t.task, t.number, t.life.id)
	}
	if t.plan.gang == 0 {
		r.begin(t)
		return
	}
	key := stepOf(t.task) + "/" + strconv.FormatInt(t.number, 10)
	r.gangs[key] = append(r.gangs[key], t)
	if len(r.gangs[key]) == t.plan.gang {
		for _, member := range r.gangs[key] {
			r.begin(member)
		}
		return
	}
	time.AfterFunc(gangWait, func() {
		r.runMu.Lock()
		defer r.runMu.Unlock()
		if t.begun.IsZero() && !t.life.dead {
			t.life.end(t, "alone")
		}
	})
}

// begin lets a run work until it is done. The caller holds runMu.
func (r *rig) begin(t *taskRun) {
	t.begun = now()
	if r.onStart != nil {
		r.onStart(t)
	}
	time.AfterFunc(t.plan.work, func() {
		r.runMu.Lock()
		defer r.runMu.Unlock()
		if !t.life.dead {
			t.life.end(t, "done")
		}
	})
}

// breakGang ends the other members of a run's gang. The caller holds runMu.
func (r *rig) breakGang(t *taskRun) {
	if t.plan.gang == 0 {
		return
	}
	for _, member := range r.gangs[stepOf(t.task)+"/"+strconv.FormatInt(t.number, 10)] {
		if !member.ended && !member.life.dead {
			member.life.end(member, "broken")
		}
	}
}

// ended records the end of a run. The caller holds runMu.
func (r *rig) ended(t *taskRun, how string) {
	r.allEnds++
	id := jobOf(t.task)
	if r.hows[id] == nil {
		r.hows[id] = map[string]int{}
	}
	r.hows[id][how]++
	if !r.quiet {
		r.note("end %s run %d on %s: %s", t.task, t.number, t.life.id, how)
	}
}

// serve serves h on a free loopback port and returns its address.
func (r *rig) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() {
		_ = (&http.Server{Handler: h, ReadHeaderTimeout: time.Minute}).Serve(mutedListener{l, r.muter})
	}()
	return l.Addr().String()
}

// freePorts returns n free loopback addresses. Their ports are below those that the system gives to
// outgoing channels, so that none of these takes one before the daemon listens.
func freePorts(n int) []string {
	var all []string
	for len(all) < n {
		address := "127.0.0.1:" + strconv.Itoa(12000+rand.Intn(18000))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		all = append(all, address)
	}
	return all
}

// settingsFormat is deploy/settings.yaml.tmpl, filled with the values of a small deployment.
const settingsFormat = `box:
  name: %s
  domain: %s
  processors: 0.4
  link_mbps: 1000.0
  memory_mb: 284
listen:
  callers: %s
  operators: %s
  peers: %s
jobs:
  enabled: true
  ready: %s
  log: %s
  advice: ""
  lease_most: 6000ms
  config_within: 2000ms
`

// runnerKind has what differs between the runners of the cases.
type runnerKind struct {
	// keepsID lets a runner start again under its id; proxied lets runners be cut off.
	keepsID, proxied bool
}

// newRig starts the store, the runners and the daemons.
func newRig(recordPath string, daemons, machines int, routes ...map[string]any) (*rig, error) {
	return newRigOf(runnerKind{keepsID: os.Getenv("KEEPS_ID") != ""}, recordPath, daemons, machines, routes...)
}

// newRigOf starts a rig with runners of a kind.
func newRigOf(kind runnerKind, recordPath string, daemons, machines int, routes ...map[string]any) (*rig, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	r := &rig{
		trouble: os.Getenv("TROUBLE") != "0", runnerKind: kind, begun: now(), dir: dir, store: newStore(), record: record,
		muter: &muter{conns: map[*mutedConn]bool{}}, gangs: map[string][]*taskRun{}, starts: map[string]int{}, startedAt: map[string]time.Time{}, lostAt: map[string]time.Time{}, hows: map[string]map[string]int{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	r.address = r.serve(r.store.handler())
	for i := range machines {
		r.machines = append(r.machines, r.addMachine(i, 64000))
	}
	if len(routes) == 0 {
		routes = []map[string]any{route(queue, prefix, 1, 2)}
	}
	config, err := json.Marshal(map[string]any{
		"version": 7, "routes": routes,
		"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "headroom": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return nil, err
	}
	r.store.put("keyed.op", "config", config)
	for i := range daemons {
		if err := r.addDaemon(i); err != nil {
			return r, err
		}
	}
	return r, r.awaitReady(20 * time.Second)
}

func route(name, pathPrefix string, priority, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": pathPrefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 1000,
		"priority": priority, "service": service, "maxAttempts": attempts, "stretch": 2.2,
	}
}

// addDaemon adds a daemon. If another process has taken one of its ports meanwhile, it tries other ports.
func (r *rig) addDaemon(i int) error {
	d := &daemon{name: fmt.Sprintf("edge-%d", i)}
	d.settings = filepath.Join(r.dir, d.name+".yaml")
	r.daemons = append(r.daemons, d)
	for range 5 {
		p := freePorts(4)
		d.callers, d.operators, d.ready = p[0], p[1], p[3]
		text := fmt.Sprintf(settingsFormat, d.name, fmt.Sprintf("zone-%d", i%2), p[0], p[1], p[2], p[3], r.address)
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := r.startDaemon(d); err != nil {
			return err
		}
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			resp, err := r.client.Get("http://" + d.ready + "/readiness")
			if err == nil {
				_ = resp.Body.Close()
				return nil
			}
		}
		d.kill()
	}
	return fmt.Errorf("%s does not start", d.name)
}

// startDaemon starts the process as deploy/system.toml says.
func (r *rig) startDaemon(d *daemon) error {
	out, err := os.OpenFile(filepath.Join(r.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	d.cmd = exec.Command("target/saddlevaned", "-config", d.settings)
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "LANG=C", "GOGC=200"}
	d.cmd.Stdout, d.cmd.Stderr = out, out
	return d.cmd.Start()
}

// kill ends a daemon with SIGKILL.
func (d *daemon) kill() {
	_ = d.cmd.Process.Signal(syscall.SIGKILL)
	_, _ = d.cmd.Process.Wait()
}

func (r *rig) awaitReady(limit time.Duration) error {
	deadline := now().Add(limit)
	for _, d := range r.daemons {
		for {
			resp, err := r.client.Get("http://" + d.ready + "/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if now().After(deadline) {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(time.Second)
	return nil
}

// close ends all processes and removes what they wrote.
func (r *rig) close() {
	for _, d := range r.daemons {
		d.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println(r.dir)
	}
	_ = r.record.Close()
}

// call sends one call to a daemon and returns its status, 0 if there was no answer.
func (r *rig) call(d *daemon, method, path string, body any) (int, []byte) {
	const deadline = 3 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.callers+path, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// callUntil repeats a call at the daemons in turn until one of the wanted statuses comes or limit is
// over, and returns the last status.
func (r *rig) callUntil(limit time.Duration, method, path string, body any, wanted ...int) (int, []byte) {
	deadline := now().Add(limit)
	for i := int(now().UnixNano() % 1000); ; i++ {
		status, answer := r.call(r.daemons[i%len(r.daemons)], method, path, body)
		for _, w := range wanted {
			if status == w {
				return status, answer
			}
		}
		if now().After(deadline) {
			return status, answer
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// submit hands a job in, with the retries of a requester, and reports whether it was accepted.
func (r *rig) submit(id string, job map[string]any) bool {
	status, answer := r.callUntil(6*time.Second, http.MethodPost, prefix+id, job, http.StatusOK)
	r.note("POST %s: %d %s", id, status, strings.TrimSpace(string(answer)))
	return status == http.StatusOK
}

// state returns the state of a job, or the status of the answer if it is not 200.
func (r *rig) state(id string) string {
	status, answer := r.callUntil(3*time.Second, http.MethodGet, prefix+id, nil, http.StatusOK, http.StatusGone)
	var s struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(answer, &s) != nil {
		return strconv.Itoa(status)
	}
	return s.State
}

// awaitState asks for a job's state until it is final or limit is over, and returns the last one.
func (r *rig) awaitState(id string, limit time.Duration) string {
	for deadline := now().Add(limit); ; time.Sleep(300 * time.Millisecond) {
		s := r.state(id)
		if s == "succeeded" || s == "failed" || s == "cancelled" || s == "410" || now().After(deadline) {
			r.note("GET %s: %s", id, s)
			return s
		}
	}
}

// verdict writes the verdict and returns the exit code.
func (r *rig) verdict(broken bool, format string, args ...any) int {
	text := fmt.Sprintf(format, args...)
	code := ruleHeld
	if broken {
		code = ruleBroken
	}
	r.note("verdict %d: %s", code, text)
	fmt.Println(code, text)
	return code
}
