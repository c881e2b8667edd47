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
	"saddlevane/tests/tcpproxy"
)

// Rig is a cell of daemons with a stand-in of the platform. Proxies and forwarders between
// them inject network faults.
type Rig struct {
	// dir receives settings files and output, daemon is the path of the program to run.
	dir      string
	daemon   string
	platform *standin.Platform
	proxies  *cell.Proxies
	// forwarders stall open connections, by the name of the component behind them.
	forwarders map[string]*tcpproxy.Proxy
	boxes      []*box
	workers    []*standin.Worker
	// holdFor and claimAfter are the settings jobs.hold_for and jobs.claim_after.
	holdFor, claimAfter time.Duration
	// extraSettings is YAML appended to the settings of each box.
	extraSettings string
}

// Option changes a rig's defaults.
type Option func(*Rig)

// WithClaimTimes sets jobs.hold_for and jobs.claim_after. Longer times let a box hold the
// cell while the log does not respond for a while.
func WithClaimTimes(holdFor, claimAfter time.Duration) Option {
	return func(r *Rig) { r.holdFor, r.claimAfter = holdFor, claimAfter }
}

// WithIdleTimeout sets connections.unused, after which boxes close unused connections to
// the platform and the workers.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(r *Rig) { r.extraSettings += fmt.Sprintf("connections:\n  unused: %v\n", timeout) }
}

// Default times of the claim on the cell. They are so short that one call to the log that
// times out ends the claim.
const (
	defaultHoldFor    = 700 * time.Millisecond
	defaultClaimAfter = 800 * time.Millisecond
)

// box is one entry box with its daemon.
type box struct {
	name string
	// settings is the path of the settings file, operators the address of the operators'
	// interface.
	settings  string
	operators string
	// callers is the forwarded address at which callers reach the box.
	callers string
	advice  *standin.Advice

	// startMu is held while the daemon is restarted.
	startMu sync.Mutex

	mu      sync.Mutex
	process *cell.Process
}

// settingsTemplate holds the settings of a daemon. Its times are shorter than the defaults,
// so that more happens in a run.
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
  lease: %v
  lease_most: 6s
  wait: 500ms
  renew: 150ms
  hold_for: %v
  claim_after: %v
  stop_grace: 500ms
