// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"context"
	"errors"
	"fmt"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/modules/httpclient"
	"saddlevane/modules/peering"
)

// adviseParams asks a box to call the advice service.
type adviseParams struct {
	Step    job.StepID `json:"step"`
	Workers []string   `json:"workers"`
	// Expected is how long the answer should take, Within how long the caller waits.
	Expected      job.Milliseconds `json:"expected_ms,omitempty"`
	CallerTimeout job.Milliseconds `json:"within_ms,omitempty"`
}

const (
	// adviceReplyMargin is how much sooner than its caller a box gives a call for advice up, so
	// that the caller hears of it and does not take the box for silent.
	adviceReplyMargin = 100 * time.Millisecond
	// defaultAdviceTimeout bounds the call of a caller that does not say how long it waits, such as
	// a box of an earlier version. The service lets up to 32 calls of a box wait.
	defaultAdviceTimeout = 5 * time.Second
)

// timeout returns how long a call for advice may take here.
func (a adviseParams) timeout() time.Duration {
	if a.CallerTimeout <= 0 {
		return defaultAdviceTimeout
	}
	return max(a.CallerTimeout.Duration()-adviceReplyMargin, a.CallerTimeout.Duration()/2)
}

// adviceResult is the answer to a call for advice through another box.
type adviceResult struct {
	Tickets []order.Ticket `json:"good,omitempty"`
	Busy    bool           `json:"busy,omitempty"`
}

// serveAdvice calls the advice service for another box.
func (p *Peers) serveAdvice(ctx context.Context, a adviseParams) (*adviceResult, error) {
	ctx, cancel := context.WithTimeout(ctx, a.timeout())
	defer cancel()
	good, err := p.loop.callAdviceService(ctx, a)
	if errors.Is(err, ErrAdviceBusy) {
		return &adviceResult{Busy: true}, nil
	}
	if err != nil {
		return nil, err
	}
	return &adviceResult{Tickets: good}, nil
}

// requestAdvice has another entry box call the advice service.
func (p *Peers) requestAdvice(ctx context.Context, address string, params adviseParams) ([]order.Ticket, error) {
	var a adviceResult
	_, err := p.links.Call(ctx, address, peering.Call{Method: methodAdvise, Params: params, Result: &a, Idempotent: true})
	if err != nil {
		return nil, err
	}
	if a.Busy {
		return nil, fmt.Errorf("entry box %s: %w", address, ErrAdviceBusy)
	}
	return a.Tickets, nil
}

// ErrAdviceBusy means that the advice service has too many calls of this box
// waiting.
var ErrAdviceBusy = errors.New("too many calls for advice wait")

// advise asks the advice service from this box or has another box ask it: the
// service takes one call at a time from each.
func (l *Loop) advise(e exchange.Advise) {
	ctx, cancel := context.WithTimeout(l.ctx, e.Timeout)
	defer cancel()
	params := adviseParams{
		Step: e.Step, Workers: e.Workers,
		Expected: job.Milliseconds(e.Expected.Milliseconds()), CallerTimeout: job.Milliseconds(e.Timeout.Milliseconds()),
	}
	var good []order.Ticket
	var err error
	if e.Address == "" {
		good, err = l.callAdviceService(ctx, params)
	} else {
		good, err = l.peers.requestAdvice(ctx, e.Address, params)
	}
	ended := exchange.Advised{Step: e.Step, Box: e.Box, Epoch: e.Epoch, Number: e.Number, Tickets: good}
	l.metrics.recordAdvice(err)
	if err != nil {
		ended.Failure = err.Error()
		ended.Busy = errors.Is(err, ErrAdviceBusy)
	}
	l.post(ended)
}

// callAdviceService calls the advice service. The call may be made again. The service takes one
// call of a box at a time and goes on with those that were given up.
func (l *Loop) callAdviceService(ctx context.Context, a adviseParams) ([]order.Ticket, error) {
	ctx = httpclient.Repeatable(ctx, httpclient.Repeat{Expected: a.Expected.Duration(), InTurn: true})
	return l.platform.Advise(ctx, a.Step, a.Workers)
}
