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
	// probeDelayWithCalls is how long nothing may have come over a link that calls wait on
	// before it is probed. With it and the usual bound on answers, a call that has 700 ms
	// can be made again on a new link. Once the link has answered, it is the calls that
	// take long, and the next probe can wait for as long as answers may take: a holder of
	// 42 links then made 93 probes a second for its calls for advice in place of 155
	// (counted over 25 s).
	probeDelayWithCalls = 100 * time.Millisecond
	// firstAnswerFactor is how many times the usual bound the first answer on a link may take.
	// What has not answered on a new connection is a busy box rather than a silent
	// connection, and yet another one would only be more work for it. Of a holder that ran
	// 5.5 times slower for 6 s, 33 links were given up in place of 70 (mean of 4 plays).
	firstAnswerFactor = 4
	// recheckDelay is how long after its answer became overdue a link is given up, so that
	// what came while this process had no processor is read before.
	recheckDelay = 10 * time.Millisecond
)

// check does what is due on a link. It returns when it is due next, or that nothing has
// come over it for too long after a probe.
func (k *link) check(now time.Time) (due time.Time, silent bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	due = k.nextCheck(now)
	switch {
	case now.Before(due):
		k.overdue = false
		return due, false
	case !k.probing:
		k.probing, k.probedAt, k.probeNow, k.overdue = true, time.Time{}, false, false
		k.links.wg.Go(k.probe)
		return now.Add(k.links.settings.AnswerTimeout), false
	case !k.overdue:
		k.overdue = true
		return now.Add(recheckDelay), false
	default:
		return time.Time{}, true
	}
}

// nextCheck returns when a link is to be looked at. The lock is held.
func (k *link) nextCheck(now time.Time) time.Time {
	switch {
	case k.probing:
		return k.answerDeadline(now)
	case k.probeNow:
		return now
	default:
		return k.links.checkTimer.roundUpToGrid(k.nextProbe(now))
	}
}

// answerDeadline returns by when something must have come over a link that is being probed.
func (k *link) answerDeadline(now time.Time) time.Time {
	answer := k.links.settings.AnswerTimeout
	if !k.hasReceived() {
		answer *= firstAnswerFactor
	}
	if k.probedAt.IsZero() {
		// The probe still waits to be written, and writes are bounded.
		return now.Add(answer)
	}
	return ordered.Later(k.lastReceivedAt(now), k.probedAt).Add(answer)
}

// nextProbe returns when a link is to be probed.
func (k *link) nextProbe(now time.Time) time.Time {
	s, heard := &k.links.settings, k.lastReceivedAt(now)
	switch {
	case k.calls == 0:
		return heard.Add(s.ProbeAfter)
	case heard.Equal(k.answeredAt):
		return ordered.Later(heard, k.waitingSince).Add(min(s.ProbeAfter, s.AnswerTimeout))
	default:
		return ordered.Later(heard, k.waitingSince).Add(min(s.ProbeAfter, probeDelayWithCalls))
	}
}

// hasReceived says whether anything has ever come over a link.
func (k *link) hasReceived() bool { return k.conn.LastReceivedAt().After(k.conn.OpenedAt()) }

// lastReceivedAt returns when something last came over a link. While a message is being
// decoded nothing is read, which is no silence.
func (k *link) lastReceivedAt(now time.Time) time.Time {
	if !k.reading.Load() {
		return now
	}
	return k.conn.LastReceivedAt()
}

// probe makes one probe and waits for its answer.
func (k *link) probe() {
	defer k.finishProbe()
	ping, err := k.peer().DispatchCall(k.links.ctx, methodPing, nil)
	if err != nil {
		// The link has ended.
		return
	}
	k.mu.Lock()
	// What was written before it may still be on its way.
	k.probedAt = ordered.Later(k.links.settings.Now(), k.deliveredBy)
	k.mu.Unlock()
	// An error is an answer as well, or the end of the link.
	_ = ping.Wait(k.links.ctx, nil)
}

// finishProbe notes that a probe has ended.
func (k *link) finishProbe() {
	now := k.links.settings.Now()
	k.mu.Lock()
	k.probing, k.answeredAt = false, k.conn.LastReceivedAt()
	due := k.nextCheck(now)
	k.mu.Unlock()
	k.links.checkTimer.scheduleBy(now, due)
}

// beginCall notes that a call waits on a link. An urgent one has it probed at once.
func (k *link) beginCall(now time.Time, urgent bool) {
	k.mu.Lock()
	if k.calls == 0 {
		k.waitingSince, k.answeredAt = now, time.Time{}
	}
	k.calls++
	k.probeNow = k.probeNow || urgent && !k.probing
	due := k.nextCheck(now)
	k.mu.Unlock()
	k.links.checkTimer.scheduleBy(now, due)
}

// endCall notes that a call no longer waits.
func (k *link) endCall() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls--
}