`

// NewRig starts a rig with the given numbers of boxes and workers. daemon is the path of the
// program to run; dir receives settings files and output. A rig that is returned with an
// error must be closed as well.
func NewRig(seed int64, daemon, dir string, boxes, workers int, options ...Option) (*Rig, error) {
	p, err := standin.New(seed)
	if err != nil {
		return nil, err
	}
	r := &Rig{
		dir: dir, daemon: daemon, platform: p, proxies: cell.NewProxies(), forwarders: map[string]*tcpproxy.Proxy{},
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

// newBox creates a box and writes its settings file. All connections from the box, and those
// from callers and other boxes to it, pass through forwarders; those to the log and from
// other boxes also pass through proxies.
func (r *Rig) newBox(i int) (*box, error) {
	b := &box{name: fmt.Sprintf("box-%d", i), operators: cell.FreeAddress()}
	b.settings = filepath.Join(r.dir, b.name+".yaml")
	var err error
	if b.advice, err = r.platform.AddAdvice(); err != nil {
		return nil, err
	}
	listen := cell.FreeAddress()
	peers, errPeers := r.addForwarder(peerProxyName(i), r.proxies.GetOrStart(peerProxyName(i), listen))
	log, errLog := r.addForwarder(logProxyName(i), r.proxies.GetOrStart(logProxyName(i), r.platform.LogAddress()))
	advice, errAdvice := r.addForwarder(adviceProxyName(i), b.advice.Address())
	callers, errCallers := r.addForwarder(callersProxyName(i), b.operators)
	if err := errors.Join(errPeers, errLog, errAdvice, errCallers); err != nil {
		return nil, fmt.Errorf("forward to and from %s: %w", b.name, err)
	}
	b.callers = callers
	text := fmt.Sprintf(settingsTemplate, b.name, cell.FreeAddress(), b.operators, listen, peers,
		cell.FreeAddress(), log, advice, LeaseDuration, r.holdFor, r.claimAfter)
	return b, os.WriteFile(b.settings, []byte(text+r.extraSettings), 0o600)
}

// addForwarder starts a forwarder to address and returns its listen address.
func (r *Rig) addForwarder(name, address string) (string, error) {
	f := tcpproxy.New()
	r.forwarders[name] = f
	return f.Forward(address)
}

// StallConnections permanently stalls all currently open connections in the given directions,
// or in both if none is given. New connections work. It returns the number of stalled
// connections.
func (r *Rig) StallConnections(directions ...tcpproxy.Direction) int {
	n := 0
	for _, f := range r.forwarders {
		n += f.Stall(directions...)
	}
	return n
}

// The following functions return the names of proxies and forwarders. logProxyName and
// peerProxyName name both the proxy and the forwarder in front of the log and of the box's
// address for peers. adviceProxyName and callersProxyName name the forwarders in front of the
// box's advice service and its address for callers. workerName names a worker and the proxy
// and forwarder in front of it.
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

// restart starts the daemon of a box if it has ended. Two faults may end the same process,
// such as a planned stop and a kill during it. Starting the daemon for each of them would run
// two processes of the same box, one of which the rig would not track.
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

// currentProcess returns the most recently started process of a box.
func (b *box) currentProcess() *cell.Process {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.process
}

// WaitReady waits until all boxes accept callers' requests.
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

// readyPollInterval is the pause between two polls for a ready box or for the holder of the
// cell.
const readyPollInterval = 20 * time.Millisecond

// isReady reports whether a box accepts callers' requests.
func (b *box) isReady(ctx context.Context) bool { return b.get(ctx, "/readyz", nil) }

// Close ends all processes, forwarders, proxies and stand-ins.
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

// SocketCounts returns the number of sockets that the process of each box has open, by box
// name. Sockets of callers are left out: boxes rely on the kernel to detect stalled callers,
// which it cannot do behind a forwarder, because it still acknowledges packets for the
// forwarder's sockets.
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

// UnreachedStarts returns how many tasks were started by late orders on an incarnation of a worker
// that no holder had reached yet.
func (r *Rig) UnreachedStarts() int { return r.platform.UnreachedStarts() }

// Violations returns the guarantees that were violated from the workers' point of view.
func (r *Rig) Violations() []string { return r.platform.Violations() }

// Expect announces a job and the run time of its tasks to the stand-in. It must be called
// before the job is submitted.
func (r *Rig) Expect(s job.Submission, work time.Duration) error {
	for _, q := range queues {
		if q.Name == s.Queue {
			r.platform.ExpectJob(s, q, work)
			return nil
		}
	}
	return fmt.Errorf("no queue %q", s.Queue)
}

// OperatorAddresses returns the operators' addresses of all boxes that are ready.
func (r *Rig) OperatorAddresses(ctx context.Context) []string {
	var all []string
	for _, b := range r.boxes {
		if b.isReady(ctx) {
			all = append(all, b.operators)
		}
	}
	return all
}

// get sends a GET request to a box and decodes the response into into, unless that is nil. It
// reports whether the box responded with status 200 and a valid body.
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

// RestartWorkers restarts every second worker under its name and returns their names.
func (r *Rig) RestartWorkers() []string {
	var names []string
	for i := 0; i < len(r.workers); i += 2 {
		r.workers[i].Restart()
		names = append(names, workerName(i))
	}
	return names
}

// RefuseHolderAdvice makes the advice service refuse the box that holds the cell, so that it
// must request advice through other boxes.
func (r *Rig) RefuseHolderAdvice(ctx context.Context) error {
	b, err := r.holder(ctx)
	if err != nil {
		return err
	}
	b.advice.SetBusy(true)
	return nil
}

// holder waits until a box holds the cell and returns it.
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

// State returns the state of a job, or "" if no box reports it.
func (r *Rig) State(ctx context.Context, id job.ID) job.State {
	for _, b := range r.boxes {
		var a exchange.Answer
		if b.get(ctx, "/v1/jobs/"+string(id), &a) {
			return a.State
		}
	}
	return ""
}
