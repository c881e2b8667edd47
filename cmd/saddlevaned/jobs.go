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
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/mechanism"
	"saddlevane/modules/clock"
	"saddlevane/modules/conntrack"
	"saddlevane/modules/httpclient"
	"saddlevane/modules/logger"
	"saddlevane/modules/setting"
	"saddlevane/platform"
	"saddlevane/routers"
	"saddlevane/services/authority"
	"saddlevane/services/dispatch"
	"saddlevane/services/jobrun"
	"saddlevane/services/relay"

	"github.com/oklog/ulid/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

const (
	// jobTick is the time between two ticks of the reducer; what is urgent comes
	// as an event.
	jobTick = 20 * time.Millisecond
	// logTimeout bounds a call to the log; its usual answer takes 4 ms.
	logTimeout = 900 * time.Millisecond
	// claimsReadWait is how long a read of the claims waits for a record. Renewals come
	// more often, so that it costs no more calls than a longer one.
	claimsReadWait = 500 * time.Millisecond
	// workersReadInterval is the time between two reads of the list of workers, which
	// itself lags by 0.8 s.
	workersReadInterval = 300 * time.Millisecond
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// maxIdleConnsPerHost bounds the connections kept to one worker.
	maxIdleConnsPerHost = 16
	// shutdownTimeout bounds the wait for answers under way.
	shutdownTimeout = 2 * time.Second
)

// jobDaemon is all that a process owns that serves submitted jobs.
type jobDaemon struct {
	loop        *jobrun.Loop
	peers       *jobrun.Peers
	servers     []*http.Server
	wg          conc.WaitGroup
	serveErrors chan error
	stopping    atomic.Bool
}

// serveJobs runs the daemon until a signal has stopped it.
func serveJobs(s setting.Settings, log *logrus.Logger, signals <-chan os.Signal) error {
	c, err := clock.New()
	if err != nil {
		return err
	}
	self := claim.Member{
		Box: s.Box.Name, Incarnation: ulid.MustNew(ulid.Timestamp(c.Now()), ulid.DefaultEntropy()).String(),
		Domain: s.Box.Domain, Address: s.Listen.PeerAddress(), Size: s.Box.Size(),
	}
	entry := log.WithFields(logrus.Fields{logger.FieldBox: self.Box, logger.FieldIncarnation: self.Incarnation})
	d, err := startJobs(s, c, self, entry)
	if err != nil {
		return err
	}
	defer d.close()
	// Taken until the end: a reload during the stop must not end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	entry.WithField(logger.FieldAddress, s.Listen.Callers).Info("serving")
	if err := d.awaitStop(entry, signals, reload); err != nil {
		return err
	}
	entry.Info("stopping")
	d.stopping.Store(true)
	d.loop.Stop()
	select {
	case <-d.loop.Stopped():
	case <-signals:
	}
	d.shutdown()
	entry.Info("stopped")
	return nil
}

// awaitStop returns nil once a signal asks for a stop, or why a server has failed.
func (d *jobDaemon) awaitStop(log *logrus.Entry, signals, reload <-chan os.Signal) error {
	for {
		select {
		case err := <-d.serveErrors:
			return err
		case <-reload:
			log.Info("settings take effect at the next start")
		case <-signals:
			return nil
		}
	}
}

// startJobs starts all parts of the daemon.
func startJobs(s setting.Settings, c *clock.Clock, self claim.Member, log *logrus.Entry) (*jobDaemon, error) {
	d := &jobDaemon{serveErrors: make(chan error, 2)}
	settings, err := jobSettings(s.Jobs, s.Connections)
	if err != nil {
		return nil, fmt.Errorf("settings: jobs.without: %w", err)
	}
	listener, err := net.Listen("tcp", s.Listen.Peers)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	d.loop = jobrun.NewLoop(settings, self, newPlatform(s, c, d.connectionHooks), log, c)
	d.peers = jobrun.NewPeers(listener, d.loop)
	d.loop.Run(d.peers)
	d.peers.Serve()
	ready := func() bool { return !d.stopping.Load() && d.loop.Ready() }
	for address, handler := range map[string]http.Handler{
		s.Listen.Callers: platform.NewCallers(d.loop), s.Jobs.ReadyAddress: platform.ReadinessHandler(ready),
		s.Listen.Operators: routers.NewJobs(d.loop),
	} {
		if err := d.listenAndServe(address, handler); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

// listenAndServe answers at one address.
func (d *jobDaemon) listenAndServe(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	d.servers = append(d.servers, server)
	d.wg.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.serveErrors <- err
		}
	})
	return nil
}

