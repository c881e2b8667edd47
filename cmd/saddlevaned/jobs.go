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
	// jobTick is the time between two ticks of the reducer. Urgent changes do not wait
	// for a tick: they arrive as events.
	jobTick = 20 * time.Millisecond
	// logTimeout bounds a call to the log, which usually answers within 4 ms.
	logTimeout = 900 * time.Millisecond
	// claimsReadWait is how long a read of the claims waits for a record. Claims are renewed
	// more often than that, so a longer wait would not save calls.
	claimsReadWait = 500 * time.Millisecond
	// workersReadInterval is the time between two reads of the list of workers. The list
	// itself lags by 0.8 s.
	workersReadInterval = 300 * time.Millisecond
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 500 * time.Millisecond
	// maxIdleConnsPerHost is the largest number of idle connections that are kept to one host.
	maxIdleConnsPerHost = 16
	// shutdownTimeout bounds the wait for requests in progress during a stop.
	shutdownTimeout = 2 * time.Second
)

// jobDaemon holds the loop and the servers of a process that serves submitted jobs.
type jobDaemon struct {
	loop        *jobrun.Loop
	peers       *jobrun.Peers
	servers     []*http.Server
	wg          conc.WaitGroup
	serveErrors chan error
	stopping    atomic.Bool
}

// serveJobs runs the daemon for submitted jobs until a signal stops it. It returns an error if
// the daemon cannot start or one of its HTTP servers fails.
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
	// SIGHUP is caught until this function returns: by default it would terminate the
	// process, also during a stop.
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

// awaitStop waits for a stop signal and returns nil, or for a server to fail and returns its
// error. A reload signal is only logged: settings are read once, at the start.
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

// startJobs starts the reducer loop, the peers' port and the HTTP servers. On an error it
// stops what it has started.
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

// listenAndServe opens the port at address and serves handler on it in the background.
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

// jobSettings converts the settings to those of the loop and the reducer. It returns an error if
// j.Disabled names an unknown mechanism.
func jobSettings(j setting.Jobs, c setting.Connections) (jobrun.Settings, error) {
	disabled, err := mechanism.Parse(j.Disabled)
	return jobrun.Settings{
		Dispatch: dispatch.Settings{
			Authority: authority.Settings{RenewInterval: j.RenewInterval, HoldFor: j.HoldFor, ClaimAfter: j.ClaimAfter, OutsiderClaimAfter: j.OutsiderClaimAfter},
			Lease:     j.WorkerLease(), MaxLease: j.MaxLease, RenewWait: j.RenewWait, MaxListedEnds: platform.MaxListedEnds, AppendInterval: j.AppendInterval,
			OrderTimeout: j.OrderTimeout, EndedRetention: j.EndedRetention, StopGrace: j.StopGrace,
			ConfigPropagation: j.ConfigPropagation, EvacuationPropagation: j.EvacuationBound(), ShareWindow: j.ShareWindow,
			ForecastAdmission: j.ForecastAdmission, Disabled: disabled,
		},
		Tick: jobTick, ReadWait: claimsReadWait, WorkersInterval: workersReadInterval, CallTimeout: logTimeout,
		Relays:      relay.Limits{MinWorkers: j.MinRelayedWorkers, WorkersPerRelay: j.WorkersPerRelay},
		PeerTimeout: j.PeerTimeout, ProbeAfter: c.ProbeAfter, AnswerTimeout: c.AnswerTimeout,
	}, err
}

// newPlatform returns the clients of the platform's services. Each service has its own HTTP
// client, so that calls to one cannot use up the connections to another. hooks returns the
// callbacks that receive the connection events of a service.
func newPlatform(s setting.Settings, c *clock.Clock, hooks func(to string) httpclient.Hooks) jobrun.Platform {
	client := func(to string) *http.Client {
		return httpclient.New(httpclient.Settings{
			To: to, DialTimeout: dialTimeout, IdleTimeout: s.Connections.IdleTimeout, MinOverdue: s.Connections.AnswerTimeout,
			MaxIdlePerHost: maxIdleConnsPerHost, Now: c.Now, Hooks: hooks(to),
		})
	}
	log := platform.NewLog(s.Jobs.LogAddress, client("log"))
	workers := platform.NewWorkers(client("worker"))
	advice := platform.NewAdvice(s.Jobs.AdviceAddress, client("advice service"))
	return jobrun.Platform{
		Log:     jobrun.Log{Append: log.Append, Read: log.Read, Newest: log.Newest},
		Workers: relay.WorkerCalls{Renew: workers.Renew, Start: workers.Start, Stop: workers.Stop, Throttle: workers.Throttle},
		Advise:  advice.Ask, Config: platform.Config, Listing: platform.Listing, Evacuations: platform.Evacuations, EvacuationRecord: platform.EvacuationRecord,
	}
}

// connectionHooks returns callbacks that pass the connection events of a service to the loop.
// They look up d.loop only when they are called, because it is not set yet when they are made.
func (d *jobDaemon) connectionHooks(to string) httpclient.Hooks {
	bytes := sync.OnceValue(func() func(in, out int) { return d.loop.ByteCounter(to) })
	return httpclient.Hooks{
		OnUnanswered: func(u conntrack.Unanswered) { d.loop.CallUnanswered(u) },
		OnDiscard:    func(c conntrack.Discarded) { d.loop.ConnectionsDiscarded(c) },
		OnRetry:      func(r httpclient.RetriedCall) { d.loop.CallRetried(r) },
		OnOpen:       func(delta int) { d.loop.ConnectionsChanged(to, delta) },
		OnBytes:      func(in, out int) { bytes()(in, out) },
	}
}

// shutdown closes the HTTP ports and waits up to shutdownTimeout for the requests in progress.
func (d *jobDaemon) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range d.servers {
		_ = s.Shutdown(ctx)
	}
}

// close stops the servers, the peers' port and the loop. It also cleans up after a failed start.
func (d *jobDaemon) close() {
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.peers.Close()
	d.loop.Close()
	d.wg.Wait()
}
