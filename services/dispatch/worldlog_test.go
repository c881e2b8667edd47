// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/stream"
)

// fakeStream is a stream of the simulated log.
type fakeStream struct {
	records []stream.Record
}

// compacted returns the newest record of each key, without deleted keys, as log compaction leaves
// them.
func (s *fakeStream) compacted() []stream.Record {
	newest := map[string]stream.Record{}
	for _, r := range s.records {
		newest[r.Key] = r
	}
	var all []stream.Record
	for _, r := range s.records {
		if n := newest[r.Key]; n.Offset == r.Offset && !r.IsTombstone() {
			all = append(all, r)
		}
	}
	return all
}

// append carries out an append for a box. Depending on the injected faults, the append is rejected,
// dropped, or carried out without an answer, up to 4 s late.
func (w *world) append(b *fakeBox, e exchange.Append, post func(time.Duration, exchange.Event)) {
	respond := func(d time.Duration, offset int64, err error) {
		post(d, exchange.AppendEnded{Purpose: e.Purpose, Number: e.Number, Offset: offset, Err: err})
	}
	if w.logDown || b.logUnreachable {
		respond(w.delay(), 0, stream.ErrNotDone)
		return
	}
	if w.dropsJournalAppends && e.Purpose == exchange.ForJournal {
		respond(900*time.Millisecond, 0, fmt.Errorf("no answer"))
		return
	}
	if w.rng.Float64() < w.unansweredAppendShare {
		if w.rng.Intn(2) == 0 {
			w.after(time.Duration(w.rng.Intn(4000))*time.Millisecond, func() { w.applyAppend(e.Append) })
		} else {
			w.after(w.delay(), func() { w.applyAppend(e.Append) })
		}
		respond(900*time.Millisecond, 0, fmt.Errorf("no answer"))
		return
	}
	w.after(w.delay(), func() {
		offset, err := w.applyAppend(e.Append)
		respond(w.appendDelay+w.delay(), offset, err)
	})
}

// applyAppend appends records to a stream and returns the offset of the last. It returns an error
// if the stream does not end where the append expects, or if the writer is fenced or its
// sequence number is not the next one.
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
		case a.Writer.Epoch == w.writerEpoch && a.Writer.Sequence > w.writerSequence+1:
			return 0, stream.ErrOutOfSequence
		}
		w.writerEpoch, w.writerSequence = a.Writer.Epoch, a.Writer.Sequence
	}
	for _, r := range a.Records {
		r.Offset = int64(len(s.records))
		s.records = append(s.records, r)
	}
	return int64(len(s.records)) - 1, nil
}

// loadJobs delivers the newest records of all jobs to a box.
func (w *world) loadJobs(b *fakeBox, e exchange.LoadJobs, respond func(time.Duration, exchange.Event)) {
	if w.logDown || b.logUnreachable {
		respond(100*time.Millisecond, exchange.JobsLoaded{Epoch: e.Epoch, Err: stream.ErrNotDone})
		return
	}
	respond(5*time.Millisecond, exchange.JobsLoaded{Epoch: e.Epoch, Records: w.streams[stream.Jobs].compacted()})
}
