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

// maxAppendBytes bounds one append, in bytes.
const maxAppendBytes = 16 << 20

// logStandin is the platform's log, kept in memory.
type logStandin struct {
	*http.ServeMux
	faults    faultState
	limiter   *rate.Limiter
	retention time.Duration

	mu       sync.Mutex
	first    int64
	records  []platform.Record
	appended chan struct{}
	appends  int64
}

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

func (l *logStandin) expire(before int64) {
	for len(l.records) > 0 && l.records[0].At < before {
		l.records = l.records[1:]
		l.first++
	}
}

// trim forgets all records up to an offset, as age would.
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

func (l *logStandin) showCount(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	httpjson.Write(w, http.StatusOK, logCount{Appends: l.appends, First: l.first, Next: l.first + int64(len(l.records))})
}
