// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peering

import (
	"time"

	"saddlevane/modules/ordered"
)

// Each end of a link probes it when nothing has come over it for some time, whether
// calls are made on it or not, and gives it up when nothing comes after the probe:
// connections can go silent for good without a reset, while new ones work.

// methodPing is the call by which a link is probed. A peer that does not know it says
// so, which is an answer too.
const methodPing = "peering.ping"

// methodBusy is what an end tells the other while it decodes a large message. It is no
// call, and a peer that does not know it passes it over: that it came is what it says.
const methodBusy = "peering.busy"

const (
	// probeWaiting is how long nothing may have come over a link that calls wait on
	// before it is probed. With it and the usual bound on answers, a call that has 700 ms
	// can be made again on a new link. Once the link has answered, it is the calls that
	// take long, and the next probe can wait for as long as answers may take: a holder of
	// 42 links then made 93 probes a second for its calls for advice in place of 155
	// (counted over 25 s).
	probeWaiting = 100 * time.Millisecond
	// firstAnswer is how many times the usual bound the first answer on a link may take.
	// What has not answered on a new connection is a busy box rather than a silent
	// connection, and yet another one would only be more work for it. Of a holder that ran
	// 5.5 times slower for 6 s, 33 links were given up in place of 70 (mean of 4 plays).
	firstAnswer = 4
	// lookAgain is how long after its answer became overdue a link is given up, so that
	// what came while this process had no processor is read before.
	lookAgain = 10 * time.Millisecond
)

// look does what is due on a link. It returns when it is due next, or that nothing has
// come over it for too long after a probe.
func (k *link) look(now time.Time) (due time.Time, silent bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	due = k.due(now)
	switch {
	case now.Before(due):
		k.overdue = false
		return due, false
	case !k.probing:
		k.probing, k.probedAt, k.urgent, k.overdue = true, time.Time{}, false, false
		k.links.tasks.Go(k.probe)
		return now.Add(k.links.settings.Answer), false
	case !k.overdue:
		k.overdue = true
		return now.Add(lookAgain), false
	default:
		return time.Time{}, true
	}
}

// due returns when a link is to be looked at. The lock is held.
func (k *link) due(now time.Time) time.Time {
	switch {
	case k.probing:
		return k.answerDue(now)
	case k.urgent:
		return now
	default:
		return k.links.alarm.onGrid(k.probeDue(now))
	}
}

// answerDue returns by when something must have come over a link that is being probed.
func (k *link) answerDue(now time.Time) time.Time {
	answer := k.links.settings.Answer
	if !k.heard() {
		answer *= firstAnswer
	}
	if k.probedAt.IsZero() {
		// The probe still waits to be written, and writes are bounded.
		return now.Add(answer)
	}
	return ordered.Later(k.heardAt(now), k.probedAt).Add(answer)
}

// probeDue returns when a link is to be probed.
func (k *link) probeDue(now time.Time) time.Time {
	s, heard := &k.links.settings, k.heardAt(now)
	switch {
	case k.calls == 0:
		return heard.Add(s.Probe)
	case heard.Equal(k.answeredAt):
		return ordered.Later(heard, k.waitingSince).Add(min(s.Probe, s.Answer))
	default:
		return ordered.Later(heard, k.waitingSince).Add(min(s.Probe, probeWaiting))
	}
}

// heard says whether anything has ever come over a link.
func (k *link) heard() bool { return k.conn.HeardAt().After(k.conn.OpenedAt()) }

// heardAt returns when something last came over a link. While a message is being
// decoded nothing is read, which is no silence.
func (k *link) heardAt(now time.Time) time.Time {
	if !k.reading.Load() {
		return now
	}
	return k.conn.HeardAt()
}

// probe makes one probe and waits for its answer.
func (k *link) probe() {
	defer k.probed()
	ping, err := k.peer().DispatchCall(k.links.ctx, methodPing, nil)
	if err != nil {
		// The link has ended.
		return
	}
	k.mu.Lock()
	// What was written before it may still be on its way.
	k.probedAt = ordered.Later(k.links.settings.Now(), k.clearAt)
	k.mu.Unlock()
	// An error is an answer as well, or the end of the link.
	_ = ping.Wait(k.links.ctx, nil)
}

// probed notes that a probe has ended.
func (k *link) probed() {
	now := k.links.settings.Now()
	k.mu.Lock()
	k.probing, k.answeredAt = false, k.conn.HeardAt()
	due := k.due(now)
	k.mu.Unlock()
	k.links.alarm.setBy(now, due)
}

// begin notes that a call waits on a link. An urgent one has it probed at once.
func (k *link) begin(now time.Time, urgent bool) {
	k.mu.Lock()
	if k.calls == 0 {
		k.waitingSince, k.answeredAt = now, time.Time{}
	}
	k.calls++
	k.urgent = k.urgent || urgent && !k.probing
	due := k.due(now)
	k.mu.Unlock()
	k.links.alarm.setBy(now, due)
}

// end notes that a call no longer waits.
func (k *link) end() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls--
}
