// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package runtime

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"saddlevane/models/box"
	"saddlevane/models/effect"
	"saddlevane/models/event"
	"saddlevane/models/platform"
	"saddlevane/models/record"
	"saddlevane/modules/httpclient"
	"saddlevane/modules/httpjson"

	"github.com/sourcegraph/conc"
)

// maxPlatformAnswerBytes is the maximum size of one response of the platform, in bytes.
const maxPlatformAnswerBytes = 64 << 20

// readLimit is the maximum number of records requested by one read.
const readLimit = 500

// PlatformSettings configures the access to the platform.
type PlatformSettings struct {
	// LogURL and BoxesURL are the base URLs of the log and of the list of boxes.
	LogURL   string
	BoxesURL string
	// Timeout bounds each call.
	Timeout time.Duration
	// ReadWait is how long a read of the log waits for new records.
	ReadWait time.Duration
	// BoxesInterval is the time between two reads of the list of boxes.
	BoxesInterval time.Duration
	// Connections holds the timeouts of the open connections.
	Connections Connections
}

// Log is the adapter for the platform's log and list of boxes.
type Log struct {
	settings   PlatformSettings
	client     *httpjson.Client
	loop       *Loop
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines conc.WaitGroup
}

// NewLog returns the adapter and starts reading the list of boxes at intervals.
func NewLog(s PlatformSettings, loop *Loop) *Log {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Log{
		settings: s, loop: loop, ctx: ctx, cancel: cancel,
		client: httpjson.NewClient(loop.newClient("log", s.Connections, maxIdleConnsPerHost), maxPlatformAnswerBytes),
	}
	l.goroutines.Go(l.readBoxes)
	return l
}

// Close cancels the calls in progress and waits for their goroutines.
func (l *Log) Close() {
	l.cancel()
	l.goroutines.Wait()
}

// read reads the log in the background and posts a LogRead or LogFailed event.
func (l *Log) read(e effect.ReadLog) {
	l.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, l.settings.Timeout)
		defer cancel()
		ctx = httpclient.WithRetry(ctx, httpclient.Retry{Expected: l.settings.ReadWait, ModifyRetry: disableWait})
		url := fmt.Sprintf("%s/v1/read?from=%d&limit=%d&wait_ms=%d", l.settings.LogURL, e.From, readLimit, l.settings.ReadWait.Milliseconds())
		var answer platform.Read
		if err := l.client.Get(ctx, url, &answer); err != nil {
			l.loop.Post(event.LogFailed{Reason: err.Error()})
			return
		}
		l.loop.Post(readEvent(e.From, answer))
	})
}

// disableWait makes a retried read return immediately.
func disableWait(req *http.Request) {
	query := req.URL.Query()
	query.Set("wait_ms", "0")
	req.URL.RawQuery = query.Encode()
}

// readEvent translates the response to a read from offset from.
func readEvent(from int64, r platform.Read) event.LogRead {
	e := event.LogRead{First: r.First, AtEnd: r.Next <= from}
	for _, rec := range r.Records {
		// A record that cannot be decoded yields an empty envelope, which all processes skip
		// alike.
		envelope, _ := record.Decode([]byte(rec.Data))
		envelope.Parse()
		e.Records = append(e.Records, event.LogRecord{Offset: rec.Offset, At: rec.Time(), Envelope: envelope})
		e.AtEnd = rec.Offset+1 == r.Next
	}
	return e
}

// append appends an envelope in the background and posts an AppendEnded event.
func (l *Log) append(e effect.Append) {
	l.goroutines.Go(func() {
		offset, err := l.appendOnce(e.Envelope)
		ended := event.AppendEnded{ID: e.Envelope.ID, Offset: offset}
		if err != nil {
			ended.Failure = err.Error()
		}
		l.loop.Post(ended)
	})
}

// appendOnce appends an envelope and returns its offset.
func (l *Log) appendOnce(e record.Envelope) (int64, error) {
	data, err := json.Marshal(e)
	if err != nil {
		return 0, fmt.Errorf("encode envelope: %w", err)
	}
	ctx, cancel := context.WithTimeout(l.ctx, l.settings.Timeout)
	defer cancel()
	// Readers ignore a second copy of an envelope, so the append may be retried.
	ctx = httpclient.WithRetry(ctx, httpclient.Retry{})
	var answer platform.Appended
	err = l.client.Post(ctx, l.settings.LogURL+"/v1/append", platform.Append{ID: e.ID, Data: string(data)}, &answer)
	return answer.Offset, err
}

// readBoxes reads the list of boxes at intervals until the adapter is closed.
func (l *Log) readBoxes() {
	ticker := time.NewTicker(l.settings.BoxesInterval)
	defer ticker.Stop()
	for {
		l.readBoxesOnce()
		select {
		case <-ticker.C:
		case <-l.ctx.Done():
			return
		}
	}
}

// readBoxesOnce reads the list of boxes and posts a BoxesRead event. Failures are only logged.
func (l *Log) readBoxesOnce() {
	ctx, cancel := context.WithTimeout(l.ctx, l.settings.Timeout)
	defer cancel()
	ctx = httpclient.WithRetry(ctx, httpclient.Retry{})
	var list box.List
	if err := l.client.Get(ctx, l.settings.BoxesURL+"/v1/boxes", &list); err != nil {
		l.loop.log.WithError(err).Debug("reading the list of boxes failed")
		return
	}
	l.loop.Post(event.BoxesRead{List: list})
}
