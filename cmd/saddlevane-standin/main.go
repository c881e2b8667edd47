// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Saddlevane-standin stands in for the platform, its workers and the targets in tests and in the
// demo. It is not a simulator: each role does the minimum that the protocol in docs/PLATFORM.md
// requires, and faults are injected by an admin request.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"saddlevane/models/resource"

	"github.com/sourcegraph/conc"
)

// member is one worker or target that this process stands in for.
type member struct {
	Name        string          `json:"name"`
	Listen      string          `json:"listen"`
	Capacity    resource.Vector `json:"capacity"`
	Slots       int             `json:"slots"`
	Connections int             `json:"connections"`
}

// options holds the command-line flags.
type options struct {
	role      string
	listen    string
	members   string
	rate      float64
	retention time.Duration
	lag       time.Duration
	taskLease time.Duration
}

func main() {
	var o options
	flag.StringVar(&o.role, "role", "", "log, boxes, workers or targets")
	flag.StringVar(&o.listen, "listen", "", "address of the log or of the list of boxes")
	flag.StringVar(&o.members, "members", "", "file with the workers or targets to stand in for, as JSON")
	flag.Float64Var(&o.rate, "rate", 100, "appends per second that the log accepts")
	flag.DurationVar(&o.retention, "retention", 24*time.Hour, "how long the log keeps records")
	flag.DurationVar(&o.lag, "lag", 500*time.Millisecond, "delay until a change of the list of boxes is visible")
	flag.DurationVar(&o.taskLease, "task-lease", 30*time.Second, "how long tasks run after a lease has expired")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "saddlevane-standin:", err)
		os.Exit(1)
	}
}

// run serves the role until a signal stops the process.
func run(o options) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	servers, err := buildServers(o)
	if err != nil {
		return err
	}
	var tasks conc.WaitGroup
	for _, s := range servers {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return err
		}
		if s.wrapListener != nil {
			l = s.wrapListener(l)
		}
		server := &http.Server{Handler: s.handler, ReadHeaderTimeout: 10 * time.Second}
		tasks.Go(func() { _ = server.Serve(l) })
		tasks.Go(func() {
			<-ctx.Done()
			_ = server.Close()
		})
	}
	<-ctx.Done()
	tasks.Wait()
	return nil
}

// server is an address to listen on, its handler, and an optional wrapper of the listener.
type server struct {
	address      string
	handler      http.Handler
	wrapListener func(net.Listener) net.Listener
}

// buildServers returns the servers of the role.
func buildServers(o options) ([]server, error) {
	switch o.role {
	case "log":
		return []server{{address: o.listen, handler: newLog(o.rate, o.retention)}}, nil
	case "boxes":
		return []server{{address: o.listen, handler: newBoxes(o.lag)}}, nil
	case "workers", "targets":
		return buildMemberServers(o)
	default:
		return nil, fmt.Errorf("unknown role %q", o.role)
	}
}

// buildMemberServers returns one server for each worker or target in the members file.
func buildMemberServers(o options) ([]server, error) {
	data, err := os.ReadFile(o.members)
	if err != nil {
		return nil, err
	}
	var members []member
	if err := json.Unmarshal(data, &members); err != nil {
		return nil, err
	}
	if len(members) == 0 {
		return nil, errors.New("no members")
	}
	var servers []server
	for _, m := range members {
		if o.role == "workers" {
			servers = append(servers, server{address: m.Listen, handler: newWorker(m, o.taskLease)})
			continue
		}
		t := newTarget(m)
		servers = append(servers, server{address: m.Listen, handler: t, wrapListener: t.limitConnections})
	}
	return servers, nil
}
