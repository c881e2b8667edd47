// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"
)

// keepMost is how much of an answer is read before its call counts as answered, in
// bytes. A page of the log has 1 MB.
const keepMost = 4 << 20

// try is one of the tries of a race.
type try struct {
	*attempt
	cancel context.CancelFunc
	// answeredAt is when the answer began to come.
	answeredAt time.Time
	resp       *http.Response
	err        error
	// over says that the race has taken its end.
	over bool
}

// make carries the try out until its answer is whole, or as large as is kept.
func (y *try) make(t *Transport, on *http.Transport) {
	y.resp, y.err = on.RoundTrip(y.req)
	y.answeredAt = y.now()
	if y.err != nil {
		y.cancel()
		return
	}
	body := y.resp.Body
	kept, err := io.ReadAll(io.LimitReader(body, keepMost))
	switch {
	case err != nil:
		_ = body.Close()
		y.resp, y.err = nil, err
	case len(kept) < keepMost:
		_ = body.Close()
		y.resp.Body = io.NopCloser(bytes.NewReader(kept))
	default:
		rest := &watched{ReadCloser: body, failed: func(err error) { t.unanswered(y.attempt, err) }}
		y.resp.Body = &large{Reader: io.MultiReader(bytes.NewReader(kept), rest), body: body, cancel: y.cancel}
		return
	}
	y.cancel()
}

// large is the body of an answer of which only the beginning is kept. The try goes on
// until it is closed.
type large struct {
	io.Reader
	body   io.Closer
	cancel context.CancelFunc
}

// Close ends the try.
func (l *large) Close() error {
	defer l.cancel()
	return l.body.Close()
}
