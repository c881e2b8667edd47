// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package runtime

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"saddlevane/models/effect"
	"saddlevane/models/event"
	"saddlevane/models/request"
	"saddlevane/models/verdict"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
)

// RequestSettings limits callers' requests.
type RequestSettings struct {
	// MaxAnswerBytes is the maximum size of a target's response, in bytes.
	MaxAnswerBytes int64
	// MaxPending is the maximum number of unanswered requests.
	MaxPending int
	// MaxRetainedBytes limits the bodies of the answers that are retained for repeated requests.
	MaxRetainedBytes int64
	// Connections holds the timeouts of the open connections to targets.
	Connections Connections
}

// Incoming is a caller's request with everything that is forwarded to a target.
type Incoming struct {
	Pool   string
	Class  string
	Key    request.Key
	Method string
	// Path is the part of the caller's URL after the class, including the query.
	Path   string
	Header http.Header
	Body   []byte
	// Forwarded means that another entry box has forwarded the request, Delegated that this box
	// must send it to one of its own targets.
	Forwarded, Delegated bool
	// Budget is how long the caller will still wait, or 0 for the deadline of the class.
	Budget time.Duration
}

// digest hashes the pool, class, method, path and body, by which a repeated request with the same
// key is compared with the first one.
func (in *Incoming) digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{in.Pool, in.Class, in.Method, in.Path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(in.Body)
	return d.Sum64()
}

// Result is the final answer to a caller's request.
type Result struct {
	ID      request.ID
	Status  int
	Verdict verdict.Verdict
	Header  http.Header
	Body    []byte
	Target  string
	Waited  time.Duration
	// Refusal is set if the answer does not come from a target.
	Refusal *request.Refusal
}

// Requests is the adapter for callers' requests: it holds them while they are pending, sends them
// to targets and retains answers for repeated requests.
type Requests struct {
	settings   RequestSettings
	loop       *Loop
	targets    *targetClient
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines conc.WaitGroup

	mu      sync.Mutex
	lastID  request.ID
	pending map[request.ID]*pendingRequest
	// retained holds the requests whose answers are retained, oldest first.
	retained      []request.ID
	retainedBytes int64
}

// pendingRequest is the state of one request. After its answer was delivered it may remain, with
// retainedBytes above 0, to answer repeated requests.
type pendingRequest struct {
	incoming      Incoming
	done          chan Result
	answers       map[int]Result
	retainedBytes int64
}

// NewRequests returns the adapter.
func NewRequests(s RequestSettings, loop *Loop) *Requests {
	ctx, cancel := context.WithCancel(context.Background())
	return &Requests{
		settings: s, loop: loop, targets: newTargetClient(s.MaxAnswerBytes, s.Connections, loop), ctx: ctx, cancel: cancel,
		pending: map[request.ID]*pendingRequest{},
	}
}

// Close cancels the exchanges in progress and waits for their goroutines.
func (r *Requests) Close() {
	r.cancel()
	r.goroutines.Wait()
	r.targets.close()
}

// Serve processes a caller's request and waits for its final answer. It returns false if ctx is
// cancelled first, that is, if the caller disconnects.
func (r *Requests) Serve(ctx context.Context, in Incoming) (Result, bool) {
	id, k, ok := r.add(in)
	if !ok {
		return refusalResult(0, tooManyRefusal()), true
	}
	r.loop.Post(event.RequestArrived{Arrival: request.Arrival{
		ID: id, Pool: in.Pool, Class: in.Class, Key: in.Key, Digest: in.digest(), Forwarded: in.Forwarded, Delegated: in.Delegated, Budget: in.Budget,
	}})
	select {
	case result := <-k.done:
		return result, true
	case <-ctx.Done():
		r.loop.Post(event.RequestAbandoned{ID: id})
		return Result{}, false
	case <-r.loop.ctx.Done():
		return refusalResult(id, request.Refusal{
			Status: http.StatusServiceUnavailable, Verdict: verdict.MayHaveRun, Reason: "this entry box has stopped",
		}), true
	}
}

// tooManyRefusal returns the refusal of a request beyond MaxPending.
func tooManyRefusal() request.Refusal {
	return request.Refusal{
		Status: http.StatusServiceUnavailable, Verdict: verdict.NotRun,
		Reason: "too many requests are unanswered at this entry box", RetryAfter: time.Second,
	}
}

