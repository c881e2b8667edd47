// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/stream"
	"saddlevane/models/workspace"
	"saddlevane/platform"
	"saddlevane/routers"
	"saddlevane/services/jobrun"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// keyedPlatform is a platform whose configuration has workspaces with keys and can be replaced.
type keyedPlatform struct {
	jobrun.Platform
	config atomic.Pointer[job.Config]
	// logDown makes all reads of the log fail.
	logDown atomic.Bool
}

// newKeyedPlatform returns a platform with queue "q", which requires a key, and queue "open". The keys
// map keys to workspaces.
func newKeyedPlatform(t *testing.T, version int64, keys map[string]string) *keyedPlatform {
	t.Helper()
	k := &keyedPlatform{Platform: newPlatform(t).Calls()}
	k.publish(t, version, keys)
	k.Platform.Config = func([]stream.Record) (job.Config, bool, error) { return *k.config.Load(), true, nil }
	read, newest := k.Platform.Log.Read, k.Platform.Log.Newest
	k.Platform.Log.Read = func(ctx context.Context, name stream.Name, from int64, wait time.Duration) (stream.Page, error) {
		if k.logDown.Load() {
			return stream.Page{}, io.ErrUnexpectedEOF
		}
		return read(ctx, name, from, min(wait, 50*time.Millisecond))
	}
	k.Platform.Log.Newest = func(ctx context.Context, name stream.Name) (stream.Page, error) {
		if k.logDown.Load() {
			return stream.Page{}, io.ErrUnexpectedEOF
		}
		return newest(ctx, name)
	}
	return k
}

// publish replaces the configuration by one with the given version. The keys map keys to workspaces.
func (k *keyedPlatform) publish(t *testing.T, version int64, keys map[string]string) {
	t.Helper()
	c := config()
	c.Version = version
	c.Queues["q"] = job.Queue{Name: "q", Pool: "pool", Attempts: 2, Stretch: 2, Latency: time.Second}
	c.Queues["open"] = job.Queue{Name: "open", Pool: "pool", Attempts: 2, Stretch: 2, Latency: time.Second, Open: true}
	c.Routes = append(c.Routes, job.Route{Host: "h.example", Prefix: "/o/", Queue: "open"})
	by := map[string]*workspace.Workspace{}
	for key, name := range keys {
		if by[name] == nil {
			by[name] = &workspace.Workspace{Name: name, Weight: 100}
		}
		by[name].Keys = append(by[name].Keys, workspace.DigestOf(key))
	}
	var all []workspace.Workspace
	for _, w := range by {
		all = append(all, *w)
	}
	assert.NilError(t, c.SetWorkspaces(all))
	k.config.Store(&c)
}

// callWithKeys makes an HTTP call with the given keys as credentials.
func callWithKeys(t *testing.T, s *httptest.Server, method, path, body string, keys ...string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, s.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Host = "h.example"
	req.Header["X-Credential"] = keys
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(data)
}

// safeBuffer is a buffer that several goroutines may write to.
type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

const oneTask = `{"spec":"x","steps":[{"count":1,"cpu":500,"memMb":64}]}`

