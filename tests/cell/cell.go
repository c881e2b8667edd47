// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cell

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"saddlevane/models/box"
	"saddlevane/models/resource"
)

// Binaries holds the paths of a cell's programs.
type Binaries struct{ Daemon, Tool, Standin string }

// BinariesIn returns the paths of the programs that `make build` writes to dir.
func BinariesIn(dir string) Binaries {
	return Binaries{
		Daemon: filepath.Join(dir, "saddlevaned"), Tool: filepath.Join(dir, "saddlevanectl"),
		Standin: filepath.Join(dir, "saddlevane-standin"),
	}
}

// Options configures a cell.
type Options struct {
	Binaries Binaries
	// Dir receives the settings files and the output of the processes.
	Dir     string
	Domains []Domain
	// ProxyAddress returns the address under which daemons reach the named service, box or
	// peer at address. It lets a proxy be placed in front of it.
	ProxyAddress func(name, address string) string
	// Settings holds additional YAML lines for the settings of each daemon, by section.
	Settings map[string][]string
	// Lag is the delay with which the platform's list of boxes shows changes (100 ms if 0),
	// Retention how long the log keeps records (24 h if 0), TaskLease how long workers keep
	// running tasks after their lease has expired (30 s if 0).
	Lag, Retention, TaskLease time.Duration
}

// Domain describes one failure domain of a cell.
type Domain struct {
	Name    string
	Entries int
	Racks   int
	// WorkersPerRack is the number of workers in a rack; Capacity is the capacity of each
	// worker.
	WorkersPerRack int
	Capacity       resource.Vector
	// Shards is the number of shards over which the racks are distributed; 0 means 1.
	Shards  int
	Targets int
	Slots   int
	// SeparateProcesses runs each worker and target in its own process, so that it can be
	// paused or killed alone.
	SeparateProcesses bool
}

// Entry is an entry box: its addresses and its daemon's process.
type Entry struct {
	Name      string
	Domain    string
	Callers   string
	Operators string
	Peers     string
	settings  string
	process   *Process
}

// Process returns the box's current daemon process.
func (e *Entry) Process() *Process { return e.process }

// Member is a worker or a target.
type Member struct {
	box.Box
	Capacity    resource.Vector `json:"capacity"`
	Listen      string          `json:"listen"`
	Slots       int             `json:"slots"`
	Connections int             `json:"connections"`
	// DirectAddress is the address at which the member listens, without a proxy.
	DirectAddress string `json:"-"`
	process       *Process
}

// Process returns the stand-in process that simulates the member.
func (m *Member) Process() *Process { return m.process }

// Cell is a running cell with its platform stand-ins.
type Cell struct {
	options      Options
	LogAddress   string
	BoxesAddress string
	entries      []*Entry
	workers      []*Member
	targets      []*Member

	mu        sync.Mutex
	processes []*Process
	states    map[string]box.State
}

