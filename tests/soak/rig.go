// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/platform/standin"
	"saddlevane/tests/cell"
	"saddlevane/tests/forward"
)

// Rig is a cell of daemons, a stand-in of the platform, and the proxies and forwarders
// between them.
type Rig struct {
	// dir takes settings and output, daemon is the program to run.
	dir      string
	daemon   string
	platform *standin.Platform
	proxies  *cell.Proxies
	// ways has what silences open connections, by name.
	forwarders map[string]*forward.Proxy
	boxes      []*box
	workers    []*standin.Worker
	// holdFor and claimAfter are times of the claim on the cell.
	holdFor, claimAfter time.Duration
	// more is added to the settings of each box.
	extraSettings string
}

// Option changes a rig from the usual.
type Option func(*Rig)

// WithClaimTimes has a box hold the cell although the log does not answer for a while.
func WithClaimTimes(holdFor, claimAfter time.Duration) Option {
	return func(r *Rig) { r.holdFor, r.claimAfter = holdFor, claimAfter }
}

// WithIdleTimeout has boxes close unused connections to the platform and the workers earlier.
func WithIdleTimeout(most time.Duration) Option {
	return func(r *Rig) { r.extraSettings += fmt.Sprintf("connections:\n  unused: %v\n", most) }
}

// The times of the claim on the cell, where no option says otherwise: one call to the
// log that runs out of its time ends it.
const (
	defaultHoldFor    = 700 * time.Millisecond
	defaultClaimAfter = 800 * time.Millisecond
)

// box is one entry box.
type box struct {
	name string
	// settings is the file with its settings, operators its address for them.
	settings  string
	operators string
	// callers is where callers reach the box.
	callers string
	advice  *standin.Advice

	// starting is held while the daemon is started again.
	startMu sync.Mutex

	mu      sync.Mutex
	process *cell.Process
}

// settingsTemplate is what a daemon is told. Times are shorter than usual, so that
// more happens in a run.
const settingsTemplate = `box:
  name: %s
  domain: a
listen:
  callers: %s
  operators: %s
  peers: %s
  advertise: %s
log:
  format: json
jobs:
  enabled: true
  ready: %s
  log: %s
  advice: %s
  lease: 2500ms
  lease_most: 6s
  wait: 500ms
  renew: 150ms
  hold_for: %v
  claim_after: %v
  stop_grace: 500ms
`

// NewRig starts a rig with some boxes and workers; daemon is the program to run,
// and dir takes its output.
func NewRig(seed int64, daemon, dir string, boxes, workers int, options ...Option) (*Rig, error) {
	p, err := standin.New(seed)
	if err != nil {
		return nil, err
	}
	r := &Rig{
		dir: dir, daemon: daemon, platform: p, proxies: cell.NewProxies(), forwarders: map[string]*forward.Proxy{},
		holdFor: defaultHoldFor, claimAfter: defaultClaimAfter,
	}
	for _, o := range options {
		o(r)
	}
	if err := p.Configure(queues...); err != nil {
		return r, err
	}
	for i := range workers {
		name := workerName(i)
		w, err := p.AddWorker(name, func(address string) (string, error) {
			return r.addForwarder(name, r.proxies.GetOrStart(name, address))
		})
		if err != nil {
			return r, err
		}
		r.workers = append(r.workers, w)
	}
	for i := range boxes {
		b, err := r.newBox(i)
		if err != nil {
			return r, err
		}
		r.boxes = append(r.boxes, b)
		if err := r.start(b); err != nil {
			return r, err
		}
	}
	return r, nil
}

// newBox writes the settings of a box. All connections from it and to it lead through
// forwarders, those to the log and from other boxes through proxies too.
func (r *Rig) newBox(i int) (*box, error) {
	b := &box{name: fmt.Sprintf("box-%d", i), operators: cell.FreeAddress()}
	b.settings = filepath.Join(r.dir, b.name+".yaml")
	var err error
	if b.advice, err = r.platform.AddAdvice(); err != nil {
		return nil, err
	}
	listen := cell.FreeAddress()
	peers, errPeers := r.addForwarder(peerProxyName(i), r.proxies.GetOrStart(peerProxyName(i), listen))
	log, errLog := r.addForwarder(logProxyName(i), r.proxies.GetOrStart(logProxyName(i), r.platform.Log()))
	advice, errAdvice := r.addForwarder(adviceProxyName(i), b.advice.Address())
	callers, errCallers := r.addForwarder(callersProxyName(i), b.operators)
	if err := errors.Join(errPeers, errLog, errAdvice, errCallers); err != nil {
		return nil, fmt.Errorf("forward to and from %s: %w", b.name, err)
	}
	b.callers = callers
	text := fmt.Sprintf(settingsTemplate, b.name, cell.FreeAddress(), b.operators, listen, peers,
		cell.FreeAddress(), log, advice, r.holdFor, r.claimAfter)
	return b, os.WriteFile(b.settings, []byte(text+r.extraSettings), 0o600)
}

// addForwarder returns the address of a new forwarder to an address.
func (r *Rig) addForwarder(name, address string) (string, error) {
	f := forward.New()
	r.forwarders[name] = f
	return f.Forward(address)
}

// StallConnections silences all connections that are open now, for good, in some directions or
// in both if none is named. New ones work. It returns how many there were.
func (r *Rig) StallConnections(directions ...forward.Direction) int {
	n := 0
	for _, f := range r.forwarders {
		n += f.Stall(directions...)
	}
	return n
}