// TestCallersAreAuthorizedByWorkspaceKey guards against serving calls with a missing or wrong key.
// Keys must not appear in any log line, metric, dump or answer either.
func TestCallersAreAuthorizedByWorkspaceKey(t *testing.T) {
	on := newKeyedPlatform(t, 1, map[string]string{"key-of-a": "a", "key-of-b": "b", "key-taken": "a"})
	var lines safeBuffer
	b := startBoxVia(t, on.Platform, "a", &lines, func(address string) string { return address })
	waitServed(t, b, jobrun.Request{Submit: submission("first")}, "")
	s := httptest.NewServer(platform.NewCallers(b.loop))
	defer s.Close()
	var answers strings.Builder
	type row struct {
		method, path string
		keys         []string
		status       int
	}
	check := func(rows []row) {
		t.Helper()
		for _, c := range rows {
			body := ""
			if c.method == http.MethodPost {
				body = oneTask
			}
			status, answer := callWithKeys(t, s, c.method, c.path, body, c.keys...)
			assert.Equal(t, status, c.status, "%s %s %v: %s", c.method, c.path, c.keys, answer)
			answers.WriteString(answer)
		}
	}
	check([]row{
		{"POST", "/q/5c0e", []string{"key-of-a"}, 200},
		{"POST", "/q/5c0f", nil, 401},
		{"POST", "/q/5c0f", []string{"key-of-nobody"}, 401},
		{"POST", "/q/5c0f", []string{"key-of-a", "key-of-a"}, 401},
		{"POST", "/q/5c0f", []string{strings.Repeat("k", 8000)}, 401},
		{"GET", "/q/", nil, 401},
		{"GET", "/q/", []string{"key-of-b"}, 200},
		{"GET", "/none/", nil, 404},
		{"GET", "/q/5c0e", []string{"key-of-a"}, 200},
		{"GET", "/q/5c0e", []string{"key-taken"}, 200},
		{"GET", "/q/5c0e", []string{"key-of-b"}, 410},
		{"DELETE", "/q/5c0e", []string{"key-of-b"}, 410},
		{"GET", "/q/5c0f", []string{"key-of-a"}, 410},
		{"POST", "/o/5c10", nil, 200},
		{"GET", "/o/5c10", nil, 200},
		{"GET", "/o/5c0e", nil, 410},
	})
	on.publish(t, 2, map[string]string{"key-of-a": "a", "key-of-b": "b", "key-given": "b"})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c := b.loop.Config(); c != nil && c.Version == 2 {
			return poll.Success()
		}
		return poll.Continue("not in force yet")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	check([]row{
		{"GET", "/q/5c0e", []string{"key-taken"}, 401},
		{"POST", "/q/5c11", []string{"key-taken"}, 401},
		{"POST", "/q/5c11", []string{"key-given"}, 200},
	})
	own := httptest.NewServer(routers.NewJobs(b.loop))
	defer own.Close()
	for _, path := range []string{"/v1/cell", "/metrics", "/v1/jobs/5c0e/explain", "/v1/jobs/5c0e"} {
		_, body := callHTTP(t, own, "GET", "", path, "")
		answers.WriteString(body)
	}
	for _, key := range []string{"key-of", "key-taken", "key-given", "kkkk"} {
		assert.Check(t, !strings.Contains(answers.String()+lines.String(), key), key)
	}
	assert.Check(t, strings.Contains(lines.String(), "call refused"))
}

// TestBoxWithStaleConfigAuthorizesNoKeys guards against authorizing keys by an outdated
// configuration. A box that could not read the log went on to use its last one: it accepted keys
// that had been revoked and rejected keys that had just been issued as unknown. It cannot decide
// either case, so it must answer 503.
func TestBoxWithStaleConfigAuthorizesNoKeys(t *testing.T) {
	on := newKeyedPlatform(t, 1, map[string]string{"k1": "a"})
	b := startBoxVia(t, on.Platform, "a", io.Discard, func(address string) string { return address })
	waitServed(t, b, jobrun.Request{Submit: submission("first")}, "")
	s := httptest.NewServer(platform.NewCallers(b.loop))
	defer s.Close()
	statuses := func() string {
		all := ""
		for _, c := range []struct{ path, key string }{{"/q/none", "k1"}, {"/q/none", "k2"}, {"/gone/", "k1"}} {
			status, _ := callWithKeys(t, s, "GET", c.path, "", c.key)
			all += fmt.Sprint(status, " ")
		}
		return all
	}
	assert.Equal(t, statuses(), "410 401 404 ")
	on.logDown.Store(true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := statuses(); got != "503 503 503 " {
			return poll.Continue("%s", got)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
	on.logDown.Store(false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := statuses(); got != "410 401 404 " {
			return poll.Continue("%s", got)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
}
