// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"saddlevane/tests/cell"

	"gotest.tools/v3/assert"
)

func TestInvalidSettingsAreAllReportedBeforePortsOpen(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.yaml")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	taken := l.Addr().String()
	defer l.Close()
	// The port is in use: a daemon that listened before it validated its settings would
	// report that.
	text := "box: {name: x, domain: a}\nlisten: {callers: '" + taken + "'}\nplatform: {log: here, boxes: there}\nnonsense: 1\n"
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	for _, args := range [][]string{{"-config", path}, {"-config", path, "-check"}} {
		out, err := exec.Command(binaries.Daemon, args...).CombinedOutput()
		exit, ok := err.(*exec.ExitError)
		assert.Assert(t, ok, "%v", err)
		assert.Equal(t, exit.ExitCode(), 2)
		for _, want := range []string{":3:12: platform.log:", ":3:23: platform.boxes:", ":4:1: nonsense: unknown key"} {
			assert.Check(t, strings.Contains(string(out), want), "no %q in %s", want, out)
		}
		assert.Check(t, !strings.Contains(string(out), "listen: "), "%s", out)
	}
}

func TestToolExitCodes(t *testing.T) {
	f := newFixture(t, nil, domain("a"))
	bad := f.writeFile("bad", "name: bad\njobs:\n  - {name: j}\n")
	out, code := f.RunTool(f.ctx, "validate", bad)
	assert.Equal(t, code, 2, out)
	assert.Check(t, strings.Contains(out, ":3:"), out)
	_, code = f.RunTool(f.ctx, "publish", bad)
	assert.Equal(t, code, 2)
	_, code = f.RunTool(f.ctx, "publish", "-replaces", "0", f.writeFile("cell", f.CellFile("cell")))
	assert.Equal(t, code, 1, "the file does not replace the current revision")

	// Nothing listens at this address, so nothing is sent.
	_, code = f.RunToolAt(f.ctx, "127.0.0.1:1", "publish", "-within", "300ms", "-replaces", "0", f.writeFile("other", "name: other\n"))
	assert.Equal(t, code, 1)

	// The log accepts records, but no data returns from it through this proxy.
	assert.NilError(t, f.proxies.Cut("log-a", cell.Answers))
	_, code = f.RunTool(f.ctx, "publish", "-within", "4s", "-replaces", "0", f.writeFile("lost", "name: lost\n"))
	assert.Equal(t, code, 3, "no data returns from the log")
	assert.NilError(t, f.proxies.Heal("log-a"))
	f.waitInForce("lost", f.Entries()...)

	for _, args := range [][]string{{"status"}, {"get"}, {"get", "cell"}, {"queue"}, {"dump"}, {"version"}} {
		for _, format := range []string{"table", "json", "yaml"} {
			out, code := f.RunTool(f.ctx, append([]string{args[0], "-o", format}, args[1:]...)...)
			assert.Equal(t, code, 0, "%v -o %s: %s", args, format, out)
		}
	}
}

func TestInvalidInputTerminatesNoProcess(t *testing.T) {
	f := newFixture(t, nil, domain("a"))
	e := f.Entries()[0]

	resp, err := http.Post("http://"+e.Callers+"/v1/pools/runners/preview", "text/plain", io.LimitReader(zeros{}, 3<<20))
	if err == nil {
		assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
		assert.Equal(t, resp.Header.Get("Saddlevane-Verdict"), "not-run")
		_ = resp.Body.Close()
	}
	for _, path := range []string{"/v1/pools/none/preview", "/v1/pools/runners/none"} {
		resp, err := http.Post("http://"+e.Callers+path, "text/plain", strings.NewReader("x"))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusNotFound)
		_ = resp.Body.Close()
	}
	resp, err = http.Post("http://"+e.Operators+"/v1/files/big?replaces=0&id=x", "text/plain", io.LimitReader(zeros{}, 1<<20))
	if err == nil {
		assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
		_ = resp.Body.Close()
	}
	for _, frame := range [][]byte{
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		binary.BigEndian.AppendUint32(nil, 1<<31),
		append(binary.BigEndian.AppendUint32(nil, 5), "hello"...),
		append(binary.BigEndian.AppendUint32(nil, 60), `{"jsonrpc":"2.0","id":1,"method":"peer.hello","params":{"b":1}}`...),
		append(binary.BigEndian.AppendUint32(nil, 2), "{}"...),
	} {
		sendFrame(t, e.Peers, frame)
	}
	appendToLog(t, f, "{", `{"id":"x"}`, strings.Repeat("[", 10_000), `{"id":"a","from":"b","entries":[{"publish":{"file":"f","data":"{{{"}}]}`)

	f.publish("after", "0", "name: after\n")
	f.waitInForce("after", f.Entries()...)
	for _, e := range f.Entries() {
		select {
		case <-e.Process().Done():
			t.Errorf("%s ended", e.Name)
		default:
		}
	}
}

// zeros is an endless request body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func sendFrame(t *testing.T, address string, frame []byte) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_, err = conn.Write(frame)
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
}

func appendToLog(t *testing.T, f *fixture, records ...string) {
	t.Helper()
	for _, r := range records {
		body, err := json.Marshal(map[string]string{"id": "test", "data": r})
		assert.NilError(t, err)
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+f.LogAddress+"/v1/append", bytes.NewReader(body))
		assert.NilError(t, err)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		_ = resp.Body.Close()
	}
}
