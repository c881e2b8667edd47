// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/exchange"
	"saddlevane/models/order"
	"saddlevane/models/stream"
	"saddlevane/services/dispatch"
)

// fakeBox is a simulated box that runs a reducer. Each start is a new incarnation; events and
// timers of an earlier one are dropped.
type fakeBox struct {
	w           *world
	name        string
	incarnation int
	extraSize   int64
	core        *dispatch.Core
	alive       bool
	pausedUntil time.Time
	// clockOffset is how far the wall clock of the box is ahead of the world's time.
	clockOffset time.Duration
	// logUnreachable disconnects the box from the log, and peersUnreachable from the other boxes.
	logUnreachable, peersUnreachable bool
	hasReadClaims                    bool
	// lastRelayed is set if another box has read the claims that were delivered last.
	lastRelayed      bool
	nextClaimOffset  int64
	nextMemberOffset int64
	nextConfigOffset int64
	hasReadConfig    bool
	// logTroubleAt is when the box last could not reach the log, or was paused.
	logTroubleAt   time.Time
	followsWorkers bool
	pendingCalls   map[exchange.CallID]func(exchange.Answer)
	lastCall       exchange.CallID
	// stopped is set when a planned stop is complete.
	stopped bool
}

// start starts the box as a new incarnation with an empty reducer.
func (b *fakeBox) start() {
	b.incarnation++
	b.alive, b.hasReadClaims, b.followsWorkers = true, false, false
	b.pausedUntil = time.Time{}
	b.nextClaimOffset, b.nextMemberOffset, b.nextConfigOffset, b.hasReadConfig = 0, 0, 0, false
	b.logTroubleAt = b.w.now
	b.pendingCalls = map[exchange.CallID]func(exchange.Answer){}
	self := claim.Member{Box: b.name, Incarnation: fmt.Sprintf("%s/%d", b.name, b.incarnation), Domain: "a", Address: b.name, Size: 1 + b.extraSize}
	s := settings()
	s.Disabled, s.MaxListedEnds, s.ForecastAdmission = b.w.disabled, b.w.maxListedEnds, !b.w.withoutForecast
	if b.w.endedRetention > 0 {
		s.EndedRetention = b.w.endedRetention
	}
	b.core = dispatch.New(s, self)
	b.post(exchange.ConfigRead{Config: b.w.config})
	b.tick(b.incarnation)
	b.pollStreams(b.incarnation)
	b.pollConfig(b.incarnation)
}

// kill stops the box at once, without a planned stop.
func (b *fakeBox) kill() { b.alive = false }

// post delivers an event to the current incarnation of the box.
func (b *fakeBox) post(e exchange.Event) {
	incarnation := b.incarnation
	b.w.after(0, func() { b.deliver(incarnation, e) })
}

// deliver passes an event to the reducer and carries out its effects, after the pause if the box is
// paused. It drops the event if the box has been killed or restarted since.
func (b *fakeBox) deliver(incarnation int, e exchange.Event) {
	if !b.alive || b.incarnation != incarnation {
		return
	}
	if b.w.now.Before(b.pausedUntil) {
		b.w.at(b.pausedUntil, func() { b.deliver(incarnation, e) })
		return
	}
	b.core.SetSuspendOffset(-b.clockOffset)
	b.core.Handle(b.w.now, e)
	for _, eff := range b.core.Decide(b.w.now) {
		b.perform(incarnation, eff)
	}
}

// tick delivers a tick every 20 ms.
func (b *fakeBox) tick(incarnation int) {
	if !b.alive || b.incarnation != incarnation {
		return
	}
	b.deliver(incarnation, exchange.Tick{})
	b.w.after(20*time.Millisecond, func() { b.tick(incarnation) })
}

// pollStreams reads the streams of claims and boxes every 30 ms.
func (b *fakeBox) pollStreams(incarnation int) {
	if !b.alive || b.incarnation != incarnation {
		return
	}
	b.w.after(30*time.Millisecond, func() { b.pollStreams(incarnation) })
	relayed := b.hasReadClaims && !b.core.MustReadLog(b.w.now) && b.w.hasReaderFor(b)
	if b.w.logDown || b.logUnreachable && !relayed {
		b.deliver(incarnation, exchange.ClaimsRead{Failure: "down"})
		return
	}
	b.readMembers(incarnation)
	claims := b.w.streams[stream.Claims]
	next := int64(len(claims.records))
	if b.hasReadClaims && next == b.nextClaimOffset && b.core.IsLogReachable() && relayed == b.lastRelayed {
		return
	}
	records := slices.Clone(claims.records[b.nextClaimOffset:])
	first := !b.hasReadClaims
	b.nextClaimOffset, b.hasReadClaims, b.lastRelayed = next, true, relayed
	b.w.after(b.w.delay(), func() {
		b.deliver(incarnation, exchange.ClaimsRead{First: first, Records: records, Next: next, Relayed: relayed})
	})
}

// hasReaderFor reports whether a box can read the claims through another box: one that reads the log
// itself and reaches both the log and the box.
func (w *world) hasReaderFor(b *fakeBox) bool {
	return !b.peersUnreachable && slices.ContainsFunc(w.boxes, func(other *fakeBox) bool {
		return other != b && other.alive && !other.logUnreachable && !other.peersUnreachable && !w.now.Before(other.pausedUntil) &&
			other.core.MustReadLog(w.now)
	})
}

