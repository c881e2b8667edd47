// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"saddlevane/models/peer"
	"saddlevane/modules/clock"
	"saddlevane/modules/logger"
	"saddlevane/modules/setting"
	"saddlevane/routers"
	"saddlevane/services/core"
	"saddlevane/services/runtime"

	"github.com/oklog/ulid/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// Limits of the HTTP servers. idleTimeout exceeds the idle timeouts of common load
// balancers, so that the balancer and not the daemon closes an idle connection.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 64 << 10
)

// daemon holds the reducer loop, its adapters and the HTTP servers of one process.
type daemon struct {
	log         *logrus.Entry
	loop        *runtime.Loop
	adapters    runtime.Adapters
	callers     *http.Server
	operators   *http.Server
	wg          conc.WaitGroup
	serveErrors chan error
}

// listeners holds the listeners of a daemon's three ports.
type listeners struct{ callers, operators, peers net.Listener }

// serve runs the daemon until a signal stops it. It returns an error if the daemon cannot
// start or one of its HTTP servers fails. A second signal ends the wait for a clean stop.
func serve(s setting.Settings, log *logrus.Logger, signals <-chan os.Signal) error {
	c, err := clock.New()
	if err != nil {
		return err
	}
	l, err := listen(s.Listen)
	if err != nil {
		return err
	}
	d := start(s, c, log, l)
	defer d.close()
	d.log.WithField(logger.FieldAddress, s.Listen.Callers).Info("serving")
	select {
	case err := <-d.serveErrors:
		return err
	case <-signals:
	}
	d.log.Info("stopping")
	d.loop.Stop()
	select {
	case <-d.loop.Stopped():
	case <-signals:
		d.log.Warning("stopped immediately by a second signal")
	}
	d.shutdown(s.Stop.MaxStopTime)
	d.log.Info("stopped")
	return nil
}

// listen opens the callers', operators' and peers' ports, or none of them on an error.
func listen(s setting.Listen) (listeners, error) {
	var l listeners
	for _, p := range []struct {
		address string
		into    *net.Listener
	}{{s.Callers, &l.callers}, {s.Operators, &l.operators}, {s.Peers, &l.peers}} {
		opened, err := net.Listen("tcp", p.address)
		if err != nil {
			l.close()
			return listeners{}, fmt.Errorf("listen: %w", err)
		}
		*p.into = opened
	}
	return l, nil
}

func (l listeners) close() {
	for _, one := range []net.Listener{l.callers, l.operators, l.peers} {
		if one != nil {
			_ = one.Close()
		}
	}
}

// start runs the reducer loop and its adapters and serves the callers' and operators' ports.
func start(s setting.Settings, c *clock.Clock, log *logrus.Logger, l listeners) *daemon {
	now := c.Now()
	self := peer.Hello{
		Box: s.Box.Name, Incarnation: ulid.MustNew(ulid.Timestamp(now), ulid.DefaultEntropy()).String(),
		Domain: s.Box.Domain, Address: s.Listen.PeerAddress(),
	}
	d := &daemon{
		log: log.WithFields(logrus.Fields{
			logger.FieldBox: self.Box, logger.FieldIncarnation: self.Incarnation, logger.FieldDomain: self.Domain,
		}),
		serveErrors: make(chan error, 2),
	}
	d.loop = runtime.NewLoop(core.New(now, coreSettings(s), policies(s.Policy), self, newKey), d.log, c.Now)
	connections := runtime.Connections{
		ProbeAfter: s.Connections.ProbeAfter, AnswerTimeout: s.Connections.AnswerTimeout,
		IdleTimeout: s.Connections.IdleTimeout,
	}
	requests := runtime.NewRequests(runtime.RequestSettings{
		MaxAnswerBytes: s.Requests.MaxAnswer, MaxPending: s.Requests.MaxPending, MaxRetainedBytes: s.Requests.MaxKept,
		Connections: connections,
	}, d.loop)
	d.adapters = runtime.Adapters{
		Requests: requests,
		Workers:  runtime.NewWorkers(s.Workers.Timeout, connections, d.loop),
		Peers:    runtime.NewPeers(l.peers, connections, d.loop, requests),
		Log: runtime.NewLog(runtime.PlatformSettings{
			LogURL: s.Platform.LogURL, BoxesURL: s.Platform.BoxesURL, Timeout: s.Platform.Timeout,
			ReadWait: s.Platform.ReadWait, BoxesInterval: s.Platform.BoxesInterval, Connections: connections,
		}, d.loop),
	}
	d.loop.Run(d.adapters)
	d.callers = d.serveHTTP(l.callers, routers.NewCallers(d.loop, requests, s.Requests.MaxBody))
	d.operators = d.serveHTTP(l.operators, routers.NewOperators(d.loop, routers.NewMetrics(d.loop)))
	return d
}

// newKey returns a ULID for now, which is unique across all processes.
func newKey(now time.Time) ulid.ULID {
	return ulid.MustNew(ulid.Timestamp(now), ulid.DefaultEntropy())
}

// serveHTTP serves h on l until the returned server is closed. Other errors go to serveErrors.
func (d *daemon) serveHTTP(l net.Listener, h http.Handler) *http.Server {
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	d.wg.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.serveErrors <- err
		}
	})
	return server
}

// shutdown closes the HTTP ports and waits up to timeout for the requests in progress.
func (d *daemon) shutdown(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := d.callers.Shutdown(ctx); err != nil {
		d.log.WithError(err).Warning("callers were disconnected before their requests ended")
	}
	d.drain(ctx)
	_ = d.operators.Shutdown(ctx)
}

// drain waits until the requests that peers forwarded to this process are answered as
// well, until ctx ends or until the loop has stopped.
func (d *daemon) drain(ctx context.Context) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for idle := false; !idle; {
		if !d.loop.Query(func(_ time.Time, c *core.Core) { idle = c.Idle() }) {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// drainPollInterval is the time between two checks for remaining requests.
const drainPollInterval = 10 * time.Millisecond

// close closes the servers, the adapters and the loop, and waits for the servers' goroutines.
func (d *daemon) close() {
	_ = d.callers.Close()
	_ = d.operators.Close()
	d.adapters.Peers.Close()
	d.adapters.Log.Close()
	d.adapters.Workers.Close()
	d.adapters.Requests.Close()
	d.loop.Close()
	d.wg.Wait()
}
