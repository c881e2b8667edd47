// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cell

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync/atomic"
	"time"

	"saddlevane/models/box"
	"saddlevane/models/status"
	"saddlevane/models/task"
	"saddlevane/modules/httpjson"
)

var apiClient = httpjson.NewClient(&http.Client{Timeout: 5 * time.Second}, 64<<20)

// Listeners use ports from firstPort up, below the range from which the kernel assigns local
// ports to outgoing connections.
const (
	firstPort = 12000
	portCount = 20000
)

// nextPort counts the ports handed out by this process. It starts at a random value so that
// processes which run at the same time use different ports.
var nextPort atomic.Int64

func init() { nextPort.Store(rand.Int64N(portCount)) }

// FreeAddress returns a loopback address on which nothing listens. Each call returns a
// different address until all portCount ports have been used.
func FreeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address
	}
}

// WaitFor polls ok every 20 ms until it returns true. If ctx ends first, it returns an error
// that starts with what.
func WaitFor(ctx context.Context, what string, ok func() bool) error {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !ok() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", what, ctx.Err())
		}
	}
	return nil
}

// Faults are the faults that a stand-in simulates; see docs/PLATFORM.md.
type Faults struct {
	Down        bool  `json:"down"`
	Drop        bool  `json:"drop"`
	LoseAnswers bool  `json:"lose_answers"`
	Truncate    bool  `json:"truncate"`
	Slow        int64 `json:"slow_ms"`
	FailAll     bool  `json:"fail_all"`
	Leaving     bool  `json:"leaving"`
}

// SetFaults replaces the faults of the stand-in at address; the zero Faults ends them all.
func SetFaults(ctx context.Context, address string, f Faults) error {
	var out Faults
	return apiClient.Post(ctx, "http://"+address+"/admin/faults", f, &out)
}

// TrimLog makes the log delete all records before the given offset.
func (c *Cell) TrimLog(ctx context.Context, before int64) error {
	var out struct{}
	return apiClient.Post(ctx, fmt.Sprintf("http://%s/admin/trim?before=%d", c.LogAddress, before), struct{}{}, &out)
}

// LogCount holds the number of appends to the log and the offsets of its first and next
// record.
type LogCount struct {
	Appends int64 `json:"appends"`
	First   int64 `json:"first"`
	Next    int64 `json:"next"`
}

// CountLog returns the log's counts.
func (c *Cell) CountLog(ctx context.Context) (LogCount, error) {
	var n LogCount
	err := apiClient.Get(ctx, "http://"+c.LogAddress+"/admin/count", &n)
	return n, err
}

// SetState sets the state of the named box in the platform's list of boxes.
func (c *Cell) SetState(ctx context.Context, name string, s box.State) error {
	c.states[name] = s
	return c.PublishBoxList(ctx)
}

// PublishBoxList replaces the platform's list of boxes by the boxes of the cell.
func (c *Cell) PublishBoxList(ctx context.Context) error {
	var l box.List
	add := func(b box.Box) {
		if s, ok := c.states[b.Name]; ok {
			b.State = s
		}
		l.Boxes = append(l.Boxes, b)
	}
	for _, e := range c.entries {
		add(box.Box{
			Name: e.Name, Role: box.Entry, Domain: e.Domain, State: box.Live,
			Address: c.options.ProxyAddress(e.Name, e.Peers),
		})
	}
	for _, m := range c.workers {
		add(m.Box)
	}
	for _, m := range c.targets {
		add(m.Box)
	}
	var out struct{}
	return apiClient.Post(ctx, "http://"+c.BoxesAddress+"/admin/boxes", l, &out)
}

// Status returns the entry box's short status.
func (e *Entry) Status(ctx context.Context) (status.Process, error) {
	var s status.Process
	err := apiClient.Get(ctx, "http://"+e.Operators+"/v1/status", &s)
	return s, err
}

// Queue returns the task counts of the objects in the shards that the entry box holds.
func (e *Entry) Queue(ctx context.Context) ([]status.Work, error) {
	var w []status.Work
	err := apiClient.Get(ctx, "http://"+e.Operators+"/v1/queue", &w)
	return w, err
}

// Places returns the placed tasks of the shards that the entry box holds.
func (e *Entry) Places(ctx context.Context) ([]status.Place, error) {
	var p []status.Place
	err := apiClient.Get(ctx, "http://"+e.Operators+"/v1/places", &p)
	return p, err
}

// Ready reports whether the entry box accepts callers' requests.
func (e *Entry) Ready(ctx context.Context) bool {
	var out struct{}
	return apiClient.Get(ctx, "http://"+e.Callers+"/readyz", &out) == nil
}

// WaitReady waits until every entry box accepts callers' requests.
func (c *Cell) WaitReady(ctx context.Context) error {
	return WaitFor(ctx, "every entry box is ready", func() bool {
		for _, e := range c.entries {
			if !e.Ready(ctx) {
				return false
			}
		}
		return true
	})
}

