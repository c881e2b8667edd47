// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routers

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"saddlevane/models/evacuation"
	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/modules/httpjson"
	"saddlevane/modules/version"
	"saddlevane/services/dispatch"
	"saddlevane/services/jobrun"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// maxJobBody is the maximum size of a submitted job, in bytes.
const maxJobBody = 256 << 10

// Jobs serves the API for submitted jobs, and the operators' endpoints of a box that
// serves jobs.
type Jobs struct{ loop *jobrun.Loop }

// NewJobs returns the handler of the jobs API.
func NewJobs(loop *jobrun.Loop) http.Handler {
	j := &Jobs{loop: loop}
	r := httprouter.New()
	r.POST("/v1/jobs", j.submit)
	r.GET("/v1/jobs/:id", j.state)
	r.DELETE("/v1/jobs/:id", j.cancel)
	r.GET("/v1/jobs/:id/explain", j.explain)
	r.GET("/v1/queues/:name", j.countWaitingJobs)
	r.GET("/v1/cell", j.cellStatus)
	r.PUT("/v1/evacuations/:domain", j.requestEvacuation)
	r.DELETE("/v1/evacuations/:domain", j.withdrawEvacuation)
	r.GET("/v1/version", j.version)
	r.GET("/healthz", handleHealth)
	r.GET("/readyz", j.ready)
	r.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(loop.Metrics().Gatherer(), promhttp.HandlerOpts{}))
	return r
}

// submit accepts a job whose body is a job.Submission.
func (j *Jobs) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxJobBody))
	dec.DisallowUnknownFields()
	var s job.Submission
	if err := dec.Decode(&s); err != nil {
		httpjson.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := s.Check(); err != nil {
		httpjson.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	if c := j.loop.Config(); c != nil {
		if _, ok := c.Queues[s.Queue]; !ok {
			httpjson.Error(w, http.StatusNotFound, "no such queue: "+strconv.Quote(s.Queue))
			return
		}
	}
	j.writeAnswer(w, j.loop.Serve(r.Context(), jobrun.Request{Submit: &s}))
}

// state responds with the state of a job.
func (j *Jobs) state(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	j.writeAnswer(w, j.loop.Serve(r.Context(), jobrun.Request{State: job.ID(p.ByName("id"))}))
}

// cancel cancels a job.
func (j *Jobs) cancel(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	j.writeAnswer(w, j.loop.Serve(r.Context(), jobrun.Request{Cancel: job.ID(p.ByName("id"))}))
}

// explain responds with the reasons for the state of a job.
func (j *Jobs) explain(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	j.writeAnswer(w, j.loop.Serve(r.Context(), jobrun.Request{Explain: job.ID(p.ByName("id"))}))
}

// countWaitingJobs responds with the number of waiting jobs of a queue.
func (j *Jobs) countWaitingJobs(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	j.writeAnswer(w, j.loop.Serve(r.Context(), jobrun.Request{Count: p.ByName("name")}))
}

// cellStatus answers with the state of the cell as known to this box.
func (j *Jobs) cellStatus(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	var s job.CellStatus
	if !j.loop.Query(func(now time.Time, c *dispatch.Core) { s = c.Status(now) }) {
		httpjson.Error(w, http.StatusServiceUnavailable, "this entry box has stopped")
		return
	}
	s.Relays = j.loop.Relays()
	httpjson.Write(w, http.StatusOK, s)
}

// requestEvacuation requests that no task is started any more in a failure domain.
func (j *Jobs) requestEvacuation(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	j.setEvacuation(w, r, p.ByName("domain"), true)
}

// withdrawEvacuation withdraws the request to evacuate a failure domain.
func (j *Jobs) withdrawEvacuation(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	j.setEvacuation(w, r, p.ByName("domain"), false)
}

// setEvacuation appends to the log whether a failure domain is to be evacuated.
func (j *Jobs) setEvacuation(w http.ResponseWriter, r *http.Request, domain string, requested bool) {
	if err := evacuation.CheckDomain(domain); err != nil {
		httpjson.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	j.writeAnswer(w, j.loop.SetEvacuation(r.Context(), domain, requested))
}

func (j *Jobs) version(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	httpjson.Write(w, http.StatusOK, version.Current())
}

// ready answers whether this box can serve callers: it has a configuration and
// reaches the log or the holder.
func (j *Jobs) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !j.loop.Ready() {
		httpjson.Error(w, http.StatusServiceUnavailable, "no configuration, or neither the log nor the holder can be reached")
		return
	}
	w.WriteHeader(http.StatusOK)
}

// writeAnswer writes the answer to a call, with the HTTP status of its outcome.
func (j *Jobs) writeAnswer(w http.ResponseWriter, a exchange.Answer) {
	switch a.Outcome {
	case exchange.OK:
		httpjson.Write(w, http.StatusOK, a)
	case exchange.NoJob:
		httpjson.Write(w, http.StatusGone, a)
	case exchange.OverLimit:
		httpjson.Write(w, http.StatusTooManyRequests, a)
	case exchange.MaybeDone:
		httpjson.Write(w, http.StatusGatewayTimeout, a)
	default:
		w.Header().Set(headerRetryAfter, strconv.Itoa(max(1, int(a.RetryAfter.Duration().Seconds()))))
		httpjson.Write(w, http.StatusServiceUnavailable, a)
	}
}

// headerRetryAfter holds the time after which to retry, in whole seconds.
const headerRetryAfter = "Retry-After"