// refusalResult returns the result for a refused request.
func refusalResult(id request.ID, f request.Refusal) Result {
	return Result{ID: id, Status: f.Status, Verdict: f.Verdict, Refusal: &f}
}

// add assigns an ID to a request and registers it. It returns false if MaxPending requests are
// unanswered.
func (r *Requests) add(in Incoming) (request.ID, *pendingRequest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending)-len(r.retained) >= r.settings.MaxPending {
		return 0, nil, false
	}
	r.lastID++
	k := &pendingRequest{incoming: in, done: make(chan Result, 1), answers: map[int]Result{}}
	r.pending[r.lastID] = k
	return r.lastID, k, true
}

// get returns a registered request, or nil.
func (r *Requests) get(id request.ID) *pendingRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pending[id]
}

// send sends a request to a target in the background and posts a TargetAnswered event.
func (r *Requests) send(e effect.SendRequest) {
	k := r.get(e.ID)
	if k == nil {
		return
	}
	r.goroutines.Go(func() {
		result, err := r.targets.exchange(r.ctx, e, &k.incoming)
		ended := event.TargetAnswered{ID: e.ID, Attempt: e.Attempt, Target: e.Target, Verdict: verdict.Of(err)}
		if err != nil {
			ended.Reason = err.Error()
			ended.Leaving, ended.Busy = refusalCause(err)
			_, ended.Silent = errors.AsType[*unresponsiveConnError](err)
		} else {
			ended.Leaving = result.Header.Get(request.HeaderLeaving) != ""
			r.recordAnswer(e.ID, e.Attempt, result)
		}
		r.loop.Post(ended)
	})
}

// recordAnswer stores the answer of one attempt until it is delivered or dropped.
func (r *Requests) recordAnswer(id request.ID, attempt int, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k := r.pending[id]; k != nil {
		k.answers[attempt] = result
	}
}

// deliver sends the answer of one attempt of request e.From to the caller of e.To, which may be a
// repetition of e.From.
func (r *Requests) deliver(e effect.Deliver) {
	r.mu.Lock()
	defer r.mu.Unlock()
	to := r.pending[e.To]
	if to == nil {
		return
	}
	result, ok := r.answerOf(e)
	if !ok {
		result = refusalResult(e.To, request.Refusal{
			Status: http.StatusConflict, Verdict: verdict.Ran, Reason: "the request has run, but its answer is no longer kept",
		})
	}
	result.ID, result.Waited = e.To, e.Waited
	to.done <- result
	if e.To != e.From {
		delete(r.pending, e.To)
	}
	if e.Retain {
		r.retainAnswer(e.From)
	}
}

// answerOf returns the stored answer that e refers to.
func (r *Requests) answerOf(e effect.Deliver) (Result, bool) {
	from := r.pending[e.From]
	if from == nil {
		return Result{}, false
	}
	result, ok := from.answers[e.Attempt]
	return result, ok
}

// retainAnswer marks the answers of a request as retained, unless they are already, and drops the
// oldest retained requests while the total exceeds MaxRetainedBytes.
func (r *Requests) retainAnswer(id request.ID) {
	k := r.pending[id]
	if k == nil || k.retainedBytes > 0 {
		return
	}
	k.incoming = Incoming{}
	k.retainedBytes = 1
	for _, a := range k.answers {
		k.retainedBytes += int64(len(a.Body))
	}
	r.retainedBytes += k.retainedBytes
	r.retained = append(r.retained, id)
	for r.retainedBytes > r.settings.MaxRetainedBytes && len(r.retained) > 1 {
		r.drop(r.retained[0])
	}
}

// drop removes a request with its answers. The caller holds r.mu.
func (r *Requests) drop(id request.ID) {
	if k := r.pending[id]; k != nil {
		r.retainedBytes -= k.retainedBytes
		delete(r.pending, id)
	}
	if len(r.retained) > 0 && r.retained[0] == id {
		r.retained = r.retained[1:]
	}
}

// refuse sends a refusal to the caller and removes the request.
func (r *Requests) refuse(e effect.Refuse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k := r.pending[e.To]; k != nil {
		k.done <- refusalResult(e.To, e.Refusal)
		delete(r.pending, e.To)
	}
}

// forget removes a request with its answers.
func (r *Requests) forget(id request.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop(id)
}
