// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package runtime

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"saddlevane/models/request"
)

// ResultHeader returns the header of the response to a caller: the target's header without
// droppedHeaders, and the headers that saddlevane adds to all responses and to refusals.
func ResultHeader(r Result) http.Header {
	header := http.Header{}
	for name, values := range r.Header {
		header[name] = values
	}
	for _, name := range droppedHeaders {
		header.Del(name)
	}
	header.Del(request.HeaderLeaving)
	header.Set(request.HeaderVerdict, string(r.Verdict))
	if r.Target != "" {
		header.Set(request.HeaderTarget, r.Target)
	}
	if r.Waited > 0 {
		header.Set(request.HeaderWaited, strconv.FormatInt(r.Waited.Milliseconds(), 10))
	}
	if r.Refusal != nil {
		refusalHeader(header, r.Refusal)
	}
	return header
}

// refusalHeader adds the headers of a refusal.
func refusalHeader(header http.Header, f *request.Refusal) {
	header.Set("Content-Type", "application/json")
	if f.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
		header.Set(headerRetryMillis, strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
	}
	if !f.Key.IsZero() {
		header.Set(request.HeaderKey, f.Key.String())
	}
}

// headerRetryMillis carries the value of Retry-After in milliseconds, for callers that can retry
// earlier than after a whole second.
const headerRetryMillis = "Saddlevane-Retry-After-Ms"

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	request.Refusal
	RetryAfter int64  `json:"retry_after_ms,omitempty"`
	Key        string `json:"key,omitempty"`
}

// ResultBody returns the body of the response to a caller: the target's, or a JSON description of
// the refusal.
func ResultBody(r Result) []byte {
	if r.Refusal == nil {
		return r.Body
	}
	body, err := json.Marshal(refusalBody{
		Refusal: *r.Refusal, RetryAfter: int64(r.Refusal.RetryAfter / time.Millisecond), Key: r.Refusal.Key.String(),
	})
	if err != nil {
		return nil
	}
	return append(body, '\n')
}
