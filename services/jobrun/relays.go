// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"context"
	"errors"

	"saddlevane/models/claim"
	"saddlevane/modules/peering"
	"saddlevane/services/relay"

	"github.com/sourcegraph/jsonrpc2"
)

// batchSender returns a function that sends batches to another box with the given method. Results
// of orders may be sent twice. Orders may not, since the second could be taken for a new order of
// the same holder, so their batches are not retried.
func (l *Loop) batchSender(method string) func(context.Context, claim.Member, relay.Batch) relay.DeliveryStatus {
	return func(ctx context.Context, box claim.Member, b relay.Batch) relay.DeliveryStatus {
		_, err := l.peers.links.Call(ctx, box.Address, peering.Call{Method: method, Params: b, Idempotent: method == methodCarried})
		noAnswer, _ := errors.AsType[*peering.NoAnswerError](err)
		switch {
		case err == nil:
			return relay.Delivered
		case noAnswer != nil && noAnswer.Sent:
			return relay.DeliveryUnknown
		default:
			// A box that rejects a batch, such as one of an earlier version, carries out none of it.
			return relay.NotSent
		}
	}
}

// Relays returns the number of workers that each entry box relays orders to, by box, if this box
// holds the cell, otherwise nil.
func (l *Loop) Relays() map[string]int {
	l.mu.Lock()
	holds := l.view.holdsCell
	l.mu.Unlock()
	if !holds {
		return nil
	}
	return l.relays.WorkersByRelay(l.now())
}

// handleBatch handles a batch from another box: orders to relay to workers, or the results of
// orders that this box has sent.
func (p *Peers) handleBatch(method string, b relay.Batch) error {
	if method == methodCarried {
		p.loop.relayClient.HandleResults(b)
		return nil
	}
	if err := p.relayServer.HandleOrders(b); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return nil
}
