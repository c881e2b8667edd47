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

type fakeBox struct {
	w           *world
	name        string
	incarnation int
	extraSize   int64
	core        *dispatch.Core
	alive       bool
	pausedUntil time.Time
	// logUnreachable cuts the box off from the log, peersUnreachable from the other boxes.
	logUnreachable, peersUnreachable bool
	hasReadClaims                    bool
	nextClaimOffset                  int64
	nextMemberOffset                 int64
	followsWorkers                   bool
	pendingCalls                     map[exchange.CallID]func(exchange.Answer)
	lastCall                         exchange.CallID
	// stopped says that a planned stop is complete.
	stopped bool
}

func (b *fakeBox) start() {
	b.incarnation++
	b.alive, b.hasReadClaims, b.followsWorkers = true, false, false
	b.pausedUntil = time.Time{}
	b.nextClaimOffset, b.nextMemberOffset = 0, 0
	b.pendingCalls = map[exchange.CallID]func(exchange.Answer){}
	self := claim.Member{Box: b.name, Incarnation: fmt.Sprintf("%s/%d", b.name, b.incarnation), Domain: "a", Address: b.name, Size: 1 + b.extraSize}
	s := settings()
	s.Disabled = b.w.disabled
	b.core = dispatch.New(s, self)
	b.post(exchange.ConfigRead{Config: b.w.config})
	b.tick(b.incarnation)
	b.pollStreams(b.incarnation)
}

func (b *fakeBox) kill() { b.alive = false }

func (b *fakeBox) post(e exchange.Event) {
	life := b.incarnation
	b.w.after(0, func() { b.deliver(life, e) })
}

// deliver gives the reducer an event, once the box is no longer paused.
func (b *fakeBox) deliver(life int, e exchange.Event) {
	if !b.alive || b.incarnation != life {
		return
	}
	if b.w.now.Before(b.pausedUntil) {
		b.w.at(b.pausedUntil, func() { b.deliver(life, e) })
		return
	}
	b.core.Handle(b.w.now, e)
	for _, eff := range b.core.Decide(b.w.now) {
		b.perform(life, eff)
	}
}

func (b *fakeBox) tick(life int) {
	if !b.alive || b.incarnation != life {
		return
	}
	b.deliver(life, exchange.Tick{})
	b.w.after(20*time.Millisecond, func() { b.tick(life) })
}

// pollStreams reads the streams that every box follows.
func (b *fakeBox) pollStreams(life int) {
	if !b.alive || b.incarnation != life {
		return
	}
	b.w.after(30*time.Millisecond, func() { b.pollStreams(life) })
	if b.w.logDown || b.logUnreachable {
		b.deliver(life, exchange.ClaimsRead{Failure: "down"})
		return
	}
	b.readMembers(life)
	claims := b.w.streams[stream.Claims]
	next := int64(len(claims.records))
	if b.hasReadClaims && next == b.nextClaimOffset && b.core.IsLogReachable() {
		return
	}
	records := slices.Clone(claims.records[b.nextClaimOffset:])
	start := !b.hasReadClaims
	b.nextClaimOffset, b.hasReadClaims = next, true
	b.w.after(b.w.delay(), func() { b.deliver(life, exchange.ClaimsRead{First: start, Records: records, Next: next}) })
}

func (b *fakeBox) readMembers(life int) {
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
	b.w.after(b.w.delay(), func() { b.deliver(life, exchange.MembersRead{Members: members}) })
}

func (b *fakeBox) perform(life int, e exchange.Effect) {
	w := b.w
	back := func(d time.Duration, e exchange.Event) { w.after(d, func() { b.deliver(life, e) }) }
	switch e := e.(type) {
	case exchange.Append:
		w.append(b, e, back)
	case exchange.LoadJobs:
		w.loadJobs(b, e, back)
	case exchange.FollowWorkers:
		b.followsWorkers = e.On
		if e.On {
			b.followWorkers(life)
		}
	case exchange.Renew:
		w.renew(b, e, back)
	case exchange.StartRun:
		w.startRun(b, e, back)
	case exchange.StopRun:
		w.stopRun(b, e, back)
	case exchange.Advise:
		w.advise(e, back)
	case exchange.AskPledges:
		w.askPledges(b, e, back)
	case exchange.Invite:
		w.invite(b, e, back)
	case exchange.Reply:
		if f := b.pendingCalls[e.Call]; f != nil {
			delete(b.pendingCalls, e.Call)
			f(e.Answer)
		}
	case exchange.Stopped:
		b.stopped = true
	case exchange.LogEvent:
		w.trace = append(w.trace, fmt.Sprintf("%v %s %s %v", w.now.Sub(w.startedAt), b.name, e.Message, e.Fields))
	}
}

func (b *fakeBox) followWorkers(life int) {
	if !b.alive || b.incarnation != life || !b.followsWorkers {
		return
	}
	b.w.after(300*time.Millisecond, func() { b.followWorkers(life) })
	if b.w.logDown || b.logUnreachable {
		return
	}
	l := order.Listing{Complete: true}
	l.Present = b.w.listedWorkers()
	b.w.after(b.w.delay(), func() { b.deliver(life, exchange.WorkersRead{Listing: l}) })
}

// call makes a call at a box and tells the answer.
func (b *fakeBox) call(event func(exchange.CallID) exchange.Event, answer func(exchange.Answer)) {
	b.lastCall++
	id := b.lastCall
	b.pendingCalls[id] = answer
	b.post(event(id))
}

func (w *world) askPledges(b *fakeBox, e exchange.AskPledges, back func(time.Duration, exchange.Event)) {
	sentAt := w.now
	p := exchange.Pledged{Epoch: e.Epoch, SentAt: sentAt, All: true}
	left := len(e.Addresses)
	ended := func() { back(w.delay(), p) }
	if left == 0 {
		ended()
		return
	}
	for _, name := range e.Addresses {
		once := false
		take := func(a exchange.Answer) {
			if once {
				return
			}
			once = true
			p.All = p.All && a.Outcome == exchange.OK
			if a.LogReachable {
				p.LogReachable = append(p.LogReachable, name)
			}
			if left--; left == 0 {
				ended()
			}
		}
		w.after(400*time.Millisecond, func() { take(exchange.Answer{}) })
		if other := w.box(name); other.alive && !b.peersUnreachable && !other.peersUnreachable {
			w.after(w.delay(), func() {
				other.call(func(id exchange.CallID) exchange.Event { return exchange.PledgeAsked{Call: id, Epoch: e.Epoch} }, take)
			})
		}
	}
}

func (w *world) invite(b *fakeBox, e exchange.Invite, back func(time.Duration, exchange.Event)) {
	once := false
	ended := func(refused bool) {
		if !once {
			once = true
			back(w.delay(), exchange.Invited{Epoch: e.Epoch, Refused: refused})
		}
	}
	w.after(400*time.Millisecond, func() { ended(false) })
	if other := w.box(e.Address); other.alive && !b.peersUnreachable && !other.peersUnreachable {
		other.call(func(id exchange.CallID) exchange.Event { return exchange.InviteAsked{Call: id, Epoch: e.Epoch} },
			func(a exchange.Answer) { ended(a.Outcome != exchange.OK) })
	}
}

func (w *world) box(name string) *fakeBox {
	for _, b := range w.boxes {
		if b.name == name {
			return b
		}
	}
	w.fatalf("no box %s", name)
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
