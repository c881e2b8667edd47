// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/stream"
)

type fakeStream struct {
	records []stream.Record
}

func (s *fakeStream) compacted() []stream.Record {
	last := map[string]stream.Record{}
	for _, r := range s.records {
		last[r.Key] = r
	}
	var all []stream.Record
	for _, r := range s.records {
		if n := last[r.Key]; n.Offset == r.Offset && !r.IsTombstone() {
			all = append(all, r)
		}
	}
	return all
}

func (w *world) append(b *fakeBox, e exchange.Append, back func(time.Duration, exchange.Event)) {
	ended := func(d time.Duration, offset int64, err error) {
		back(d, exchange.AppendEnded{Purpose: e.Purpose, Number: e.Number, Offset: offset, Err: err})
	}
	if w.logDown || b.logUnreachable {
		ended(w.delay(), 0, stream.ErrNotDone)
		return
	}
	if w.dropsJournalAppends && e.Purpose == exchange.ForJournal {
		ended(900*time.Millisecond, 0, fmt.Errorf("no answer"))
		return
	}
	if w.rng.Float64() < w.unansweredAppendShare {
		if w.rng.Intn(2) == 0 {
			w.after(time.Duration(w.rng.Intn(4000))*time.Millisecond, func() { w.applyAppend(e.Append) })
		} else {
			w.after(w.delay(), func() { w.applyAppend(e.Append) })
		}
		ended(900*time.Millisecond, 0, fmt.Errorf("no answer"))
		return
	}
	w.after(w.delay(), func() {
		offset, err := w.applyAppend(e.Append)
		ended(w.appendDelay+w.delay(), offset, err)
	})
}

func (w *world) applyAppend(a stream.Append) (int64, error) {
	s := w.streams[a.Stream]
	end := int64(len(s.records))
	if a.ExpectedEnd != nil && *a.ExpectedEnd != end {
		return 0, &stream.EndMismatchError{End: end}
	}
	if a.Writer != nil {
		switch {
		case a.Writer.Epoch < w.writerEpoch:
			return 0, stream.ErrFenced
		case a.Writer.Epoch == w.writerEpoch && a.Writer.Sequence <= w.writerSequence:
			return 0, stream.ErrDuplicateSequence
		}
		w.writerEpoch, w.writerSequence = a.Writer.Epoch, a.Writer.Sequence
	}
	for _, r := range a.Records {
		r.Offset = int64(len(s.records))
		s.records = append(s.records, r)
	}
	return int64(len(s.records)) - 1, nil
}

func (w *world) loadJobs(b *fakeBox, e exchange.LoadJobs, back func(time.Duration, exchange.Event)) {
	if w.logDown || b.logUnreachable {
		back(100*time.Millisecond, exchange.JobsLoaded{Epoch: e.Epoch, Err: stream.ErrNotDone})
		return
	}
	back(5*time.Millisecond, exchange.JobsLoaded{Epoch: e.Epoch, Records: w.streams[stream.Jobs].compacted()})
}
