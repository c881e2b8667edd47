// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"cmp"
	"context"
	"slices"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/exchange"

	"github.com/sourcegraph/conc"
)

const (
	// boxesPerInquiry is how many boxes are asked at the same time which box holds the cell.
	boxesPerInquiry = 4
	// inquiryTimeout is how long an inquiry waits for answers. Callers wait for it, and a box that
	// can be reached answers within a few milliseconds.
	inquiryTimeout = 100 * time.Millisecond
	// inquiryInterval is the minimum time between two inquiries. A box that is cut off with its
	// failure domain finds no other holder however often it asks.
	inquiryInterval = 400 * time.Millisecond
)

// inquiry tracks the inquiries of a box after the holder. The box makes one if the holder that it knows
// no longer serves and the log does not name another, because the log does not answer this box. Loop.mu
// protects it.
type inquiry struct {
	// boxes are the other boxes, those that read the log for others first; nextBox is the index of the
	// first one to ask next.
	boxes   []claim.Member
	nextBox int
	running bool
	// stopped is set once no inquiry may begin any more.
	stopped bool
	nextAt  time.Time
}

// addBoxes adds or updates boxes that have announced themselves.
func (q *inquiry) addBoxes(self string, members []claim.Member) {
	for _, m := range members {
		isSame := func(other claim.Member) bool { return other.Box == m.Box }
		q.boxes = slices.DeleteFunc(q.boxes, isSame)
		if m.Box != self {
			q.boxes = append(q.boxes, m)
		}
	}
	slices.SortFunc(q.boxes, func(a, b claim.Member) int {
		return cmp.Or(cmp.Compare(b.Size, a.Size), cmp.Compare(a.Box, b.Box))
	})
}

// begin returns the boxes to ask now, without the holder that is known, or none if inquiries are stopped,
// one is in progress or the last one was too recent. Successive inquiries ask different boxes.
func (q *inquiry) begin(now time.Time, known string) []claim.Member {
	if q.running || q.stopped || now.Before(q.nextAt) {
		return nil
	}
	var asked []claim.Member
	for range q.boxes {
		if len(asked) == boxesPerInquiry {
			break
		}
		m := q.boxes[q.nextBox%len(q.boxes)]
		q.nextBox = (q.nextBox + 1) % len(q.boxes)
		if m.Box != known {
			asked = append(asked, m)
		}
	}
	q.running = len(asked) > 0
	return asked
}

// end ends the inquiry in progress.
func (q *inquiry) end(now time.Time) {
	q.running = false
	q.nextAt = now.Add(inquiryInterval)
}

// inquireHolder asks other boxes in the background which box holds the cell. It reports whether an
// inquiry is in progress.
func (l *Loop) inquireHolder() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if asked := l.inquiry.begin(l.now(), l.holder().Box); len(asked) > 0 {
		l.tasks.Go(func() { l.runInquiry(asked) })
	}
	return l.inquiry.running
}

// runInquiry asks boxes which box holds the cell and records the newest claim that they know.
func (l *Loop) runInquiry(asked []claim.Member) {
	ctx, cancel := context.WithTimeout(l.ctx, inquiryTimeout)
	defer cancel()
	var calls conc.WaitGroup
	for _, m := range asked {
		calls.Go(func() {
			a, _, err := l.peers.forward(ctx, m.Address, Request{Holder: true}, false)
			if err == nil && l.recordReportedClaim(a.Holder) {
				l.logWriter.write(exchange.LogEvent{Message: "another box reports the holder", Fields: []exchange.LogField{
					{Name: "reported_by", Value: m.Box}, {Name: "holder", Value: a.Holder.Box}, {Name: "claim", Value: a.Holder.Epoch},
				}})
			}
		})
	}
	calls.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inquiry.end(l.now())
}
