// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package platform defines the messages of the platform's log.
package platform

import (
	"encoding/json"
	"errors"
	"time"
)

// Append asks the log to append a record.
type Append struct {
	// ID is the same in all retries of one append. The log ignores it.
	ID   string `json:"id"`
	Data string `json:"data"`
}

// Appended is the log's answer to an Append: the offset of the new record.
type Appended struct {
	Offset int64 `json:"offset"`
}

// Record is one record of the log.
type Record struct {
	Offset int64 `json:"offset"`
	// At is when the record was appended, in milliseconds since 1970.
	At   int64  `json:"at_ms"`
	Data string `json:"data"`
}

// Time returns when the record was appended.
func (r Record) Time() time.Time { return time.UnixMilli(r.At) }

// Read is the log's answer to a read.
type Read struct {
	// First is the offset of the oldest record that the log still has.
	First int64 `json:"first"`
	// Next is the offset of the next record to be appended.
	Next    int64    `json:"next"`
	Records []Record `json:"records"`
}

// UnmarshalJSON returns an error if the offsets are not in increasing order between First and Next.
func (r *Read) UnmarshalJSON(data []byte) error {
	type plain Read
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.First < 0 || p.Next < p.First {
		return errors.New("log: want 0 <= first <= next")
	}
	last := p.First - 1
	for _, rec := range p.Records {
		if rec.Offset <= last || rec.Offset >= p.Next {
			return errors.New("log: want increasing record offsets from first to below next")
		}
		last = rec.Offset
	}
	*r = Read(p)
	return nil
}
