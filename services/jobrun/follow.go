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
	"saddlevane/services/logfeed"
)

// readRetryDelay is the pause after a failed read of the log.
const readRetryDelay = 100 * time.Millisecond

// rareReadWait is how long a read waits for records of a stream that rarely changes.
const rareReadWait = 2 * time.Second

// configReadWait is how long a read waits for a configuration. A read that finds none confirms that
// the known configuration was current when the read was requested, and the next read confirms that
// only when it ends. So two waits and a call must be shorter than the time within which changes have
// to be in force, 1.5 s or more, less the margin that dispatch subtracts from it.
const configReadWait = 500 * time.Millisecond

// follower reads a stream, starting with its newest records. Each round passes one page to
// handlePage; whole is true if the page contains the state of the whole stream and false if it
// contains only what is new.
type follower struct {
	loop *Loop
	name stream.Name
	// pause is the wait between two reads.
	pause time.Duration
	// wait is how long a read waits for new records.
	wait time.Duration
	// window, if set, keeps what this box reads for boxes that read through it, and lets this box
	// read through another one.
	window     *logfeed.Window
	handlePage func(r readResult)
	// readEnded, if set, is called with the time at which a successful read was requested from the
	// log, after its page was handled.
	readEnded   func(requestedAt time.Time)
	handleError func(err error)
	// seen identifies what the reader that answered last has reported.
	seen seenRead
}

// seenRead is the number of the last read that a reader has reported.
type seenRead struct {
	box    claim.Member
	number int64
}

// readResult is the result of a successful read.
type readResult struct {
	page stream.Page
	// whole is set if the page contains the state of the whole stream.
	whole bool
	// relayed is set if another box has read the page.
	relayed bool
	// requestedAt is when the page was requested from the log, at the latest.
	requestedAt time.Time
}

// follow reads a stream until ctx ends: the whole stream at first and after a failure, only
// new records otherwise.
func (l *Loop) follow(ctx context.Context, f follower) {
	next, started := int64(0), false
	for ctx.Err() == nil {
		result, err := f.read(ctx, next, started)
		if err != nil {
			// The records after next may be gone, so the next read starts over.
			started = false
			f.handleError(err)
			clock.Wait(ctx, readRetryDelay)
			continue
		}
		f.handlePage(result)
		if f.readEnded != nil {
			f.readEnded(result.requestedAt)
		}
		next, started = result.page.Next, true
		clock.Wait(ctx, f.pause)
	}
}

// read reads the whole stream, or waits for records from offset next on. If it can, it reads through
// another box; if that box does not answer, it reads the log at once.
func (f *follower) read(ctx context.Context, next int64, started bool) (readResult, error) {
	wait := f.wait
	if started && f.window != nil {
		if reader, ok := f.loop.pickReader(); ok {
			result, err := f.readThrough(ctx, reader, next)
			if err == nil || ctx.Err() != nil {
				return result, err
			}
			wait = 0
		}
	}
	return f.readLog(ctx, next, started, wait)
}

// readLog reads from the log, and records the result for the boxes that read through this one.
func (f *follower) readLog(ctx context.Context, next int64, started bool, wait time.Duration) (readResult, error) {
	timeout := f.loop.settings.CallTimeout
	if started {
		timeout += wait
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result := readResult{whole: !started, requestedAt: f.loop.now()}
	var err error
	if started {
		result.page, err = f.loop.platform.Log.Read(ctx, f.name, next, wait)
	} else {
		result.page, err = f.loop.platform.Log.Newest(ctx, f.name)
	}
	f.loop.metrics.recordLogRead(f.name, readFromLog, err)
	switch {
	case f.window == nil:
	case err != nil:
		f.window.RecordFailure()
	default:
		f.window.RecordPage(result.page, result.whole, result.requestedAt)
	}
	return result, err
}

// readThrough reads through another box.
func (f *follower) readThrough(ctx context.Context, reader claim.Member, next int64) (readResult, error) {
	if f.seen.box != reader {
		f.seen = seenRead{box: reader}
	}
	sentAt := f.loop.now()
	reply, err := f.loop.peers.readThrough(ctx, reader.Address, logfeed.Request{Stream: f.name, Next: next, Seen: f.seen.number}, f.wait)
	f.loop.metrics.recordLogRead(f.name, readFromBox, err)
	if err != nil {
		f.seen.number = 0
		f.loop.readers.RecordFailure(f.loop.now(), reader.Box)
		return readResult{}, err
	}
	f.loop.readers.RecordAnswer(reader.Box)
	f.seen.number = reply.Seen
	return readResult{page: stream.Page{Records: reply.Records, Next: reply.Next}, relayed: true, requestedAt: reply.RequestedAt(sentAt)}, nil
}

// pickReader returns the box through which this one reads the log, or false if it reads the log
// itself.
func (l *Loop) pickReader() (claim.Member, bool) {
	l.mu.Lock()
	mustRead := l.view.mustReadLog
	l.mu.Unlock()
	if mustRead {
		return claim.Member{}, false
	}
	return l.readers.Pick(l.now())
}

// followConfig posts each new configuration to the reducer, and the end of each successful read.
func (l *Loop) followConfig() {
	l.follow(l.ctx, follower{
		loop: l, name: stream.Config, wait: configReadWait, window: l.windows[stream.Config],
		handlePage: l.handleConfigPage, handleError: l.readErrorLogger(stream.Config),
		readEnded: func(requestedAt time.Time) { l.post(exchange.ConfigReadEnded{AskedAt: requestedAt}) },
	})
}

// handleConfigPage posts the newest configuration of a page, and its evacuations, to the reducer.
func (l *Loop) handleConfigPage(r readResult) {
	config, found, err := l.platform.Config(r.page.Records)
	if err != nil {
		l.log.WithError(err).Error("a configuration could not be read")
	}
	if found {
		l.post(exchange.ConfigRead{Config: config})
	}
	if r.whole || len(r.page.Records) > 0 {
		l.post(exchange.EvacuationsRead{Update: l.platform.Evacuations(r.page, r.whole)})
	}
}

// followClaims posts the records of the stream of claims to the reducer, and failures to read it.
func (l *Loop) followClaims() {
	l.follow(l.ctx, follower{
		loop: l, name: stream.Claims, wait: l.settings.ReadWait, window: l.windows[stream.Claims],
		handlePage: func(r readResult) {
			l.post(exchange.ClaimsRead{First: r.whole, Records: r.page.Records, Next: r.page.Next, Relayed: r.relayed})
		},
		handleError: func(err error) { l.post(exchange.ClaimsRead{Failure: err.Error()}) },
	})
}

// followMembers posts the announcements of entry boxes to the reducer.
func (l *Loop) followMembers() {
	l.follow(l.ctx, follower{
		loop: l, name: stream.Boxes, wait: rareReadWait, window: l.windows[stream.Boxes],
		handlePage: l.handleMembersPage, handleError: l.readErrorLogger(stream.Boxes),
	})
}

// handleMembersPage posts the announcements of entry boxes of a page to the reducer.
func (l *Loop) handleMembersPage(result readResult) {
	var members []claim.Member
	for _, r := range result.page.Records {
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
		l.readers.AddBoxes(members)
		l.mu.Lock()
		l.inquiry.addBoxes(l.self.Box, members)
		l.mu.Unlock()
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
			handlePage: func(r readResult) {
				listing := l.platform.Listing(r.page.Records)
				listing.Complete = r.whole
				if r.whole || len(r.page.Records) > 0 {
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
