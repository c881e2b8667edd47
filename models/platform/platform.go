// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package platform holds the messages of the platform's log.
package platform

import (
	"encoding/json"
	"errors"
	"time"
)

// Append asks the log to take a record in.
type Append struct {
	// ID is the same in each try of one append. The log does not look at it.
	ID   string `json:"id"`
	Data string `json:"data"`
}

// Appended says where the log took a record in.
type Appended struct {
	Offset int64 `json:"offset"`
}

// Record is one record of the log.
type Record struct {
	Offset int64 `json:"offset"`
	// At is when the log took it in, in milliseconds since 1970.
	At   int64  `json:"at_ms"`
	Data string `json:"data"`
}

// Time returns when the log took the record in.
func (r Record) Time() time.Time { return time.UnixMilli(r.At) }

// Read is the log's answer to a read.
type Read struct {
	// First is the oldest offset that the log still has.
	First int64 `json:"first"`
	// Next is the offset that the next record will get.
	Next    int64    `json:"next"`
	Records []Record `json:"records"`
}

// UnmarshalJSON refuses answers whose offsets are out of order.
func (r *Read) UnmarshalJSON(data []byte) error {
	type plain Read
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.First < 0 || p.Next < p.First {
		return errors.New("log: offsets out of order")
	}
	last := p.First - 1
	for _, rec := range p.Records {
		if rec.Offset <= last || rec.Offset >= p.Next {
			return errors.New("log: offsets out of order")
		}
		last = rec.Offset
	}
	*r = Read(p)
	return nil
}