// Start starts a cell. It returns once the stand-ins accept connections and the daemons have
// been started; see [Cell.WaitReady].
func Start(ctx context.Context, o Options) (*Cell, error) {
	if o.ProxyAddress == nil {
		o.ProxyAddress = func(_, address string) string { return address }
	}
	c := &Cell{options: o, states: map[string]box.State{}}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// start starts the stand-ins, publishes the list of boxes and starts the daemons.
func (c *Cell) start(ctx context.Context) error {
	c.LogAddress, c.BoxesAddress = FreeAddress(), FreeAddress()
	c.createBoxes()
	if err := c.startStandins(); err != nil {
		return err
	}
	if err := c.waitForStandins(ctx); err != nil {
		return err
	}
	if err := c.PublishBoxList(ctx); err != nil {
		return err
	}
	for _, e := range c.entries {
		if err := c.StartEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// createBoxes creates the entry boxes, workers and targets of all domains, with names and
// free addresses. It starts nothing.
func (c *Cell) createBoxes() {
	for _, d := range c.options.Domains {
		for i := range d.Entries {
			c.entries = append(c.entries, &Entry{
				Name: fmt.Sprintf("entry-%s%d", d.Name, i+1), Domain: d.Name,
				Callers: FreeAddress(), Operators: FreeAddress(), Peers: FreeAddress(),
			})
		}
		for r := range d.Racks {
			for i := range d.WorkersPerRack {
				name := fmt.Sprintf("worker-%s%d-%d", d.Name, r+1, i+1)
				c.workers = append(c.workers, c.newMember(d, name, box.Worker, fmt.Sprintf("rack-%s%d", d.Name, r+1)))
			}
		}
		for i := range d.Targets {
			c.targets = append(c.targets, c.newMember(d, fmt.Sprintf("target-%s%d", d.Name, i+1), box.Target, ""))
		}
	}
}

// ConnectionsPerTarget is the number of connections that each target accepts.
const ConnectionsPerTarget = 60

// newMember returns a worker or target with a free address, behind its proxy if there is one.
func (c *Cell) newMember(d Domain, name string, role box.Role, rack string) *Member {
	address := FreeAddress()
	m := &Member{
		Box:      box.Box{Name: name, Role: role, Domain: d.Name, Rack: rack, Address: c.options.ProxyAddress(name, address), State: box.Live},
		Capacity: d.Capacity, Listen: address, DirectAddress: address, Slots: d.Slots, Connections: ConnectionsPerTarget,
	}
	if role == box.Target {
		m.Pool = "runners"
	}
	return m
}

// startStandins starts the stand-ins for the log, the list of boxes, the workers and the targets.
func (c *Cell) startStandins() error {
	o := c.options
	if _, err := c.startStandin("log", "-role", "log", "-listen", c.LogAddress, "-retention", orDefault(o.Retention, 24*time.Hour).String()); err != nil {
		return err
	}
	if _, err := c.startStandin("boxes", "-role", "boxes", "-listen", c.BoxesAddress, "-lag", orDefault(o.Lag, 100*time.Millisecond).String()); err != nil {
		return err
	}
	for _, d := range o.Domains {
		if err := c.startMembers("workers", d, c.workers); err != nil {
			return err
		}
		if err := c.startMembers("targets", d, c.targets); err != nil {
			return err
		}
	}
	return nil
}

// startMembers starts the stand-ins for the workers or targets of a domain, in one process or
// in one process each.
func (c *Cell) startMembers(role string, d Domain, all []*Member) error {
	var own []*Member
	for _, m := range all {
		if m.Domain == d.Name {
			own = append(own, m)
		}
	}
	groups := [][]*Member{own}
	if d.SeparateProcesses {
		groups = groups[:0]
		for _, m := range own {
			groups = append(groups, []*Member{m})
		}
	}
	for i, group := range groups {
		if len(group) == 0 {
			continue
		}
		if err := c.startGroup(role, fmt.Sprintf("%s-%s%d", role, d.Name, i), group); err != nil {
			return err
		}
	}
	return nil
}

// startGroup starts one process that simulates the members of a group.
func (c *Cell) startGroup(role, name string, group []*Member) error {
	data, err := json.Marshal(group)
	if err != nil {
		return err
	}
	path := filepath.Join(c.options.Dir, name+".json")
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return err
	}
	p, err := c.startStandin(name, "-role", role, "-members", path, "-task-lease", orDefault(c.options.TaskLease, 30*time.Second).String())
	for _, m := range group {
		m.process = p
	}
	return err
}

// startStandin starts one stand-in process, which Close kills.
func (c *Cell) startStandin(name string, args ...string) (*Process, error) {
	p, err := StartProcess(c.options.Dir, name, c.options.Binaries.Standin, args...)
	if err != nil {
		return nil, err
	}
	c.addProcess(p)
	return p, nil
}

// addProcess adds a process to those that Close kills.
func (c *Cell) addProcess(p *Process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes = append(c.processes, p)
}

// waitForStandins waits until all stand-ins accept connections.
func (c *Cell) waitForStandins(ctx context.Context) error {
	addresses := []string{c.LogAddress, c.BoxesAddress}
	for _, m := range append(append([]*Member{}, c.workers...), c.targets...) {
		addresses = append(addresses, m.DirectAddress)
	}
	for _, a := range addresses {
		err := WaitFor(ctx, a+" answers", func() bool {
			conn, err := net.DialTimeout("tcp", a, time.Second)
			if err != nil {
				return false
			}
			return conn.Close() == nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// StartEntry starts the daemon of an entry box. It may be called again after the previous
// process has ended.
func (c *Cell) StartEntry(e *Entry) error {
	if e.settings == "" {
		if err := c.writeSettings(e); err != nil {
			return err
		}
	}
	p, err := StartProcess(c.options.Dir, e.Name, c.options.Binaries.Daemon, "-config", e.settings)
	if err != nil {
		return err
	}
	e.process = p
	c.addProcess(p)
	return nil
}

// writeSettings writes the settings file of an entry box.
func (c *Cell) writeSettings(e *Entry) error {
	e.settings = filepath.Join(c.options.Dir, e.Name+".yaml")
	sections := map[string][]string{
		"box":    {"name: " + e.Name, "domain: " + e.Domain},
		"listen": {"callers: " + e.Callers, "operators: " + e.Operators, "peers: " + e.Peers},
		"platform": {
			"log: http://" + c.options.ProxyAddress("log-"+e.Domain, c.LogAddress), "boxes: http://" + c.options.ProxyAddress("boxes-"+e.Domain, c.BoxesAddress),
		},
	}
	for name, lines := range c.options.Settings {
		sections[name] = append(sections[name], lines...)
	}
	var text strings.Builder
	for name, lines := range sections {
		fmt.Fprintf(&text, "%s:\n", name)
		for _, line := range lines {
			fmt.Fprintf(&text, "  %s\n", line)
		}
	}
	return os.WriteFile(e.settings, []byte(text.String()), 0o644)
}

// Close kills every process of the cell.
func (c *Cell) Close() {
	c.mu.Lock()
	all := c.processes
	c.processes = nil
	c.mu.Unlock()
	for _, p := range all {
		p.Kill()
	}
}

// Entries returns the entry boxes.
func (c *Cell) Entries() []*Entry { return c.entries }

// EntriesIn returns the entry boxes of a domain.
func (c *Cell) EntriesIn(domain string) []*Entry {
	var all []*Entry
	for _, e := range c.entries {
		if e.Domain == domain {
			all = append(all, e)
		}
	}
	return all
}

// Workers returns the workers.
func (c *Cell) Workers() []*Member { return c.workers }

// Targets returns the targets.
func (c *Cell) Targets() []*Member { return c.targets }

// orDefault returns d, or other if d is 0.
func orDefault(d, other time.Duration) time.Duration {
	if d == 0 {
		return other
	}
	return d
}
