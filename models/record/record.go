// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package record holds what saddlevane appends to the platform's log.
package record

import (
	"encoding/json"
	"errors"
	"fmt"

	"saddlevane/models/spec"
	"saddlevane/models/task"
)

// Envelope is one append: entries that are applied together and in order.
type Envelope struct {
	// ID is the same in each try of one append.
	ID string `json:"id"`
	// From is the box and incarnation that appended.
	From    string  `json:"from"`
	Entries []Entry `json:"entries"`
}

// Entry is one fact; exactly one field is set.
type Entry struct {
	Publish    *Publish    `json:"publish,omitempty"`
	Claim      *Claim      `json:"claim,omitempty"`
	Intents    *Tasks      `json:"intents,omitempty"`
	Done       *Tasks      `json:"done,omitempty"`
	Failed     *Tasks      `json:"failed,omitempty"`
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
	Forget     *Forget     `json:"forget,omitempty"`
	// Mark changes nothing; who appended it learns, on reading it, that it has
	// read all that was in the log before.
	Mark *Mark `json:"mark,omitempty"`
}

// Publish asks for a file to come into force in place of a revision. Its own
// revision is one more than the offset of its record.
type Publish struct {
	// ID names the operator's publication.
	ID   string `json:"id"`
	File string `json:"file"`
	// Replaces is the revision in force, or 0 if the file is new.
	Replaces int64  `json:"replaces"`
	Data     string `json:"data"`

	parsed *parsed
}

// parsed is what reading a file gave.
type parsed struct {
	file    *spec.File
	reasons []string
}

// Parse reads the file, once however often it is called, and returns the
// mistakes in it. Adapters call it before the reducer has to, because a large
// file takes long.
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

// Mark is an entry without a fact.
type Mark struct{}

// Home is a range of an object's tasks, From to To exclusive, and the shard
// that runs them.
type Home struct {
	Shard spec.ShardID `json:"shard"`
	From  int          `json:"from"`
	To    int          `json:"to"`
}

// Claim makes a box the holder of a shard in place of an earlier claim.
type Claim struct {
	Shard spec.ShardID `json:"shard"`
	Box   string       `json:"box"`
	// Incarnation tells one life of the box from the next.
	Incarnation string `json:"incarnation"`
	// Replaces is the revision of the claim in force, or 0 if there is none.
	Replaces int64 `json:"replaces"`
}

// Forget drops workers that no file names any more and that surely run nothing.
// Only the holder in force is believed.
type Forget struct {
	Shard spec.ShardID `json:"shard"`
	// Claim is the revision of the holder's claim.
	Claim   int64    `json:"claim"`
	Workers []string `json:"workers"`
}

// Tasks is ranges of the tasks of one object.
type Tasks struct {
	Object task.ObjectID `json:"object"`
	Ranges []Range       `json:"ranges"`
}

// Range is From to To exclusive.
type Range struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Parse reads every file in the envelope.
func (e *Envelope) Parse() {
	for _, entry := range e.Entries {
		if entry.Publish != nil {
			entry.Publish.Parse()
		}
	}
}

// MaxBytes bounds an envelope: the largest file, escaped, with room for more.
const MaxBytes = 4 << 20

// Decode reads an envelope. Any error means that the record is not ours or is
// damaged; every process must skip it alike.
func Decode(data []byte) (Envelope, error) {
	if len(data) > MaxBytes {
		return Envelope{}, fmt.Errorf("record: %d bytes, the limit is %d", len(data), MaxBytes)
	}
	var e Envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return Envelope{}, fmt.Errorf("record: %w", err)
	}
	if e.ID == "" || e.From == "" {
		return Envelope{}, errors.New("record: no id or no sender")
	}
	return e, nil
}

// UnmarshalJSON refuses entries that hold no fact, or several.
func (e *Entry) UnmarshalJSON(data []byte) error {
	type plain Entry
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	facts := 0
	for _, set := range []bool{
		p.Publish != nil, p.Claim != nil, p.Intents != nil, p.Done != nil, p.Failed != nil,
		p.Checkpoint != nil, p.Forget != nil, p.Mark != nil,
	} {
		if set {
			facts++
		}
	}
	if facts != 1 {
		return fmt.Errorf("record: entry with %d facts, want 1", facts)
	}
	*e = Entry(p)
	return nil
}

// UnmarshalJSON refuses ranges that are empty or out of bounds.
func (r *Range) UnmarshalJSON(data []byte) error {
	type plain Range
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.From < 0 || p.To <= p.From || p.To > spec.MaxCount {
		return fmt.Errorf("record: bad range %d to %d", p.From, p.To)
	}
	*r = Range(p)
	return nil
}
