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

// ports is where listeners are placed: below the range that the kernel takes the
// local ends of connections from.
const (
	firstPort = 12000
	portCount = 20000
)

// nextPort counts the ports that this process has given out, from a place that
// differs between processes.
var nextPort atomic.Int64

func init() { nextPort.Store(rand.Int64N(portCount)) }

// FreeAddress returns a loopback address on which nothing listens, each time
// another.
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

// WaitFor waits for a condition.
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

// Faults are the faults of one stand-in; see docs/PLATFORM.md.
type Faults struct {
	Down        bool  `json:"down"`
	Drop        bool  `json:"drop"`
	LoseAnswers bool  `json:"lose_answers"`
	Truncate    bool  `json:"truncate"`
	Slow        int64 `json:"slow_ms"`
	FailAll     bool  `json:"fail_all"`
	Leaving     bool  `json:"leaving"`
}

// SetFaults switches the faults of the stand-in at address.
func SetFaults(ctx context.Context, address string, f Faults) error {
	var out Faults
	return apiClient.Post(ctx, "http://"+address+"/admin/faults", f, &out)
}

// TrimLog makes the log forget all records before an offset.
func (c *Cell) TrimLog(ctx context.Context, before int64) error {
	var out struct{}
	return apiClient.Post(ctx, fmt.Sprintf("http://%s/admin/trim?before=%d", c.LogAddress, before), struct{}{}, &out)
}

// LogCount is what the log holds.
type LogCount struct {
	Appends int64 `json:"appends"`
	First   int64 `json:"first"`
	Next    int64 `json:"next"`
}

// CountLog returns what the log holds.
func (c *Cell) CountLog(ctx context.Context) (LogCount, error) {
	var n LogCount
	err := apiClient.Get(ctx, "http://"+c.LogAddress+"/admin/count", &n)
	return n, err
}

// SetState changes what the platform's list says of a box.
func (c *Cell) SetState(ctx context.Context, name string, s box.State) error {
	c.states[name] = s
	return c.PublishBoxList(ctx)
}

// PublishBoxList gives the platform's list the cell's boxes.
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

// Status reads the state of an entry box in short.
func (e *Entry) Status(ctx context.Context) (status.Process, error) {
	var s status.Process
	err := apiClient.Get(ctx, "http://"+e.Operators+"/v1/status", &s)
	return s, err
}

// Queue reads what an entry box knows of objects.
func (e *Entry) Queue(ctx context.Context) ([]status.Work, error) {
	var w []status.Work
	err := apiClient.Get(ctx, "http://"+e.Operators+"/v1/queue", &w)
	return w, err
}

// Places reads which tasks have places in the shards that an entry box holds.
func (e *Entry) Places(ctx context.Context) ([]status.Place, error) {
	var p []status.Place
	err := apiClient.Get(ctx, "http://"+e.Operators+"/v1/places", &p)
	return p, err
}

// Ready says whether an entry box takes callers' requests.
func (e *Entry) Ready(ctx context.Context) bool {
	var out struct{}
	return apiClient.Get(ctx, "http://"+e.Callers+"/readyz", &out) == nil
}

// WaitReady waits until every entry box takes callers' requests.
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

// Work adds up what the holders know of each object.
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

// Span is when a task ran on a worker, in milliseconds since 1970; End is 0
// while it runs.
type Span struct {
	Worker string     `json:"-"`
	Task   task.ID    `json:"task"`
	Start  int64      `json:"start_ms"`
	End    int64      `json:"end_ms"`
	State  task.State `json:"state"`
}

// History is what the workers saw.
type History struct {
	Spans []Span
	// Excess counts starts that would have given a worker more than it has.
	ExcessStarts int64
}

// workerHistory is one worker's answer.
type workerHistory struct {
	Worker string `json:"worker"`
	Spans  []Span `json:"spans"`
	Excess int64  `json:"excess"`
}

// History reads what the workers saw; those whose process has ended tell nothing
// any more.
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

// Overlaps returns the tasks that ran in two places at once, each told in a line.
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

// TargetStats is what a target saw.
type TargetStats struct {
	Target        string         `json:"target"`
	Served        int64          `json:"served"`
	Runs          map[string]int `json:"runs"`
	MaxConcurrent int            `json:"busiest"`
}

// TargetStats reads what the targets saw.
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

// RunTool runs the operators' tool and returns its output and exit code.
func (c *Cell) RunTool(ctx context.Context, args ...string) (string, int) {
	var addresses []string
	for _, e := range c.entries {
		addresses = append(addresses, e.Operators)
	}
	return c.RunToolAt(ctx, strings.Join(addresses, ","), args...)
}

// RunToolAt runs the operators' tool against given addresses.
func (c *Cell) RunToolAt(ctx context.Context, addresses string, args ...string) (string, int) {
	cmd := exec.CommandContext(ctx, c.options.Binaries.Tool, append([]string{"-address", addresses}, args...)...)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		return err.Error(), -1
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// SendRequest sends a request to an entry box as a caller would.
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

// IssueKey asks an entry box for a key for a request that may not be repeated.
func IssueKey(ctx context.Context, client *http.Client, e *Entry) (string, error) {
	var out struct {
		Key string `json:"key"`
	}
	err := httpjson.NewClient(client, 1<<16).Post(ctx, "http://"+e.Callers+"/v1/keys", struct{}{}, &out)
	return out.Key, err
}
