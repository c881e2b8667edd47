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
	// logQueueSize is how many lines may wait to be written.
	logQueueSize = 1024
	// maxLinesPerSecond bounds the lines of one message in a second.
	maxLinesPerSecond = 300
)

// logWriter writes the reducer's lines beside the loop. A full output costs lines,
// not time; what was left out is counted.
type logWriter struct {
	log   *logrus.Entry
	now   func() time.Time
	queue chan logLine
	tasks conc.WaitGroup

	mu      sync.Mutex
	closed  bool
	second  int64
	written map[string]int
	dropped map[string]int
}

// logLine is a note and when it was made.
type logLine struct {
	event exchange.LogEvent
	at    time.Time
}

func newLogWriter(log *logrus.Entry, now func() time.Time) *logWriter {
	n := &logWriter{log: log, now: now, queue: make(chan logLine, logQueueSize), written: map[string]int{}, dropped: map[string]int{}}
	n.tasks.Go(n.run)
	return n
}

// close waits until all lines are written.
func (n *logWriter) close() {
	n.mu.Lock()
	if !n.closed {
		n.closed = true
		close(n.queue)
	}
	n.mu.Unlock()
	n.tasks.Wait()
}

// write queues a line, or counts it among those left out.
func (n *logWriter) write(e exchange.LogEvent) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := n.now()
	if at.Unix() != n.second {
		n.second = at.Unix()
		clear(n.written)
		n.reportDropped(at)
	}
	n.written[e.Message]++
	if n.written[e.Message] > maxLinesPerSecond {
		n.dropped[e.Message]++
		return
	}
	n.enqueue(logLine{event: e, at: at})
}

// reportDropped says how many lines were left out.
func (n *logWriter) reportDropped(at time.Time) {
	for message, count := range n.dropped {
		delete(n.dropped, message)
		n.enqueue(logLine{at: at, event: exchange.LogEvent{Message: "lines were left out", Fields: []exchange.LogField{
			{Name: "of", Value: message}, {Name: "count", Value: count},
		}}})
	}
}

// enqueue queues a line if there is room.
func (n *logWriter) enqueue(l logLine) {
	if n.closed {
		return
	}
	select {
	case n.queue <- l:
	default:
		n.dropped[l.event.Message]++
	}
}

// run writes lines until close.
func (n *logWriter) run() {
	for l := range n.queue {
		fields := make(logrus.Fields, len(l.event.Fields))
		for _, f := range l.event.Fields {
			fields[f.Name] = f.Value
		}
		n.log.WithTime(l.at).WithFields(fields).Info(l.event.Message)
	}
}
