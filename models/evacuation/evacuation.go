// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package evacuation defines the operators' requests to evacuate a failure domain: from its request
// until its withdrawal, no task may be started on the workers of that domain.
package evacuation

import (
	"fmt"
	"time"
)

// Change is the newest record about the evacuation of one failure domain.
type Change struct {
	Domain string
	// Requested is set if the record requests the evacuation, and not set if it withdraws it.
	Requested bool
	// Offset is the place of the record in its stream. Later records about a domain have higher
	// offsets.
	Offset int64
}

// maxDomainLength is the maximum length of the name of a failure domain, in bytes.
const maxDomainLength = 200

// CheckDomain returns an error if an evacuation cannot name the failure domain.
func CheckDomain(domain string) error {
	if domain == "" || len(domain) > maxDomainLength {
		return fmt.Errorf("failure domain has %d bytes, want 1 to %d", len(domain), maxDomainLength)
	}
	return nil
}

// Update is what one read of the stream contains about evacuations.
type Update struct {
	// Complete is set if Changes has every request that is in force: all other domains are not
	// evacuated.
	Complete bool
	// Next is the offset up to which the stream was read.
	Next    int64
	Changes []Change
	// Unreadable maps the keys of records that could not be decoded to the reason. They change
	// nothing.
	Unreadable map[string]string
}

// Status is an evacuation that is in force.
type Status struct {
	Domain string `json:"domain"`
	// Since is when this process has read the request.
	Since time.Time `json:"since"`
	// Tasks is the number of tasks that still run in the domain. Only the holder knows it.
	Tasks int `json:"tasks"`
}
