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

// readRetryDelay is the pause after a failed read of the log.
const readRetryDelay = 100 * time.Millisecond

// rareReadWait is how long a read waits for records of a stream that rarely changes.
const rareReadWait = 2 * time.Second

// configReadWait is how long a read waits for a configuration. Changes have to be in force
// within 2 s, so a read that finds none must end before that and confirm that the known
// configuration is still current.
const configReadWait = time.Second

// follower reads a stream, starting with its newest records. Each round passes one page to
// handlePage; whole is true if the page contains the state of the whole stream and false if it
// contains only what is new.
type follower struct {
	loop *Loop
	name stream.Name
	// pause is the wait between two reads.
	pause time.Duration
	// wait is how long a read waits for new records.
	wait       time.Duration
	handlePage func(p stream.Page, whole bool)
	// readEnded, if set, is called with the time at which a successful read was started, after
	// its page was handled.
	readEnded   func(startedAt time.Time)
	handleError func(err error)
}

// follow reads a stream until ctx ends: the whole stream at first and after a failure, only
// new records otherwise.
func (l *Loop) follow(ctx context.Context, f follower) {
	next, started := int64(0), false
	for ctx.Err() == nil {
		startedAt := l.now()
		page, err := f.read(ctx, next, started)
		if err != nil {
			// The records after next may be gone, so the next read starts over.
			started = false
			f.handleError(err)
			clock.Wait(ctx, readRetryDelay)
			continue
		}
		f.handlePage(page, !started)
		if f.readEnded != nil {
			f.readEnded(startedAt)
		}
		next, started = page.Next, true
		clock.Wait(ctx, f.pause)
	}
}

// read reads the whole stream, or waits for records from offset next on.
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

// followConfig posts each new configuration to the reducer, and the end of each successful read.
func (l *Loop) followConfig() {
	l.follow(l.ctx, follower{
		loop: l, name: stream.Config, wait: configReadWait, handlePage: l.handleConfigPage, handleError: l.readErrorLogger(stream.Config),
		readEnded: func(startedAt time.Time) { l.post(exchange.ConfigReadEnded{AskedAt: startedAt}) },
	})
}

// handleConfigPage posts the newest configuration of a page, and its evacuations, to the reducer.
func (l *Loop) handleConfigPage(p stream.Page, whole bool) {
	config, found, err := l.platform.Config(p.Records)
	if err != nil {
		l.log.WithError(err).Error("a configuration could not be read")
	}
	if found {
		l.post(exchange.ConfigRead{Config: config})
	}
	if whole || len(p.Records) > 0 {
		l.post(exchange.EvacuationsRead{Update: l.platform.Evacuations(p, whole)})
	}
}

// followClaims posts the records of the stream of claims to the reducer, and failures to read it.
func (l *Loop) followClaims() {
	l.follow(l.ctx, follower{
		loop: l, name: stream.Claims, wait: l.settings.ReadWait,
		handlePage: func(p stream.Page, whole bool) {
			l.post(exchange.ClaimsRead{First: whole, Records: p.Records, Next: p.Next})
		},
		handleError: func(err error) { l.post(exchange.ClaimsRead{Failure: err.Error()}) },
	})
}

// followMembers posts the announcements of entry boxes to the reducer.
func (l *Loop) followMembers() {
	l.follow(l.ctx, follower{loop: l, name: stream.Boxes, wait: rareReadWait, handlePage: l.handleMembersPage, handleError: l.readErrorLogger(stream.Boxes)})
}

// handleMembersPage posts the announcements of entry boxes of a page to the reducer.
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

// setFollowWorkers starts or stops following the list of workers. A follower that runs already
// is replaced, so that the list is read whole again.
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

// readErrorLogger returns a function that logs failed reads of a stream at debug level.
func (l *Loop) readErrorLogger(name stream.Name) func(error) {
	return func(err error) {
		l.log.WithError(err).WithField("stream", name).Debug("reading the log failed")
	}
}
