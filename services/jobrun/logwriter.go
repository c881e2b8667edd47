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
	// logQueueSize is how many log lines may wait to be written.
	logQueueSize = 1024
	// maxLinesPerSecond bounds the lines with the same message within one second.
	maxLinesPerSecond = 300
)

// logWriter writes log lines in a goroutine of its own, so that a blocked output does not block
// the event loop. Lines that exceed the queue or the rate limit are dropped and counted.
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

// logLine is a log line and the time at which it was queued.
type logLine struct {
	event exchange.LogEvent
	at    time.Time
}

// newLogWriter returns a log writer whose goroutine is running.
func newLogWriter(log *logrus.Entry, now func() time.Time) *logWriter {
	w := &logWriter{log: log, now: now, queue: make(chan logLine, logQueueSize), written: map[string]int{}, dropped: map[string]int{}}
	w.tasks.Go(w.run)
	return w
}

// close stops accepting lines and waits until all queued lines are written.
func (w *logWriter) close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	w.tasks.Wait()
}

// write queues a line, or counts it as dropped if its message exceeds the rate limit.
func (w *logWriter) write(e exchange.LogEvent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.now()
	if at.Unix() != w.second {
		w.second = at.Unix()
		clear(w.written)
		w.reportDropped(at)
	}
	w.written[e.Message]++
	if w.written[e.Message] > maxLinesPerSecond {
		w.dropped[e.Message]++
		return
	}
	w.enqueue(logLine{event: e, at: at})
}

// reportDropped queues a line for each message of which lines were dropped, with their number.
func (w *logWriter) reportDropped(at time.Time) {
	for message, count := range w.dropped {
		delete(w.dropped, message)
		w.enqueue(logLine{at: at, event: exchange.LogEvent{Message: "lines were left out", Fields: []exchange.LogField{
			{Name: "of", Value: message}, {Name: "count", Value: count},
		}}})
	}
}

// enqueue queues a line, or counts it as dropped if the queue is full. w.mu must be held.
func (w *logWriter) enqueue(l logLine) {
	if w.closed {
		return
	}
	select {
	case w.queue <- l:
	default:
		w.dropped[l.event.Message]++
	}
}

// run writes queued lines until close is called.
func (w *logWriter) run() {
	for l := range w.queue {
		fields := make(logrus.Fields, len(l.event.Fields))
		for _, f := range l.event.Fields {
			fields[f.Name] = f.Value
		}
		level := logrus.InfoLevel
		if l.event.Warning {
			level = logrus.WarnLevel
		}
		w.log.WithTime(l.at).WithFields(fields).Log(level, l.event.Message)
	}
}
