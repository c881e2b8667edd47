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

// batchSender returns what sends batches to other boxes by a method. The ends of orders may
// be told of twice; orders may not be given twice, as the second could be taken for a new
// one of the same holder.
func (l *Loop) batchSender(method string) func(context.Context, claim.Member, relay.Batch) relay.DeliveryStatus {
	return func(ctx context.Context, box claim.Member, b relay.Batch) relay.DeliveryStatus {
		_, err := l.peers.links.Call(ctx, box.Address, peering.Call{Method: method, Params: b, Idempotent: method == methodCarried})
		failed, _ := errors.AsType[*peering.NoAnswerError](err)
		switch {
		case err == nil:
			return relay.Delivered
		case failed != nil && failed.Sent:
			return relay.DeliveryUnknown
		default:
			// A box that refuses a batch, such as one of an earlier version, gives none of it.
			return relay.NotSent
		}
	}
}

// Relays returns how many workers' orders each entry box carries for this one, if it holds
// the cell.
func (l *Loop) Relays() map[string]int {
	l.mu.Lock()
	holds := l.view.holdsCell
	l.mu.Unlock()
	if !holds {
		return nil
	}
	return l.relays.WorkersByRelay(l.now())
}

// handleBatch takes a batch of another box: orders to carry, or the ends of those that this
// box has sent.
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
