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

// maxBufferedBody is how much of an answer is buffered before its call counts as answered, in
// bytes. A page of the log has 1 MB.
const maxBufferedBody = 4 << 20

// try is one of the two tries of a retryableCall.
type try struct {
	*attempt
	cancel context.CancelFunc
	// answeredAt is when the header of the answer was received.
	answeredAt time.Time
	resp       *http.Response
	err        error
	// done reports that the retryableCall has handled the end of this try.
	done bool
}

// run makes the request and reads the answer until it is complete or maxBufferedBody is
// reached.
func (y *try) run(t *Transport, via *http.Transport) {
	y.resp, y.err = via.RoundTrip(y.req)
	y.answeredAt = y.now()
	if y.err != nil {
		y.cancel()
		return
	}
	body := y.resp.Body
	kept, err := io.ReadAll(io.LimitReader(body, maxBufferedBody))
	switch {
	case err != nil:
		_ = body.Close()
		y.resp, y.err = nil, err
	case len(kept) < maxBufferedBody:
		_ = body.Close()
		y.resp.Body = io.NopCloser(bytes.NewReader(kept))
	default:
		rest := &watchedBody{ReadCloser: body, onError: func(err error) { t.reportUnanswered(y.attempt, err) }}
		y.resp.Body = &largeBody{Reader: io.MultiReader(bytes.NewReader(kept), rest), body: body, cancel: y.cancel}
		return
	}
	y.cancel()
}

// largeBody is the body of an answer of which only the beginning is buffered. The try lasts
// until the body is closed.
type largeBody struct {
	io.Reader
	body   io.Closer
	cancel context.CancelFunc
}

// Close ends the try.
func (l *largeBody) Close() error {
	defer l.cancel()
	return l.body.Close()
}
