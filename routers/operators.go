// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routers

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"saddlevane/models/effect"
	"saddlevane/models/record"
	"saddlevane/models/spec"
	"saddlevane/models/status"
	"saddlevane/modules/httpjson"
	"saddlevane/modules/version"
	"saddlevane/services/core"
	"saddlevane/services/runtime"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// publishTimeout is the maximum time that a publication waits for the log's
// decision.
const publishTimeout = 10 * time.Second

// Operators serves the endpoints of the operators' tool, metrics and dumps.
type Operators struct{ loop *runtime.Loop }

// NewOperators returns the handler of the operators' port. metrics is served at
// /metrics.
func NewOperators(loop *runtime.Loop, metrics prometheus.Gatherer) http.Handler {
	o := &Operators{loop: loop}
	r := httprouter.New()
	r.GET("/v1/status", queryHandler(loop, func(now time.Time, c *core.Core) status.Process { return c.Status(now) }))
	r.GET("/v1/queue", queryHandler(loop, func(_ time.Time, c *core.Core) []status.Work { return c.Work() }))
	r.GET("/v1/places", queryHandler(loop, func(_ time.Time, c *core.Core) []status.Place { return c.Places(status.MaxListed) }))
	r.GET("/v1/dump", queryHandler(loop, func(now time.Time, c *core.Core) status.Dump { return c.Dump(now) }))
	r.GET("/v1/files/:name", o.file)
	r.POST("/v1/files/:name", o.publish)
	r.GET("/v1/explain", o.explain)
	r.GET("/v1/version", o.version)
	r.GET("/healthz", handleHealth)
	r.GET("/readyz", readinessHandler(loop))
	r.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(metrics, promhttp.HandlerOpts{}))
	return r
}

// queryHandler returns a handler that answers with the value that f reads from the
// reducer.
func queryHandler[T any](loop *runtime.Loop, f func(time.Time, *core.Core) T) httprouter.Handle {
	return func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		var v T
		if !loop.Query(func(now time.Time, c *core.Core) { v = f(now, c) }) {
			httpjson.Error(w, http.StatusServiceUnavailable, "this entry box has stopped")
			return
		}
		httpjson.Write(w, http.StatusOK, v)
	}
}

// file responds with the file in force under a name.
func (o *Operators) file(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	var f status.File
	found := false
	o.loop.Query(func(_ time.Time, c *core.Core) { f, found = c.File(p.ByName("name")) })
	if !found {
		httpjson.Error(w, http.StatusNotFound, "no file of this name is in force at this entry box")
		return
	}
	httpjson.Write(w, http.StatusOK, f)
}

// publish publishes the body as a file and waits for the outcome, up to publishTimeout.
func (o *Operators) publish(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	replaces, err := strconv.ParseInt(r.URL.Query().Get("replaces"), 10, 64)
	if err != nil || replaces < 0 {
		httpjson.Error(w, http.StatusBadRequest, "replaces: want the revision in force, or 0 for a new file")
		return
	}
	id := r.URL.Query().Get("id")
	if id == "" || len(id) > maxPublicationID {
		httpjson.Error(w, http.StatusBadRequest, "id: want a unique name for this publication")
		return
	}
	data, err := httpjson.ReadAll(r.Body, spec.MaxFileBytes)
	if errors.Is(err, httpjson.ErrTooLarge) {
		httpjson.Error(w, http.StatusRequestEntityTooLarge, "the file is too large")
		return
	}
	if err != nil {
		httpjson.Error(w, http.StatusBadRequest, "the body could not be read")
		return
	}
	result := o.loop.Publish(r.Context(), record.Publish{
		ID: id, File: p.ByName("name"), Replaces: replaces, Data: string(data),
	}, publishTimeout)
	httpjson.Write(w, publishStatus(result.Outcome), result)
}

// maxPublicationID is the maximum length of a publication's ID, in bytes.
const maxPublicationID = 128

// publishStatus returns the HTTP status for the outcome of a publication.
func publishStatus(o effect.Outcome) int {
	switch o {
	case effect.Accepted:
		return http.StatusOK
	case effect.Refused:
		return http.StatusConflict
	default:
		return http.StatusGatewayTimeout
	}
}

// explain responds with the reasons for the state of a task that this box holds.
func (o *Operators) explain(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var e status.Explanation
	found := false
	o.loop.Query(func(_ time.Time, c *core.Core) { e, found = c.Explain(r.URL.Query().Get("task")) })
	if !found {
		httpjson.Error(w, http.StatusNotFound, "this entry box holds no such task; ask the holder of its shard")
		return
	}
	httpjson.Write(w, http.StatusOK, e)
}

func (o *Operators) version(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	httpjson.Write(w, http.StatusOK, version.Current())
}
