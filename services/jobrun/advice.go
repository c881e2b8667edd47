// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"context"
	"errors"
	"fmt"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/modules/peering"
	"saddlevane/services/dispatch"
)

// adviseParams asks a box to call the advice service.
type adviseParams struct {
	Step    job.StepID `json:"step"`
	Workers []string   `json:"workers"`
}

// advised is the answer to a call for advice through another box.
type advised struct {
	Good []order.Ticket `json:"good,omitempty"`
	Busy bool           `json:"busy,omitempty"`
}

// adviseFor calls the advice service for another box.
func (p *Peers) adviseFor(ctx context.Context, a adviseParams) (*advised, error) {
	good, err := p.loop.platform.Advise(ctx, a.Step, a.Workers)
	if errors.Is(err, ErrAdviceBusy) {
		return &advised{Busy: true}, nil
	}
	if err != nil {
		return nil, err
	}
	return &advised{Good: good}, nil
}

// advise has another entry box call the advice service.
func (p *Peers) advise(ctx context.Context, address string, step job.StepID, workers []string) ([]order.Ticket, error) {
	var a advised
	_, err := p.links.Call(ctx, address, peering.Call{
		Method: methodAdvise, Params: adviseParams{Step: step, Workers: workers}, Result: &a, Idempotent: true,
	})
	if err != nil {
		return nil, err
	}
	if a.Busy {
		return nil, fmt.Errorf("entry box %s: %w", address, ErrAdviceBusy)
	}
	return a.Good, nil
}

// ErrAdviceBusy means that the advice service has too many calls of this box
// waiting.
var ErrAdviceBusy = errors.New("too many calls for advice wait")

// advise asks the advice service from this box or has another box ask it: the
// service takes one call at a time from each.
func (l *Loop) advise(e dispatch.Advise) {
	ctx, cancel := context.WithTimeout(l.ctx, e.Timeout)
	defer cancel()
	var good []order.Ticket
	var err error
	if e.Address == "" {
		good, err = l.platform.Advise(ctx, e.Step, e.Workers)
	} else {
		good, err = l.peers.advise(ctx, e.Address, e.Step, e.Workers)
	}
	ended := dispatch.Advised{Step: e.Step, Box: e.Box, Epoch: e.Epoch, Number: e.Number, Good: good}
	l.metrics.advised(err)
	if err != nil {
		ended.Failed = err.Error()
		ended.Busy = errors.Is(err, ErrAdviceBusy)
	}
	l.post(ended)
}