// logProxyName and peerProxyName name what stands before the log and the peers' address of a box,
// adviceProxyName and callersProxyName the forwarders before its advice service and its callers'
// address, workerName a worker and what stands before it.
func logProxyName(i int) string { return fmt.Sprintf("log-%d", i) }

func peerProxyName(i int) string { return fmt.Sprintf("peer-%d", i) }

func adviceProxyName(i int) string { return fmt.Sprintf("advice-%d", i) }

func callersProxyName(i int) string { return fmt.Sprintf("callers-%d", i) }

func workerName(i int) string { return fmt.Sprintf("worker-%d", i) }

// start starts the daemon of a box.
func (r *Rig) start(b *box) error {
	p, err := cell.StartProcess(r.dir, b.name, r.daemon, "-config", b.settings)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.process = p
	return nil
}

// restart starts the daemon of a box again that has ended. Two faults may have ended the same
// process, a planned stop and a kill during it: the second start would be of a second process
// of the same box, of which the rig loses sight.
func (r *Rig) restart(b *box) error {
	b.startMu.Lock()
	defer b.startMu.Unlock()
	select {
	case <-b.currentProcess().Done():
		return r.start(b)
	default:
		return nil
	}
}

// currentProcess returns the process of a box.
func (b *box) currentProcess() *cell.Process {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.process
}

// WaitReady waits until all boxes take callers.
func (r *Rig) WaitReady(ctx context.Context) error {
	for _, b := range r.boxes {
		for !b.isReady(ctx) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready: %w", b.name, ctx.Err())
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// readyPollInterval is the pause between two questions whether a box is ready, or holds the
// cell.
const readyPollInterval = 20 * time.Millisecond

// isReady says whether a box takes callers.
func (b *box) isReady(ctx context.Context) bool { return b.get(ctx, "/readyz", nil) }

// Close ends all processes and servers.
func (r *Rig) Close() {
	for _, b := range r.boxes {
		if p := b.currentProcess(); p != nil {
			_ = p.Signal(syscall.SIGCONT)
			p.Kill()
		}
	}
	for _, f := range r.forwarders {
		f.Close()
	}
	r.proxies.Close()
	r.platform.Close()
}

// SocketCounts returns how many sockets the process of each box has open, by box. Those of
// callers are left out: the kernel finds silent callers, and can't here, where that of
// the forwarder answers for them.
func (r *Rig) SocketCounts() (map[string]int, error) {
	all := map[string]int{}
	for _, b := range r.boxes {
		n, err := b.currentProcess().SocketCount(b.operators)
		if err != nil {
			return nil, err
		}
		all[b.name] = n
	}
	return all, nil
}

// StartCount returns how many tasks were started.
func (r *Rig) StartCount() int { return r.platform.StartCount() }

// UnreachedStarts returns how many tasks late orders started on lives that no holder had reached.
func (r *Rig) UnreachedStarts() int { return r.platform.UnreachedStarts() }

// Violations returns the promises that workers have seen broken.
func (r *Rig) Violations() []string { return r.platform.Violations() }

// Expect tells the stand-in of a job before it is handed in, and how long its tasks
// work.
func (r *Rig) Expect(s job.Submission, work time.Duration) error {
	for _, q := range queues {
		if q.Name == s.Queue {
			r.platform.ExpectJob(s, q, work)
			return nil
		}
	}
	return fmt.Errorf("no queue %q", s.Queue)
}

// OperatorAddresses returns the addresses of the boxes that answer.
func (r *Rig) OperatorAddresses(ctx context.Context) []string {
	var all []string
	for _, b := range r.boxes {
		if b.isReady(ctx) {
			all = append(all, b.operators)
		}
	}
	return all
}

// get reads what a box answers to a question; false means that it did not.
func (b *box) get(ctx context.Context, path string, into any) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.operators+path, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK && (into == nil || json.NewDecoder(resp.Body).Decode(into) == nil)
}

// KillHolder kills the box that holds the cell and returns its name.
func (r *Rig) KillHolder(ctx context.Context) (string, error) {
	b, err := r.holder(ctx)
	if err != nil {
		return "", err
	}
	b.currentProcess().Kill()
	return b.name, nil
}

// RestartWorkers has half of the workers start again under their names, and returns those.
func (r *Rig) RestartWorkers() []string {
	var again []string
	for i := 0; i < len(r.workers); i += 2 {
		r.workers[i].Restart()
		again = append(again, workerName(i))
	}
	return again
}

// RefuseHolderAdvice has the advice service refuse the box that holds the cell, so that
// it needs the others for it.
func (r *Rig) RefuseHolderAdvice(ctx context.Context) error {
	b, err := r.holder(ctx)
	if err != nil {
		return err
	}
	b.advice.SetBusy(true)
	return nil
}

// holder returns the box that holds the cell, and waits until there is one.
func (r *Rig) holder(ctx context.Context) (*box, error) {
	for ctx.Err() == nil {
		for _, b := range r.boxes {
			var s job.CellStatus
			if b.get(ctx, "/v1/cell", &s) && s.Holds {
				return b, nil
			}
		}
		time.Sleep(readyPollInterval)
	}
	return nil, fmt.Errorf("no box holds the cell: %w", ctx.Err())
}

// State returns the state of a job, or nothing if no box tells it.
func (r *Rig) State(ctx context.Context, id job.ID) job.State {
	for _, b := range r.boxes {
		var a exchange.Answer
		if b.get(ctx, "/v1/jobs/"+string(id), &a) {
			return a.State
		}
	}
	return ""
}
