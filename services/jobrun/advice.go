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

// adviseParams are the parameters of a call that asks another entry box to call the advice
// service.
type adviseParams struct {
	Step    job.StepID `json:"step"`
	Workers []string   `json:"workers"`
	// Expected is how long the service is expected to take. CallerTimeout is how long the
	// calling box waits for the answer.
	Expected      job.Milliseconds `json:"expected_ms,omitempty"`
	CallerTimeout job.Milliseconds `json:"within_ms,omitempty"`
}

const (
	// adviceReplyMargin is how much earlier than its caller a box gives up a call to the
	// advice service, so that its error reaches the caller before the caller's own timeout
	// and the caller does not take this box for unresponsive.
	adviceReplyMargin = 100 * time.Millisecond
	// defaultAdviceTimeout bounds a call whose caller does not say how long it waits, such as
	// a box of an earlier version. The service lets up to 32 calls of a box wait.
	defaultAdviceTimeout = 5 * time.Second
)

// timeout returns how long the call to the advice service may take on this box.
func (a adviseParams) timeout() time.Duration {
	if a.CallerTimeout <= 0 {
		return defaultAdviceTimeout
	}
	return max(a.CallerTimeout.Duration()-adviceReplyMargin, a.CallerTimeout.Duration()/2)
}

// adviceResult is the answer to a call for advice that another box has made. Busy stands for
// ErrAdviceBusy.
type adviceResult struct {
	Tickets []order.Ticket `json:"good,omitempty"`
	Busy    bool           `json:"busy,omitempty"`
}

// serveAdvice calls the advice service on behalf of another box.
func (p *Peers) serveAdvice(ctx context.Context, a adviseParams) (*adviceResult, error) {
	ctx, cancel := context.WithTimeout(ctx, a.timeout())
	defer cancel()
	tickets, err := p.loop.callAdviceService(ctx, a)
	if errors.Is(err, ErrAdviceBusy) {
		return &adviceResult{Busy: true}, nil
	}
	if err != nil {
		return nil, err
	}
	return &adviceResult{Tickets: tickets}, nil
}

// requestAdvice asks the entry box at address to call the advice service.
func (p *Peers) requestAdvice(ctx context.Context, address string, params adviseParams) ([]order.Ticket, error) {
	var result adviceResult
	_, err := p.links.Call(ctx, address, peering.Call{Method: methodAdvise, Params: params, Result: &result, Idempotent: true})
	if err != nil {
		return nil, err
	}
	if result.Busy {
		return nil, fmt.Errorf("entry box %s: %w", address, ErrAdviceBusy)
	}
	return result.Tickets, nil
}

// ErrAdviceBusy means that the advice service rejects a call because too many calls of the
// same box are already waiting.
var ErrAdviceBusy = errors.New("too many calls for advice are waiting")

// advise calls the advice service from this box or, if the effect names an address, through
// another box, and posts the result to the reducer. Calls are spread over boxes because the
// service takes one call at a time from each box.
func (l *Loop) advise(e exchange.Advise) {
	ctx, cancel := context.WithTimeout(l.ctx, e.Timeout)
	defer cancel()
	params := adviseParams{
		Step: e.Step, Workers: e.Workers,
		Expected: job.Milliseconds(e.Expected.Milliseconds()), CallerTimeout: job.Milliseconds(e.Timeout.Milliseconds()),
	}
	var tickets []order.Ticket
	var err error
	if e.Address == "" {
		tickets, err = l.callAdviceService(ctx, params)
	} else {
		tickets, err = l.peers.requestAdvice(ctx, e.Address, params)
	}
	result := exchange.Advised{Step: e.Step, Box: e.Box, Epoch: e.Epoch, Number: e.Number, Tickets: tickets}
	l.metrics.recordAdvice(err)
	if err != nil {
		result.Failure = err.Error()
		result.Busy = errors.Is(err, ErrAdviceBusy)
	}
	l.post(result)
}

// callAdviceService calls the advice service. The call may be retried, but with Serialized: the
// service takes one call of a box at a time and goes on with those that were given up.
func (l *Loop) callAdviceService(ctx context.Context, a adviseParams) ([]order.Ticket, error) {
	ctx = httpclient.WithRetry(ctx, httpclient.Retry{Expected: a.Expected.Duration(), Serialized: true})
	return l.platform.Advise(ctx, a.Step, a.Workers)
}