// readMembers delivers the records of boxes that were appended since the last read.
func (b *fakeBox) readMembers(incarnation int) {
	records := b.w.streams[stream.Boxes].records
	if int64(len(records)) == b.nextMemberOffset {
		return
	}
	var members []claim.Member
	for _, r := range records[b.nextMemberOffset:] {
		var m claim.Member
		if json.Unmarshal(r.Value, &m) == nil {
			members = append(members, m)
		}
	}
	b.nextMemberOffset = int64(len(records))
	b.w.after(b.w.delay(), func() { b.deliver(incarnation, exchange.MembersRead{Members: members}) })
}

// perform carries out an effect of the reducer in the simulated environment.
func (b *fakeBox) perform(incarnation int, e exchange.Effect) {
	w := b.w
	respond := func(d time.Duration, e exchange.Event) { w.after(d, func() { b.deliver(incarnation, e) }) }
	switch e := e.(type) {
	case exchange.Append:
		w.append(b, e, respond)
	case exchange.LoadJobs:
		w.loadJobs(b, e, respond)
	case exchange.FollowWorkers:
		b.followsWorkers = e.On
		if e.On {
			b.followWorkers(incarnation)
		}
	case exchange.Renew:
		w.renewalsSent++
		w.renew(b, e, respond)
	case exchange.StartRun:
		w.startRun(b, e, respond)
	case exchange.StopRun:
		w.stopRun(b, e, respond)
	case exchange.Advise:
		w.advise(e, respond)
	case exchange.AskPledges:
		w.askPledges(b, e, respond)
	case exchange.Invite:
		w.invite(b, e, respond)
	case exchange.Reply:
		if f := b.pendingCalls[e.Call]; f != nil {
			delete(b.pendingCalls, e.Call)
			f(e.Answer)
		}
	case exchange.Stopped:
		b.stopped = true
	case exchange.LogEvent:
		w.recordLoss(e)
		w.trace = append(w.trace, fmt.Sprintf("%v %s %s %v", w.now.Sub(w.startedAt), b.name, e.Message, e.Fields))
	}
}

// followWorkers delivers the list of workers every 300 ms, as long as the reducer follows it.
func (b *fakeBox) followWorkers(incarnation int) {
	if !b.alive || b.incarnation != incarnation || !b.followsWorkers {
		return
	}
	b.w.after(300*time.Millisecond, func() { b.followWorkers(incarnation) })
	if b.w.logDown || b.logUnreachable {
		return
	}
	l := order.Listing{Complete: true}
	l.Present = b.w.listedWorkers()
	b.w.after(b.w.delay(), func() { b.deliver(incarnation, exchange.WorkersRead{Listing: l}) })
}

// call makes a caller's request to the box and passes the answer on. event builds the event for the
// ID of the call.
func (b *fakeBox) call(event func(exchange.CallID) exchange.Event, answer func(exchange.Answer)) {
	b.lastCall++
	id := b.lastCall
	b.pendingCalls[id] = answer
	b.post(event(id))
}

// askPledges asks other boxes for their pledges and answers when all have replied or 400 ms have
// passed.
func (w *world) askPledges(b *fakeBox, e exchange.AskPledges, respond func(time.Duration, exchange.Event)) {
	sentAt := w.now
	pledged := exchange.Pledged{Epoch: e.Epoch, SentAt: sentAt, All: true}
	remaining := len(e.Addresses)
	w.pledgesAsked += remaining
	finish := func() { respond(w.delay(), pledged) }
	if remaining == 0 {
		finish()
		return
	}
	for _, name := range e.Addresses {
		answered := false
		record := func(a exchange.Answer) {
			if answered {
				return
			}
			answered = true
			pledged.All = pledged.All && a.Outcome == exchange.OK
			if a.LogReachable {
				pledged.LogReachable = append(pledged.LogReachable, name)
			}
			if remaining--; remaining == 0 {
				finish()
			}
		}
		w.after(400*time.Millisecond, func() { record(exchange.Answer{}) })
		if other := w.box(name); other.alive && !b.peersUnreachable && !other.peersUnreachable {
			w.after(w.delay(), func() {
				other.call(func(id exchange.CallID) exchange.Event { return exchange.PledgeAsked{Call: id, Epoch: e.Epoch} }, record)
			})
		}
	}
}

// invite asks another box to take over the cell. Without a reply within 400 ms it counts as not
// refused.
func (w *world) invite(b *fakeBox, e exchange.Invite, respond func(time.Duration, exchange.Event)) {
	answered := false
	finish := func(refused bool) {
		if !answered {
			answered = true
			respond(w.delay(), exchange.Invited{Epoch: e.Epoch, Refused: refused})
		}
	}
	w.after(400*time.Millisecond, func() { finish(false) })
	if other := w.box(e.Address); other.alive && !b.peersUnreachable && !other.peersUnreachable {
		other.call(func(id exchange.CallID) exchange.Event { return exchange.InviteAsked{Call: id, Epoch: e.Epoch} },
			func(a exchange.Answer) { finish(a.Outcome != exchange.OK) })
	}
}

// box returns the box of a name.
func (w *world) box(name string) *fakeBox {
	for _, b := range w.boxes {
		if b.name == name {
			return b
		}
	}
	w.fatalf("there is no box %s", name)
	return nil
}

// holder returns the box that serves the cell's jobs, or nil.
func (w *world) holder() *fakeBox {
	for _, b := range w.boxes {
		if b.alive && b.core.IsServing(b.w.now) {
			return b
		}
	}
	return nil
}