// jobSettings returns what the loop and the reducer need of the settings.
func jobSettings(j setting.Jobs, c setting.Connections) (jobrun.Settings, error) {
	without, err := mechanism.Parse(j.Disabled)
	return jobrun.Settings{
		Dispatch: dispatch.Settings{
			Authority: authority.Settings{RenewInterval: j.RenewInterval, HoldFor: j.HoldFor, ClaimAfter: j.ClaimAfter},
			Lease:     j.WorkerLease(), MaxLease: j.MaxLease, RenewWait: j.RenewWait, AppendInterval: j.AppendInterval,
			OrderTimeout: j.OrderTimeout, EndedRetention: j.EndedRetention, StopGrace: j.StopGrace,
			ConfigPropagation: j.ConfigPropagation, ShareWindow: j.ShareWindow, Disabled: without,
		},
		Tick: jobTick, ReadWait: claimsReadWait, WorkersInterval: workersReadInterval, CallTimeout: logTimeout,
		Relays: relay.Limits{MinWorkers: j.MinRelayedWorkers, WorkersPerRelay: j.WorkersPerRelay}, PeerTimeout: j.PeerTimeout, ProbeAfter: c.ProbeAfter, AnswerTimeout: c.AnswerTimeout,
	}, err
}

// newPlatform returns the calls to the platform. Each service has a client of its
// own, so that its connections are not taken up by others. What happens to them is told
// to the reports of what they lead to.
func newPlatform(s setting.Settings, c *clock.Clock, reports func(to string) httpclient.Hooks) jobrun.Platform {
	client := func(to string) *http.Client {
		return httpclient.New(httpclient.Settings{
			To: to, DialTimeout: dialTimeout, IdleTimeout: s.Connections.IdleTimeout, MinOverdue: s.Connections.AnswerTimeout,
			MaxIdlePerHost: maxIdleConnsPerHost, Now: c.Now, Hooks: reports(to),
		})
	}
	log := platform.NewLog(s.Jobs.LogAddress, client("log"))
	workers := platform.NewWorkers(client("worker"))
	advice := platform.NewAdvice(s.Jobs.AdviceAddress, client("advice service"))
	return jobrun.Platform{
		Log:     jobrun.Log{Append: log.Append, Read: log.Read, Newest: log.Newest},
		Workers: relay.WorkerCalls{Renew: workers.Renew, Start: workers.Start, Stop: workers.Stop, Throttle: workers.Throttle},
		Advise:  advice.Ask, Config: platform.Config, Listing: platform.Listing,
	}
}

// connectionHooks has the loop told of the connections to a service. There is a loop by the time
// that the first is opened.
func (d *jobDaemon) connectionHooks(to string) httpclient.Hooks {
	bytes := sync.OnceValue(func() func(in, out int) { return d.loop.ByteCounter(to) })
	return httpclient.Hooks{
		OnUnanswered: func(u conntrack.Unanswered) { d.loop.CallUnanswered(u) },
		OnDiscard:    func(g conntrack.Discarded) { d.loop.ConnectionsGivenUp(g) },
		OnRetry:      func(a httpclient.RetriedCall) { d.loop.CallRetried(a) },
		OnOpen:       func(delta int) { d.loop.ConnectionsChanged(to, delta) },
		OnBytes:      func(in, out int) { bytes()(in, out) },
	}
}

// shutdown closes the callers' ports and waits for the answers under way.
func (d *jobDaemon) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range d.servers {
		_ = s.Shutdown(ctx)
	}
}

// close ends all parts, also those that a failed start has left.
func (d *jobDaemon) close() {
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.peers.Close()
	d.loop.Close()
	d.wg.Wait()
}
