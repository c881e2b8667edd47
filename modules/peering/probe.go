// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peering

import (
	"time"

	"saddlevane/modules/ordered"
)

// Each end of a link probes it when nothing has been received on it for some time, whether
// calls are in progress or not, and discards it when nothing is received after the probe: a
// connection can go silent for good without a reset while new connections work.

// methodPing is the method of a probe. A peer that does not support it returns an error, which
// is an answer as well.
const methodPing = "peering.ping"

// methodBusy is the notification that an end sends while it decodes a large message. Receiving
// it shows that the link works; peers that do not support it ignore it.
const methodBusy = "peering.busy"

const (
	// probeDelayWithCalls is how long nothing may be received on a link with calls in progress
	// before it is probed. With this value and the usual AnswerTimeout, a call with a timeout
	// of 700 ms can be retried on a new link. Once the link has answered a probe, the calls
	// themselves are slow, and the next probe waits for AnswerTimeout: a holder with 42 links
	// then sent 93 probes per second during its calls for advice instead of 155 (counted over
	// 25 s).
	probeDelayWithCalls = 100 * time.Millisecond
	// firstAnswerFactor is the factor by which AnswerTimeout is extended until something has
	// been received on a link. A new connection without an answer indicates a busy box rather
	// than a silent connection, and another connection would only add to its load. With a
	// holder that ran 5.5 times slower for 6 s, 33 links were discarded instead of 70.
	firstAnswerFactor = 4
	// recheckDelay is the time between finding an answer overdue and discarding the link. Data
	// that arrived while this process was not scheduled is read in that time.
	recheckDelay = 10 * time.Millisecond
)

// check probes the link if that is due. It returns when the next check is due, or silent if
// nothing was received for too long after a probe.
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

// nextCheck returns when the link must be checked next. k.mu is held.
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

// answerDeadline returns by when data must be received on a link that is being probed.
func (k *link) answerDeadline(now time.Time) time.Time {
	answer := k.links.settings.AnswerTimeout
	if !k.hasReceived() {
		answer *= firstAnswerFactor
	}
	if k.probedAt.IsZero() {
		// The probe has not been written yet. It will be soon, because writes have a deadline.
		return now.Add(answer)
	}
	return ordered.Later(k.lastReceivedAt(now), k.probedAt).Add(answer)
}

// nextProbe returns when the link must be probed next.
func (k *link) nextProbe(now time.Time) time.Time {
	s, received := &k.links.settings, k.lastReceivedAt(now)
	switch {
	case k.calls == 0:
		return received.Add(s.ProbeAfter)
	case received.Equal(k.answeredAt):
		return ordered.Later(received, k.waitingSince).Add(min(s.ProbeAfter, s.AnswerTimeout))
	default:
		return ordered.Later(received, k.waitingSince).Add(min(s.ProbeAfter, probeDelayWithCalls))
	}
}

// hasReceived reports whether any data has been received on the link.
func (k *link) hasReceived() bool { return k.conn.LastReceivedAt().After(k.conn.OpenedAt()) }

// lastReceivedAt returns when data was last received on the link. It returns now while a
// message is being decoded, because nothing is read meanwhile and that does not count as
// silence.
func (k *link) lastReceivedAt(now time.Time) time.Time {
	if !k.reading.Load() {
		return now
	}
	return k.conn.LastReceivedAt()
}

// probe sends one probe and waits for its answer.
func (k *link) probe() {
	defer k.finishProbe()
	ping, err := k.rpc.begin(methodPing, nil)
	if err != nil {
		// The link is closed.
		return
	}
	k.mu.Lock()
	// Data written before the probe may still be in transit.
	k.probedAt = ordered.Later(k.links.settings.Now(), k.deliveredBy)
	k.mu.Unlock()
	// An error is either an answer as well, or means that the link is closed.
	_ = ping.wait(k.links.ctx, nil)
}

// finishProbe records the end of a probe and schedules the next check.
func (k *link) finishProbe() {
	now := k.links.settings.Now()
	k.mu.Lock()
	k.probing, k.answeredAt = false, k.conn.LastReceivedAt()
	due := k.nextCheck(now)
	k.mu.Unlock()
	k.links.checkTimer.scheduleBy(now, due)
}

// beginCall records the start of a call on the link. An urgent call has the link probed at
// once.
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

// endCall records the end of a call on the link.
func (k *link) endCall() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls--
}
