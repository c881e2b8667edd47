// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Saddlevane-standin takes the place of the platform, its workers and the
// targets in tests and in the demo. It is no simulator: each role does the least
// that the protocol in docs/PLATFORM.md asks for, and faults are switched by an
// admin request.
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

// member is one worker or target that this process plays.
type member struct {
	Name        string          `json:"name"`
	Listen      string          `json:"listen"`
	Capacity    resource.Vector `json:"capacity"`
	Slots       int             `json:"slots"`
	Connections int             `json:"connections"`
}

// options are the command line.
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
	flag.StringVar(&o.members, "members", "", "file with the workers or targets to play, as JSON")
	flag.Float64Var(&o.rate, "rate", 100, "appends a second that the log takes")
	flag.DurationVar(&o.retention, "retention", 24*time.Hour, "how long the log keeps records")
	flag.DurationVar(&o.lag, "lag", 500*time.Millisecond, "how far the list of boxes lags")
	flag.DurationVar(&o.taskLease, "task-lease", 30*time.Second, "how long tasks run after a lease has lapsed")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "saddlevane-standin:", err)
		os.Exit(1)
	}
}

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

// server is one listener and what it answers.
type server struct {
	address      string
	handler      http.Handler
	wrapListener func(net.Listener) net.Listener
}

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
