// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package ledger folds the platform's log into what every process agrees on:
// the files in force, who holds each shard, and what has become of tasks that
// must not run again. The fold is a function of the log's prefix alone, so two
// processes that have read equally far agree.
package ledger

import (
	"maps"
	"slices"
	"time"

	"saddlevane/models/record"
	"saddlevane/models/spec"
	"saddlevane/models/task"
)

// Ledger is the state of the fold.
type Ledger struct {
	// next is the offset of the first record not yet applied.
	nextOffset int64
	files      map[string]*Entry
	objects    map[task.ObjectID]*Object
	// sorted holds the objects in the order of their births, or nil if it has to
	// be made anew.
	sorted   []*Object
	claims   map[spec.ShardID]Claim
	progress map[task.ObjectID]*Progress
	cell     cell
	// former holds workers that no file names any more, with their racks.
	formerWorkers map[spec.ShardID]map[string]string
	// owners says which file each name in force stands in.
	fileOfName map[string]string
	// checkpoints follows the parts of checkpoints as they are read.
	checkpoints checkpointTracker
}

// Entry is a file in force.
type Entry struct {
	revision      int64
	publicationID string
	data          string
	file          *spec.File
	objects       []task.ObjectID
}

// PublicationID returns the operator's id of the revision.
func (e *Entry) PublicationID() string { return e.publicationID }

// Revision returns the revision of the record that published the file.
func (e *Entry) Revision() int64 { return e.revision }

// Data returns the file as it was published.
func (e *Entry) Data() string { return e.data }

// File returns the parsed file; it must not be changed.
func (e *Entry) File() *spec.File { return e.file }

// Claim is the holder of a shard.
type Claim struct {
	box         string
	incarnation string
	revision    int64
}

// Box returns the name of the box that holds the shard.
func (c Claim) Box() string { return c.box }

// Incarnation returns which life of the box holds the shard.
func (c Claim) Incarnation() string { return c.incarnation }

// Revision returns the revision of the claim; it grows with each new holder.
func (c Claim) Revision() int64 { return c.revision }

// New returns the fold of an empty log.
func New() *Ledger {
	return &Ledger{
		files:         map[string]*Entry{},
		objects:       map[task.ObjectID]*Object{},
		claims:        map[spec.ShardID]Claim{},
		progress:      map[task.ObjectID]*Progress{},
		formerWorkers: map[spec.ShardID]map[string]string{},
		fileOfName:    map[string]string{},
		checkpoints:   newCheckpointTracker(),
	}
}

// NextOffset returns the offset of the first record not yet applied.
func (l *Ledger) NextOffset() int64 { return l.nextOffset }

// Entry returns the file in force under name.
func (l *Ledger) Entry(name string) (*Entry, bool) {
	e, ok := l.files[name]
	return e, ok
}

// Files returns the names of the files in force, sorted.
func (l *Ledger) Files() []string { return slices.Sorted(maps.Keys(l.files)) }

// Claim returns who holds shard.
func (l *Ledger) Claim(shard spec.ShardID) (Claim, bool) {
	c, ok := l.claims[shard]
	return c, ok
}

// Claims returns every shard that is held.
func (l *Ledger) Claims() map[spec.ShardID]Claim { return l.claims }

// ApplyResult is what a record did.
type ApplyResult struct {
	// ID is the envelope's, or "" if the record is not ours or was a repeat.
	ID      string
	Changes []Change
}

// Change is something that Apply altered.
type Change struct {
	// Publication is set for each publish that was decided.
	PublishDecision *PublishDecision
	// Files says that files in force changed.
	FilesChanged bool
	// Claims says that a shard changed hands.
	ClaimsChanged bool
	// Progress names objects whose tasks moved on.
	Progress []task.ObjectID
}

// PublishDecision is the log's decision on a publish.
type PublishDecision struct {
	// ID names the operator's publication.
	ID       string
	Accepted bool
	// Revision is the file's revision if accepted, else the one in force.
	Revision int64
	// Reasons says why it was refused.
	Reasons []string
}

// Apply folds the record at offset, which the log took in at the given time.
// Records before Next are repeats and change
// nothing.
func (l *Ledger) Apply(offset int64, at time.Time, envelope record.Envelope) ApplyResult {
	if offset < l.nextOffset {
		return ApplyResult{}
	}
	l.nextOffset = offset + 1
	changes := make([]Change, 0, len(envelope.Entries))
	for _, e := range envelope.Entries {
		changes = append(changes, l.applyEntry(revisionAt(offset), at, e))
	}
	return ApplyResult{ID: envelope.ID, Changes: changes}
}

// revisionAt returns the revision that the record at offset gives to what it
// sets. Offsets start at 0, revisions at 1, so that 0 can stand for none.
func revisionAt(offset int64) int64 { return offset + 1 }

func (l *Ledger) applyEntry(revision int64, at time.Time, e record.Entry) Change {
	switch {
	case e.Publish != nil:
		return l.applyPublish(revision, e.Publish)
	case e.Claim != nil:
		return l.applyClaim(revision, e.Claim)
	case e.Intents != nil:
		return l.applyTasks(e.Intents, (*Progress).addIntents)
	case e.Done != nil:
		return l.applyTasks(e.Done, (*Progress).addDone)
	case e.Failed != nil:
		return l.applyTasks(e.Failed, (*Progress).addFailed)
	case e.Forget != nil:
		return l.applyForget(e.Forget)
	case e.Checkpoint != nil:
		l.checkpoints.addPart(at, e.Checkpoint)
	}
	return Change{}
}

func (l *Ledger) applyClaim(revision int64, c *record.Claim) Change {
	if c.Replaces != l.claims[c.Shard].revision {
		return Change{}
	}
	l.claims[c.Shard] = Claim{box: c.Box, incarnation: c.Incarnation, revision: revision}
	return Change{ClaimsChanged: true}
}
