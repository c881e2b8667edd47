// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"saddlevane/modules/clock"
	"saddlevane/modules/httpclient"
	"saddlevane/modules/httpjson"
)

// maxResponseBytes bounds the body of a daemon's response.
const maxResponseBytes = 64 << 20

const (
	// callTimeout bounds one call, and dialTimeout the time to open a connection.
	callTimeout = 15 * time.Second
	dialTimeout = 5 * time.Second
	// idleConnTimeout is how long an idle connection is kept.
	idleConnTimeout = 10 * time.Second
	// answerTimeout is how long a read waits on a connection that may be broken before it is
	// repeated. A dump of a large cell takes longer than that and is requested twice.
	answerTimeout = time.Second
)

// client calls the operators' ports of one or more daemons.
type client struct {
	addresses []string
	http      *http.Client
	json      *httpjson.Client
}

// newClient returns a client for a comma-separated list of IP addresses and ports.
func newClient(addresses string) (*client, error) {
	now, err := clock.New()
	if err != nil {
		return nil, err
	}
	c := &client{http: httpclient.New(httpclient.Settings{
		To: "entry box", DialTimeout: dialTimeout, IdleTimeout: idleConnTimeout, MinOverdue: answerTimeout, MaxIdlePerHost: 1, Now: now.Now,
	})}
	c.http.Timeout = callTimeout
	c.json = httpjson.NewClient(c.http, maxResponseBytes)
	for _, a := range strings.Split(addresses, ",") {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, usageError("-address: want IP addresses and ports, got %q", a)
		}
		c.addresses = append(c.addresses, a)
	}
	return c, nil
}

// get reads path from the daemon at address and decodes its JSON response.
func get[T any](ctx context.Context, c *client, address, path string) (T, error) {
	var v T
	ctx = httpclient.WithRetry(ctx, httpclient.Retry{})
	err := c.json.Get(ctx, "http://"+address+path, &v)
	return v, err
}

// getFirst reads path from the daemons in turn and returns the first successful response, or the
// errors of all of them.
func getFirst[T any](ctx context.Context, c *client, path string) (T, error) {
	var errs []error
	for _, a := range c.addresses {
		v, err := get[T](ctx, c, a, path)
		if err == nil {
			return v, nil
		}
		errs = append(errs, fmt.Errorf("%s: %w", a, err))
	}
	var zero T
	return zero, errors.Join(errs...)
}

// getAll reads path from every daemon. It returns the successful responses, each with its
// daemon's address, and the joined errors of the others.
func getAll[T any](ctx context.Context, c *client, path string) ([]daemonAnswer[T], error) {
	var all []daemonAnswer[T]
	var errs []error
	for _, a := range c.addresses {
		v, err := get[T](ctx, c, a, path)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", a, err))
			continue
		}
		all = append(all, daemonAnswer[T]{a, v})
	}
	return all, errors.Join(errs...)
}

// daemonAnswer is the response of one daemon.
type daemonAnswer[T any] struct {
	Address string `json:"address"`
	Answer  T      `json:"answer"`
}

// postFile posts a file to the daemon at address. The second result reports whether the daemon
// may have received the file: it is true once the request had a connection.
func (c *client) postFile(ctx context.Context, address, path string, query url.Values, data string) (*http.Response, bool, error) {
	sent := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path+"?"+query.Encode(), strings.NewReader(data))
	if err != nil {
		return nil, false, err
	}
	resp, err := c.http.Do(req)
	return resp, sent, err
}

// readBody reads and closes the body of a response, up to maxResponseBytes.
func readBody(resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	return httpjson.ReadAll(io.Reader(resp.Body), maxResponseBytes)
}
