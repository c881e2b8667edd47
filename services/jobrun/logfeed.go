// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"context"
	"time"

	"saddlevane/modules/peering"
	"saddlevane/services/logfeed"

	"github.com/sourcegraph/jsonrpc2"
)

// readThrough asks another box for what it has read from the log. That box answers after its next
// read, which takes at most wait unless the log is late.
func (p *Peers) readThrough(ctx context.Context, address string, r logfeed.Request, wait time.Duration) (logfeed.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+p.loop.settings.PeerTimeout)
	defer cancel()
	var reply logfeed.Reply
	if _, err := p.links.Call(ctx, address, peering.Call{Method: methodFollow, Params: r, Result: &reply}); err != nil {
		return reply, err
	}
	return reply, reply.Check(r.Next)
}

// serveFollower answers another box that reads the log through this one.
func (p *Peers) serveFollower(ctx context.Context, r logfeed.Request) (any, error) {
	if err := r.Check(); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	window := p.loop.windows[r.Stream]
	if window == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "stream " + string(r.Stream) + " is not passed on"}
	}
	p.loop.readers.RecordAsked(p.loop.now())
	ctx, cancel := context.WithTimeout(ctx, maxFollowerWait)
	defer cancel()
	reply, err := window.Wait(ctx, r)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	return reply, nil
}

// maxFollowerWait bounds how long a box waits for its own next read to answer a follower. It exceeds
// the longest wait of a read.
const maxFollowerWait = rareReadWait + time.Second
