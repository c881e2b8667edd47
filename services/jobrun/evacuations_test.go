// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"saddlevane/models/job"
	"saddlevane/routers"
	"saddlevane/tests/memory"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// requestStatus sends a request and returns the status of the response.
func requestStatus(t *testing.T, method, url string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, nil)
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.StatusCode
}

// evacuatedDomains returns the evacuated domains that a box reports.
func evacuatedDomains(t *testing.T, server *httptest.Server) (all []string) {
	t.Helper()
	resp, err := http.Get(server.URL + "/v1/cell")
	assert.NilError(t, err)
	defer resp.Body.Close()
	var s job.CellStatus
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&s))
	for _, e := range s.Evacuations {
		all = append(all, e.Domain)
	}
	return all
}

// An evacuation that is requested at one box is in force at all boxes, until it is withdrawn.
func TestEvacuationIsInForceAtAllBoxes(t *testing.T) {
	p, err := memory.New(config(), 2)
	assert.NilError(t, err)
	var servers []*httptest.Server
	for _, name := range []string{"a", "b"} {
		b := startBox(t, p, name, io.Discard)
		server := httptest.NewServer(routers.NewJobs(b.loop))
		t.Cleanup(server.Close)
		servers = append(servers, server)
	}
	assert.Equal(t, requestStatus(t, http.MethodPut, servers[0].URL+"/v1/evacuations/amman-a"), http.StatusOK)
	for _, server := range servers {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if all := evacuatedDomains(t, server); len(all) != 1 || all[0] != "amman-a" {
				return poll.Continue("evacuated: %v", all)
			}
			return poll.Success()
		})
	}
	assert.Equal(t, requestStatus(t, http.MethodDelete, servers[1].URL+"/v1/evacuations/amman-a"), http.StatusOK)
	for _, server := range servers {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if all := evacuatedDomains(t, server); len(all) != 0 {
				return poll.Continue("evacuated: %v", all)
			}
			return poll.Success()
		})
	}
	assert.Equal(t, requestStatus(t, http.MethodPut, servers[0].URL+"/v1/evacuations/"+strings.Repeat("x", 300)), http.StatusBadRequest)
	p.SetDown(true)
	assert.Equal(t, requestStatus(t, http.MethodPut, servers[0].URL+"/v1/evacuations/amman-a"), http.StatusServiceUnavailable)
}
