package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// box is one entry box with its daemon.
type box struct {
	name      string
	settings  string
	frontend  string
	ready     string
	operators string
	output    *os.File
	daemon    string
	command   *exec.Cmd
	ended     chan struct{}
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// gap is a gap in the settings' template that stands for one value.
var gap = regexp.MustCompile(`\{\{[^}]+\}\}`)

// block is a part of the template that stands only where the platform has a bound. Small deployments have
// none of these.
var block = regexp.MustCompile(`(?s)\{\{#[^}]+\}\}.*?\{\{/[^}]+\}\}\n?`)

// newBox fills the settings' template for one box, as DEPLOY.md describes, with the bounds of Lakeshore.
func newBox(dir, daemon, template, name, zone, log, advice string) (*box, error) {
	b := &box{name: name, daemon: daemon, settings: filepath.Join(dir, name+".yaml")}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	var free [4]string
	for i := range free {
		if free[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	b.frontend, b.ready, b.operators = free[0], free[1], free[2]
	values := map[string]string{
		"nodeName": name, "zone": zone, "limits.cpuShare": "0.4", "limits.linkMbps": "1000.0", "limits.memoryMb": "284",
		"listenAddresses.frontend": free[0], "listenAddresses.ready": free[1], "platform.address": log, "advice": advice,
		"bounds.holdMaxMs": "6000", "bounds.configApplyMs": "2000",
		"ip": "127.0.0.1", "internalPortRange.1": port(free[2]), "internalPortRange.0": port(free[3]),
	}
	var unknown []string
	filled := gap.ReplaceAllStringFunc(block.ReplaceAllString(string(text), ""), func(found string) string {
		value, known := values[strings.Trim(found, "{}")]
		if !known {
			unknown = append(unknown, found)
		}
		return value
	})
	if len(unknown) > 0 {
		return nil, fmt.Errorf("the template has gaps that the rig does not know: %v", unknown)
	}
	if b.output, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	return b, os.WriteFile(b.settings, []byte(filled), 0o600)
}

func port(address string) string {
	_, p, _ := net.SplitHostPort(address)
	return p
}

// start starts the daemon with the command of the deploy file.
func (b *box) start() error {
	c := exec.Command(b.daemon, "-config", b.settings)
	c.Env = append(os.Environ(), "GOGC=200")
	c.Stdout, c.Stderr = b.output, b.output
	if err := c.Start(); err != nil {
		return err
	}
	b.command, b.ended = c, make(chan struct{})
	go func(ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(b.ended)
	return nil
}

// kill kills the daemon and waits for its end.
func (b *box) kill() {
	if b.command == nil {
		return
	}
	_ = b.command.Process.Kill()
	<-b.ended
}

// client is used for callers and operators. Each call has a connection of its own.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call and returns the status, 0 if there was no answer, and the body.
func call(method, url, host string, in any, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reader io.Reader
	if in != nil {
		data, _ := json.Marshal(in)
		reader = strings.NewReader(string(data))
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// isReady reports whether the box takes callers.
func (b *box) isReady() bool {
	status, _ := call(http.MethodGet, "http://"+b.ready+"/readiness", "", nil, time.Second)
	return status == http.StatusOK
}

// holds reports whether the box holds the cell, by the operators' interface.
func (b *box) holds() bool {
	status, data := call(http.MethodGet, "http://"+b.operators+"/v1/cell", "", nil, time.Second)
	var cell map[string]any
	if status != http.StatusOK || json.Unmarshal(data, &cell) != nil {
		return false
	}
	for _, name := range []string{"holds", "Holds"} {
		if held, ok := cell[name].(bool); ok && held {
			return true
		}
	}
	return false
}

// errNotReady means that the boxes did not become ready, so that the case could not run.
var errNotReady = errors.New("the boxes are not ready")
