// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peering_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"saddlevane/modules/peering"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"
)

// An answer over the size limit must not leave its caller waiting until the timeout, as if the box were
// unresponsive.
func TestAnswerOverLimitIsAnError(t *testing.T) {
	const overLimit = 65 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b := peering.New(context.Background(), listener, settings(), func(context.Context, *peering.Conn, *jsonrpc2.Request) (any, error) {
		return strings.Repeat("x", overLimit), nil
	})
	b.Serve()
	defer b.Close()
	_, _, err = newBox(t).callWithin(listener.Addr().String(), 10*time.Second, peering.Call{Method: "greet"})
	assert.ErrorContains(t, err, "exceeds the limit")
}
