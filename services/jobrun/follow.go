// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"context"
	"encoding/json"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/exchange"
	"saddlevane/models/stream"
	"saddlevane/modules/clock"
)

// readRetryDelay is the pause after a read of the log that failed.
const readRetryDelay = 100 * time.Millisecond

// rareReadWait is how long a read waits for records of a stream that seldom changes.
const rareReadWait = 2 * time.Second

// configReadWait is how long a read waits for a configuration: where a change has to be in force
// within 2 s, one that ends without any has to say so before that.
const configReadWait = time.Second

// follower reads a stream from its newest records on. Each round takes one page;
// whole says that the page stands for the whole stream.
type follower struct {
	loop *Loop
	name stream.Name
	// pause is the least time between two reads.
	pause time.Duration
	// wait is how long a read waits for records.
	wait       time.Duration
	handlePage func(p stream.Page, whole bool)
	// seen is told when a read was asked for that has ended, after what it gave was taken.
	readEnded   func(askedAt time.Time)
	handleError func(err error)
}

// follow reads a stream until ctx ends: whole at first and after a failure,
// then what is new.
func (l *Loop) follow(ctx context.Context, f follower) {
	next, started := int64(0), false
	for ctx.Err() == nil {
		asked := l.now()
		page, err := f.read(ctx, next, started)
		if err != nil {
			// A stream whose records are gone is read anew.
			started = false
			f.handleError(err)
			clock.Wait(ctx, readRetryDelay)
			continue
		}
		f.handlePage(page, !started)
		if f.readEnded != nil {
			f.readEnded(asked)
		}
		next, started = page.Next, true
		clock.Wait(ctx, f.pause)
	}
}

// read reads the whole stream, or waits for what comes after next.
func (f follower) read(ctx context.Context, next int64, started bool) (stream.Page, error) {
	timeout := f.loop.settings.CallTimeout
	if started {
		timeout += f.wait
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !started {
		return f.loop.platform.Log.Newest(ctx, f.name)
	}
	return f.loop.platform.Log.Read(ctx, f.name, next, f.wait)
}

func (l *Loop) followConfig() {
	l.follow(l.ctx, follower{
		loop: l, name: stream.Config, wait: configReadWait, handlePage: l.handleConfigPage, handleError: l.readErrorLogger(stream.Config),
		readEnded: func(askedAt time.Time) { l.post(exchange.ConfigReadEnded{AskedAt: askedAt}) },
	})
}

// handleConfigPage passes on the newest configuration of a page.
func (l *Loop) handleConfigPage(p stream.Page, _ bool) {
	config, found, err := l.platform.Config(p.Records)
	if err != nil {
		l.log.WithError(err).Error("a configuration could not be read")
	}
	if found {
		l.post(exchange.ConfigRead{Config: config})
	}
}

func (l *Loop) followClaims() {
	l.follow(l.ctx, follower{
		loop: l, name: stream.Claims, wait: l.settings.ReadWait,
		handlePage: func(p stream.Page, whole bool) {
			l.post(exchange.ClaimsRead{First: whole, Records: p.Records, Next: p.Next})
		},
		handleError: func(err error) { l.post(exchange.ClaimsRead{Failure: err.Error()}) },
	})
}

func (l *Loop) followMembers() {
	l.follow(l.ctx, follower{loop: l, name: stream.Boxes, wait: rareReadWait, handlePage: l.handleMembersPage, handleError: l.readErrorLogger(stream.Boxes)})
}

// handleMembersPage passes on the boxes' announcements of a page.
func (l *Loop) handleMembersPage(p stream.Page, _ bool) {
	var members []claim.Member
	for _, r := range p.Records {
		var m claim.Member
		err := json.Unmarshal(r.Value, &m)
		if err == nil {
			err = m.Check()
		}
		if err != nil {
			l.log.WithError(err).Warning("a box's announcement could not be read")
			continue
		}
		members = append(members, m)
	}
	if len(members) > 0 {
		l.relays.AddBoxes(members)
		l.post(exchange.MembersRead{Members: members})
	}
}

// setFollowWorkers starts or ends the following of the list of workers.
func (l *Loop) setFollowWorkers(on bool) {
	if l.stopFollowWorkers != nil {
		l.stopFollowWorkers()
		l.stopFollowWorkers = nil
	}
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	l.stopFollowWorkers = cancel
	l.tasks.Go(func() {
		l.follow(ctx, follower{
			loop: l, name: stream.Workers, pause: l.settings.WorkersInterval,
			handlePage: func(p stream.Page, whole bool) {
				listing := l.platform.Listing(p.Records)
				listing.Complete = whole
				if whole || len(p.Records) > 0 {
					l.relays.UpdateWorkers(listing)
					l.post(exchange.WorkersRead{Listing: listing})
				}
			},
			handleError: l.readErrorLogger(stream.Workers),
		})
	})
}

// readErrorLogger returns what a failed read of a stream is logged with.
func (l *Loop) readErrorLogger(name stream.Name) func(error) {
	return func(err error) {
		l.log.WithError(err).WithField("stream", name).Debug("a read of the log failed")
	}
}
