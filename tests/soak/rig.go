// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"saddlevane/models/job"
	"saddlevane/platform/standin"
	"saddlevane/services/dispatch"
	"saddlevane/tests/cell"
)

// Rig is a cell of daemons, a stand-in of the platform, and the proxies between
// them.
type Rig struct {
	// dir takes settings and output, daemon is the program to run.
	dir      string
	daemon   string
	platform *standin.Platform
	proxies  *cell.Proxies
	boxes    []*box
	workers  []*standin.Worker
}

// box is one entry box.
type box struct {
	name string
	// settings is the file with its settings, operators its address for them.
	settings  string
	operators string

	mu      sync.Mutex
	process *cell.Process
}

// settingsText is what a daemon is told. Times are shorter than usual, so that
// more happens in a run.
const settingsText = `box:
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
  wait: 500ms
  renew: 150ms
  hold_for: 700ms
  claim_after: 800ms
  stop_grace: 500ms
`

// NewRig starts a rig with some boxes and workers; daemon is the program to run,
// and dir takes its output.
func NewRig(seed int64, daemon, dir string, boxes, workers int) (*Rig, error) {
	p, err := standin.New(seed)
	if err != nil {
		return nil, err
	}
	r := &Rig{dir: dir, daemon: daemon, platform: p, proxies: cell.NewProxies()}
	if err := p.Configure(queues...); err != nil {
		return r, err
	}
	for i := range workers {
		name := workerName(i)
		w, err := p.AddWorker(name, func(address string) string { return r.proxies.Via(name, address) })
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

// newBox writes the settings of a box, whose ways to the log and from other boxes
// lead through proxies.
func (r *Rig) newBox(i int) (*box, error) {
	b := &box{name: fmt.Sprintf("box-%d", i), operators: cell.FreeAddress()}
	b.settings = filepath.Join(r.dir, b.name+".yaml")
	peers := cell.FreeAddress()
	text := fmt.Sprintf(settingsText, b.name, cell.FreeAddress(), b.operators, peers, r.proxies.Via(peerProxy(i), peers),
		cell.FreeAddress(), r.proxies.Via(logProxy(i), r.platform.Log()), r.platform.Advice())
	return b, os.WriteFile(b.settings, []byte(text), 0o600)
}

// logProxy and peerProxy name the proxies before the log and the peers' address of a
// box, workerName a worker and the proxy before it.
func logProxy(i int) string { return fmt.Sprintf("log-%d", i) }

func peerProxy(i int) string { return fmt.Sprintf("peer-%d", i) }

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

// running returns the process of a box.
func (b *box) running() *cell.Process {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.process
}

// AwaitReady waits until all boxes take callers.
func (r *Rig) AwaitReady(ctx context.Context) error {
	for _, b := range r.boxes {
		for !b.ready(ctx) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready: %w", b.name, ctx.Err())
			case <-time.After(readyEvery):
			}
		}
	}
	return nil
}

// readyEvery is the pause between two questions whether a box is ready, or holds the
// cell.
const readyEvery = 20 * time.Millisecond

// ready says whether a box takes callers.
func (b *box) ready(ctx context.Context) bool { return b.get(ctx, "/readyz", nil) }

// Close ends all processes and servers.
func (r *Rig) Close() {
	for _, b := range r.boxes {
		if p := b.running(); p != nil {
			_ = p.Signal(syscall.SIGCONT)
			p.Kill()
		}
	}
	r.proxies.Close()
	r.platform.Close()
}

// Starts returns how many tasks were started.
func (r *Rig) Starts() int { return r.platform.Starts() }

// Broken returns the promises that workers have seen broken.
func (r *Rig) Broken() []string { return r.platform.Broken() }

// Expect tells the stand-in of a job before it is handed in, and how long its tasks
// work.
func (r *Rig) Expect(s job.Submission, work time.Duration) error {
	for _, q := range queues {
		if q.Name == s.Queue {
			r.platform.Expect(s, q, work)
			return nil
		}
	}
	return fmt.Errorf("no queue %q", s.Queue)
}

// Operators returns the addresses of the boxes that answer.
func (r *Rig) Operators(ctx context.Context) []string {
	var all []string
	for _, b := range r.boxes {
		if b.ready(ctx) {
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
	for ctx.Err() == nil {
		for _, b := range r.boxes {
			var s job.CellStatus
			if b.get(ctx, "/v1/cell", &s) && s.Holds {
				b.running().Kill()
				return b.name, nil
			}
		}
		time.Sleep(readyEvery)
	}
	return "", ctx.Err()
}

// State returns the state of a job, or nothing if no box tells it.
func (r *Rig) State(ctx context.Context, id job.ID) job.State {
	for _, b := range r.boxes {
		var a dispatch.Answer
		if b.get(ctx, "/v1/jobs/"+string(id), &a) {
			return a.State
		}
	}
	return ""
}
