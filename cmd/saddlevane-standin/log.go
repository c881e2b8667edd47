// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"saddlevane/models/platform"
	"saddlevane/modules/httpjson"

	"golang.org/x/time/rate"
)

// maxAppendBytes bounds the body of one append.
const maxAppendBytes = 16 << 20

// logStandin stands in for the platform's log and keeps the records in memory.
type logStandin struct {
	*http.ServeMux
	faults    faultState
	limiter   *rate.Limiter
	retention time.Duration

	mu sync.Mutex
	// first is the offset of the first record that is kept.
	first   int64
	records []platform.Record
	// appended is closed and replaced after each append.
	appended chan struct{}
	appends  int64
}

// newLog returns an empty log that accepts perSecond appends per second and keeps records for the
// retention.
func newLog(perSecond float64, retention time.Duration) *logStandin {
	l := &logStandin{
		ServeMux: http.NewServeMux(), retention: retention, appended: make(chan struct{}),
		limiter: rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1)),
	}
	l.HandleFunc("POST /v1/append", l.append)
	l.HandleFunc("GET /v1/read", l.read)
	l.HandleFunc("POST /admin/faults", l.faults.serve)
	l.HandleFunc("POST /admin/trim", l.trim)
	l.HandleFunc("GET /admin/count", l.showCount)
	return l
}

// append answers POST /v1/append.
func (l *logStandin) append(w http.ResponseWriter, r *http.Request) {
	if !l.faults.beforeCall(w) {
		return
	}
	var a platform.Append
	if !httpjson.Decode(w, r, maxAppendBytes, &a) {
		return
	}
	if !l.limiter.Allow() {
		httpjson.Error(w, http.StatusTooManyRequests, "too many appends")
		return
	}
	l.faults.writeAnswer(w, platform.Appended{Offset: l.add(a)})
}

// add appends a record and returns its offset.
func (l *logStandin) add(a platform.Append) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := l.first + int64(len(l.records))
	l.records = append(l.records, platform.Record{Offset: offset, At: time.Now().UnixMilli(), Data: a.Data})
	l.appends++
	close(l.appended)
	l.appended = make(chan struct{})
	return offset
}

// read answers GET /v1/read. It waits up to wait_ms for a record, unless the records from the
// requested offset on have already been removed.
func (l *logStandin) read(w http.ResponseWriter, r *http.Request) {
	if !l.faults.beforeCall(w) {
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		answer, grown := l.recordsFrom(from, limit)
		if len(answer.Records) > 0 || answer.First > from {
			l.faults.writeAnswer(w, answer)
			return
		}
		select {
		case <-grown:
		case <-deadline:
			l.faults.writeAnswer(w, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// recordsFrom returns at most limit records from an offset on, and a channel that is closed at the
// next append.
func (l *logStandin) recordsFrom(from int64, limit int) (platform.Read, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(time.Now().Add(-l.retention).UnixMilli())
	answer := platform.Read{First: l.first, Next: l.first + int64(len(l.records)), Records: []platform.Record{}}
	if from >= l.first && from < answer.Next {
		records := l.records[from-l.first:]
		answer.Records = records[:min(len(records), max(limit, 1))]
	}
	return answer, l.appended
}

// expire removes the records that are older than a time in Unix milliseconds.
func (l *logStandin) expire(before int64) {
	for len(l.records) > 0 && l.records[0].At < before {
		l.records = l.records[1:]
		l.first++
	}
}

// trim removes all records before an offset, as the retention does.
func (l *logStandin) trim(w http.ResponseWriter, r *http.Request) {
	before, _ := strconv.ParseInt(r.URL.Query().Get("before"), 10, 64)
	l.mu.Lock()
	for len(l.records) > 0 && l.first < before {
		l.records = l.records[1:]
		l.first++
	}
	l.mu.Unlock()
	httpjson.Write(w, http.StatusOK, struct{}{})
}

// logCount is the answer to GET /admin/count.
type logCount struct {
	Appends int64 `json:"appends"`
	First   int64 `json:"first"`
	Next    int64 `json:"next"`
}

// showCount answers GET /admin/count.
func (l *logStandin) showCount(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	httpjson.Write(w, http.StatusOK, logCount{Appends: l.appends, First: l.first, Next: l.first + int64(len(l.records))})
}
