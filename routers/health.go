// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routers

import (
	"net/http"
	"time"

	"saddlevane/modules/httpjson"
	"saddlevane/services/core"
	"saddlevane/services/runtime"

	"github.com/julienschmidt/httprouter"
)

// health is the response body of a health check.
type health struct {
	OK bool `json:"ok"`
}

// handleHealth answers liveness checks: the process serves HTTP.
func handleHealth(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	httpjson.Write(w, http.StatusOK, health{OK: true})
}

// readinessHandler returns a handler that answers whether the load balancer should
// send callers to this box.
func readinessHandler(loop *runtime.Loop) httprouter.Handle {
	return func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		ok := false
		loop.Query(func(_ time.Time, c *core.Core) { ok = c.Ready() })
		status := http.StatusOK
		if !ok {
			status = http.StatusServiceUnavailable
		}
		httpjson.Write(w, status, health{OK: ok})
	}
}
