// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package httpjson sends and receives JSON over HTTP with bounded body sizes.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ErrTooLarge is returned for a body that exceeds its limit.
var ErrTooLarge = errors.New("body too large")

// StatusError is the error for a response with a status other than 2xx.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the status and the start of the body.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

const maxErrorBody = 512

// Client calls services that speak JSON.
type Client struct {
	http  *http.Client
	limit int64
}

// NewClient returns a client that reads at most limit bytes of a response.
func NewClient(c *http.Client, limit int64) *Client { return &Client{http: c, limit: limit} }

// Get sends a GET request to url and decodes the response into out.
func (c *Client) Get(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("get %s: %w", url, err)
	}
	return c.do(req, out)
}

// Post sends in to url and decodes the response into out.
func (c *Client) Post(ctx context.Context, url string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("post %s: %w", url, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("post %s: %w", url, err)
	}
	req.Header.Set("Content-Type", "application/json")
	return c.do(req, out)
}

func (c *Client) do(req *http.Request, out any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := ReadAll(resp.Body, c.limit)
	if err != nil {
		return fmt.Errorf("%s %s: %w", req.Method, req.URL, err)
	}
	if resp.StatusCode/100 != 2 {
		return &StatusError{Status: resp.StatusCode, Body: string(data[:min(len(data), maxErrorBody)])}
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%s %s: %w", req.Method, req.URL, err)
	}
	return nil
}

// ReadAll reads r to its end. It returns ErrTooLarge if r holds more than limit bytes.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, ErrTooLarge
	}
	return data, nil
}

// Decode reads the body of r, of at most limit bytes, into out. If that fails, it writes an
// error response and returns false.
func Decode(w http.ResponseWriter, r *http.Request, limit int64, out any) bool {
	data, err := ReadAll(r.Body, limit)
	if errors.Is(err, ErrTooLarge) {
		Error(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("the body exceeds %d bytes", limit))
		return false
	}
	if err != nil {
		Error(w, http.StatusBadRequest, "the body could not be read")
		return false
	}
	if err := json.Unmarshal(data, out); err != nil {
		Error(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// Write writes v to w as JSON.
func Write(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// problem is the body of an error response.
type problem struct {
	Reason string `json:"reason"`
}

// Error writes an error response with a reason.
func Error(w http.ResponseWriter, status int, reason string) {
	Write(w, status, problem{Reason: reason})
}
