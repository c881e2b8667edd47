// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package conntrack_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"saddlevane/modules/conntrack"

	"gotest.tools/v3/assert"
)

// Symptom: how long nothing came over a connection is told wrong by as much as the time
// of day was set meanwhile; a rule that goes by it takes connections that work for silent.
//
// Sequence: something comes over a connection, then the time of day is set forward or
// back, as can happen on any box.
//
// Cause: when something came was kept as time of day, without the reading of the steady
// clock by which Go subtracts times.
//
// What settled it: times print that reading as "m="; HeardAt had none.
func TestWhenAConnectionWasHeardIsOfTheSteadyClock(t *testing.T) {
	table := conntrack.NewTable(time.Now)
	here, there := net.Pipe()
	defer there.Close()
	conn := table.Add("192.0.2.1:1", here)
	defer conn.Close()
	began := time.Now()
	go func() { _, _ = there.Write([]byte("x")) }()
	_, err := conn.Read(make([]byte, 1))
	assert.NilError(t, err)

	heard := conn.HeardAt()
	assert.Check(t, strings.Contains(heard.String(), "m="), "heard at %v", heard)
	assert.Check(t, !heard.Before(began) && !heard.After(time.Now()), "heard at %v, read since %v", heard, began)
}