// Work returns the task counts of each object by its name, summed over the entry boxes that
// respond.
func (c *Cell) Work(ctx context.Context) map[string]status.Work {
	sum := map[string]status.Work{}
	for _, e := range c.entries {
		rows, err := e.Queue(ctx)
		if err != nil {
			continue
		}
		for _, r := range rows {
			name, _, _ := strings.Cut(r.Object, "@")
			s := sum[name]
			s.Object = r.Object
			s.Tasks += r.Tasks
			s.Running += r.Running
			s.Done += r.Done
			s.Failed += r.Failed
			s.Unknown += r.Unknown
			s.Waiting += r.Waiting
			s.UnknownTasks = append(s.UnknownTasks, r.UnknownTasks...)
			if r.Reason != "" {
				s.Reason = r.Reason
			}
			sum[name] = s
		}
	}
	return sum
}

// Span is the time during which a task ran on a worker, in Unix milliseconds. End is 0 while
// the task runs.
type Span struct {
	Worker string     `json:"-"`
	Task   task.ID    `json:"task"`
	Start  int64      `json:"start_ms"`
	End    int64      `json:"end_ms"`
	State  task.State `json:"state"`
}

// History is the record of task starts and ends kept by the workers.
type History struct {
	Spans []Span
	// ExcessStarts counts starts that would have exceeded a worker's capacity.
	ExcessStarts int64
}

// workerHistory is the response of one worker stand-in.
type workerHistory struct {
	Worker string `json:"worker"`
	Spans  []Span `json:"spans"`
	Excess int64  `json:"excess"`
}

// History collects the histories of all workers whose process still runs.
func (c *Cell) History(ctx context.Context) (History, error) {
	var h History
	for _, m := range c.workers {
		if m.process.hasEnded() {
			continue
		}
		var one workerHistory
		if err := apiClient.Get(ctx, "http://"+m.DirectAddress+"/admin/history", &one); err != nil {
			return h, err
		}
		for _, s := range one.Spans {
			s.Worker = one.Worker
			h.Spans = append(h.Spans, s)
		}
		h.ExcessStarts += one.Excess
	}
	return h, nil
}

// Overlaps returns one line for each pair of overlapping runs of the same task.
func (h History) Overlaps() []string {
	byKey := map[task.Key][]Span{}
	for _, s := range h.Spans {
		byKey[s.Task.Key()] = append(byKey[s.Task.Key()], s)
	}
	var all []string
	for key, spans := range byKey {
		for i, a := range spans {
			for _, b := range spans[i+1:] {
				if a.overlaps(b) {
					all = append(all, fmt.Sprintf("%s ran on %s and %s at once", key, a.Worker, b.Worker))
				}
			}
		}
	}
	return all
}

func (s Span) overlaps(o Span) bool {
	return (o.End == 0 || s.Start < o.End) && (s.End == 0 || o.Start < s.End)
}

// Starts returns how often each task was started.
func (h History) Starts() map[task.Key]int {
	n := map[task.Key]int{}
	for _, s := range h.Spans {
		n[s.Task.Key()]++
	}
	return n
}

// TargetStats counts the requests that one target received: how many it served, how often
// each ran, by nonce, and how many were in progress at most at the same time.
type TargetStats struct {
	Target        string         `json:"target"`
	Served        int64          `json:"served"`
	Runs          map[string]int `json:"runs"`
	MaxConcurrent int            `json:"busiest"`
}

// TargetStats returns the statistics of all targets.
func (c *Cell) TargetStats(ctx context.Context) ([]TargetStats, error) {
	var all []TargetStats
	for _, m := range c.targets {
		var one TargetStats
		if err := apiClient.Get(ctx, "http://"+m.DirectAddress+"/admin/runs", &one); err != nil {
			return all, err
		}
		all = append(all, one)
	}
	return all, nil
}

// RunTool runs the operators' tool against all entry boxes and returns its output and exit
// code.
func (c *Cell) RunTool(ctx context.Context, args ...string) (string, int) {
	var addresses []string
	for _, e := range c.entries {
		addresses = append(addresses, e.Operators)
	}
	return c.RunToolAt(ctx, strings.Join(addresses, ","), args...)
}

// RunToolAt runs the operators' tool against the given addresses, separated by commas. The
// exit code is -1 if the tool could not be started.
func (c *Cell) RunToolAt(ctx context.Context, addresses string, args ...string) (string, int) {
	cmd := exec.CommandContext(ctx, c.options.Binaries.Tool, append([]string{"-address", addresses}, args...)...)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		return err.Error(), -1
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// SendRequest sends a caller's request to an entry box and returns the response and its body.
// path is POOL/CLASS with an optional query; an empty key sends none.
func SendRequest(ctx context.Context, client *http.Client, e *Entry, path, key, nonce, body string) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Callers+"/v1/pools/"+path, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	if key != "" {
		req.Header.Set("Saddlevane-Key", key)
	}
	req.Header.Set("Test-Nonce", nonce)
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// IssueKey obtains from an entry box the key that a non-repeatable request needs.
func IssueKey(ctx context.Context, client *http.Client, e *Entry) (string, error) {
	var out struct {
		Key string `json:"key"`
	}
	err := httpjson.NewClient(client, 1<<16).Post(ctx, "http://"+e.Callers+"/v1/keys", struct{}{}, &out)
	return out.Key, err
}
