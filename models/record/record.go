// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package record defines the records that saddlevane appends to the platform's log.
package record

import (
	"encoding/json"
	"errors"
	"fmt"

	"saddlevane/models/spec"
	"saddlevane/models/task"
)

// Envelope is the content of one append: entries that are applied together and in order.
type Envelope struct {
	// ID is the same in all retries of one append.
	ID string `json:"id"`
	// From is the box and incarnation that appended the record.
	From    string  `json:"from"`
	Entries []Entry `json:"entries"`
}

// Entry is one change of state. Exactly one field is set.
type Entry struct {
	Publish    *Publish    `json:"publish,omitempty"`
	Claim      *Claim      `json:"claim,omitempty"`
	Intents    *Tasks      `json:"intents,omitempty"`
	Done       *Tasks      `json:"done,omitempty"`
	Failed     *Tasks      `json:"failed,omitempty"`
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
	Forget     *Forget     `json:"forget,omitempty"`
	// Mark changes nothing. A process that reads its own mark has read everything that was in the
	// log before.
	Mark *Mark `json:"mark,omitempty"`
}

// Publish replaces a revision of a file by a new one. The new revision is one more than the offset of
// the record.
type Publish struct {
	// ID is the operator's identifier of the publication.
	ID   string `json:"id"`
	File string `json:"file"`
	// Replaces is the revision to replace, or 0 if the file is new.
	Replaces int64  `json:"replaces"`
	Data     string `json:"data"`

	parsed *parsed
}

// parsed is the result of parsing a file: the file, or the reasons why it is invalid.
type parsed struct {
	file    *spec.File
	reasons []string
}

// Parse returns the parsed file and the problems in it. The result is cached after the first call.
// Adapters call Parse before they pass the record to the reducer, because a large file takes long to
// parse.
func (p *Publish) Parse() (*spec.File, []string) {
	if p.parsed == nil {
		file, _, problems := spec.Parse(p.File, []byte(p.Data))
		p.parsed = &parsed{file: file}
		for _, problem := range problems {
			p.parsed.reasons = append(p.parsed.reasons, problem.Error())
		}
	}
	return p.parsed.file, p.parsed.reasons
}

// Mark is an entry without content.
type Mark struct{}

// Home assigns a range of an object's tasks, from From to To exclusive, to the shard that runs them.
type Home struct {
	Shard spec.ShardID `json:"shard"`
	From  int          `json:"from"`
	To    int          `json:"to"`
}

// Claim makes a box the holder of a shard in place of an earlier claim.
type Claim struct {
	Shard spec.ShardID `json:"shard"`
	Box   string       `json:"box"`
	// Incarnation identifies the incarnation of the box.
	Incarnation string `json:"incarnation"`
	// Replaces is the revision of the claim to replace, or 0 if there is none.
	Replaces int64 `json:"replaces"`
}

// Forget drops workers that no file names any more and that certainly run nothing. It is ignored
// unless it comes from the current holder of the shard.
type Forget struct {
	Shard spec.ShardID `json:"shard"`
	// Claim is the revision of the holder's claim.
	Claim   int64    `json:"claim"`
	Workers []string `json:"workers"`
}

// Tasks lists ranges of the tasks of one object.
type Tasks struct {
	Object task.ObjectID `json:"object"`
	Ranges []Range       `json:"ranges"`
}

// Range is the range of task indexes from From to To exclusive.
type Range struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Parse parses every file in the envelope.
func (e *Envelope) Parse() {
	for _, entry := range e.Entries {
		if entry.Publish != nil {
			entry.Publish.Parse()
		}
	}
}

// MaxBytes limits the size of an envelope. It leaves space for the largest file, escaped, and more.
const MaxBytes = 4 << 20

// Decode decodes an envelope. An error means that the record is damaged or was not appended by
// saddlevane. All processes skip the same records, so the result depends on data only.
func Decode(data []byte) (Envelope, error) {
	if len(data) > MaxBytes {
		return Envelope{}, fmt.Errorf("record: has %d bytes, the limit is %d", len(data), MaxBytes)
	}
	var e Envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return Envelope{}, fmt.Errorf("record: %w", err)
	}
	if e.ID == "" || e.From == "" {
		return Envelope{}, errors.New("record: id or from is empty")
	}
	return e, nil
}

// UnmarshalJSON returns an error unless exactly one field is set.
func (e *Entry) UnmarshalJSON(data []byte) error {
	type plain Entry
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	fields := 0
	for _, set := range []bool{
		p.Publish != nil, p.Claim != nil, p.Intents != nil, p.Done != nil, p.Failed != nil,
		p.Checkpoint != nil, p.Forget != nil, p.Mark != nil,
	} {
		if set {
			fields++
		}
	}
	if fields != 1 {
		return fmt.Errorf("record: entry has %d fields set, want 1", fields)
	}
	*e = Entry(p)
	return nil
}

// UnmarshalJSON returns an error if the range is empty or out of bounds.
func (r *Range) UnmarshalJSON(data []byte) error {
	type plain Range
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.From < 0 || p.To <= p.From || p.To > spec.MaxCount {
		return fmt.Errorf("record: range from %d to %d is empty or out of bounds", p.From, p.To)
	}
	*r = Range(p)
	return nil
}
