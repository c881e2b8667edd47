// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"sync"
	"time"

	"saddlevane/models/exchange"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

const (
	// noteBuffer is how many lines may wait to be written.
	noteBuffer = 1024
	// notesPerSecond bounds the lines of one message in a second.
	notesPerSecond = 300
)

// notes writes the reducer's lines beside the loop. A full output costs lines,
// not time; what was left out is counted.
type notes struct {
	log   *logrus.Entry
	now   func() time.Time
	queue chan line
	tasks conc.WaitGroup

	mu      sync.Mutex
	closed  bool
	second  int64
	written map[string]int
	left    map[string]int
}

// line is a note and when it was made.
type line struct {
	note exchange.LogEvent
	at   time.Time
}

func newNotes(log *logrus.Entry, now func() time.Time) *notes {
	n := &notes{log: log, now: now, queue: make(chan line, noteBuffer), written: map[string]int{}, left: map[string]int{}}
	n.tasks.Go(n.run)
	return n
}

// close waits until all lines are written.
func (n *notes) close() {
	n.mu.Lock()
	if !n.closed {
		n.closed = true
		close(n.queue)
	}
	n.mu.Unlock()
	n.tasks.Wait()
}

// write queues a line, or counts it among those left out.
func (n *notes) write(e exchange.LogEvent) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := n.now()
	if at.Unix() != n.second {
		n.second = at.Unix()
		clear(n.written)
		n.tellLeft(at)
	}
	n.written[e.Message]++
	if n.written[e.Message] > notesPerSecond {
		n.left[e.Message]++
		return
	}
	n.put(line{note: e, at: at})
}

// tellLeft says how many lines were left out.
func (n *notes) tellLeft(at time.Time) {
	for message, count := range n.left {
		delete(n.left, message)
		n.put(line{at: at, note: exchange.LogEvent{Message: "lines were left out", Fields: []exchange.LogField{
			{Name: "of", Value: message}, {Name: "count", Value: count},
		}}})
	}
}

// put queues a line if there is room.
func (n *notes) put(l line) {
	if n.closed {
		return
	}
	select {
	case n.queue <- l:
	default:
		n.left[l.note.Message]++
	}
}

// run writes lines until close.
func (n *notes) run() {
	for l := range n.queue {
		fields := make(logrus.Fields, len(l.note.Fields))
		for _, f := range l.note.Fields {
			fields[f.Name] = f.Value
		}
		n.log.WithTime(l.at).WithFields(fields).Info(l.note.Message)
	}
}
