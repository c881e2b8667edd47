// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package ledger derives from the platform's log the state on which all processes
// agree: the files in force, the holder of each shard, and the progress of tasks that
// must not run again. The state is a function of the log's prefix alone, so two
// processes that have read up to the same offset have the same state.
package ledger

import (
	"maps"
	"slices"
	"time"

	"saddlevane/models/record"
	"saddlevane/models/spec"
	"saddlevane/models/task"
)

// Ledger is the state derived from a prefix of the log. It is not safe for concurrent
// use.
type Ledger struct {
	// nextOffset is the offset of the first record not yet applied.
	nextOffset int64
	files      map[string]*Entry
	objects    map[task.ObjectID]*Object
	// sorted caches the objects in order of creation; nil if it has to be rebuilt.
	sorted   []*Object
	claims   map[spec.ShardID]Claim
	progress map[task.ObjectID]*Progress
	cell     cell
	// formerWorkers holds, by shard, the workers that no file declares any more, each
	// with its rack.
	formerWorkers map[spec.ShardID]map[string]string
	// fileOfName maps each name in force, as returned by declaredNames, to the file that
	// declares it.
	fileOfName map[string]string
	// checkpoints tracks the parts of checkpoints as they are read.
	checkpoints checkpointTracker
}

// Entry is a file in force: its newest accepted revision.
type Entry struct {
	revision      int64
	publicationID string
	data          string
	file          *spec.File
	objects       []task.ObjectID
}

// PublicationID returns the ID of the publication that brought this revision into force.
func (e *Entry) PublicationID() string { return e.publicationID }

// Revision returns the revision at which the file was published.
func (e *Entry) Revision() int64 { return e.revision }

// Data returns the text of the file as published.
func (e *Entry) Data() string { return e.data }

// File returns the parsed file; it must not be modified.
func (e *Entry) File() *spec.File { return e.file }

// Claim identifies the holder of a shard.
type Claim struct {
	box         string
	incarnation string
	revision    int64
}

// Box returns the name of the box that holds the shard.
func (c Claim) Box() string { return c.box }

// Incarnation returns the incarnation of the box that holds the shard.
func (c Claim) Incarnation() string { return c.incarnation }

// Revision returns the revision of the claim; it grows with each new holder.
func (c Claim) Revision() int64 { return c.revision }

// New returns the ledger of an empty log.
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

// Claim returns the claim in force on shard, and false if nobody has claimed it.
func (l *Ledger) Claim(shard spec.ShardID) (Claim, bool) {
	c, ok := l.claims[shard]
	return c, ok
}

// Claims returns the claims in force by shard; the map must not be modified.
func (l *Ledger) Claims() map[spec.ShardID]Claim { return l.claims }

// ApplyResult is the effect of one record.
type ApplyResult struct {
	// ID is the ID of the envelope, or "" if the record was applied before.
	ID      string
	Changes []Change
}

// Change is the effect of one entry of a record.
type Change struct {
	// PublishDecision is set for each publish entry.
	PublishDecision *PublishDecision
	// FilesChanged reports that files in force or former workers changed.
	FilesChanged bool
	// ClaimsChanged reports that a shard has a new holder.
	ClaimsChanged bool
	// Progress lists the objects whose tasks have new records.
	Progress []task.ObjectID
}

// PublishDecision is the decision on a publish entry; it is the same in every process.
type PublishDecision struct {
	// ID is the ID of the publication.
	ID       string
	Accepted bool
	// Revision is the new revision of the file if accepted, else the one in force.
	Revision int64
	// Reasons lists why the publication was refused.
	Reasons []string
}

// Apply applies the record at offset, which was appended to the log at the given time.
// A record before NextOffset has been applied already and is ignored.
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

// revisionAt returns the revision of what the record at offset sets. Offsets start at 0
// and revisions at 1, so that revision 0 can mean none.
func revisionAt(offset int64) int64 { return offset + 1 }

// applyEntry applies one entry of a record that was appended at the given time.
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

// applyClaim makes a box the holder of a shard, unless another claim on the shard
// precedes it in the log.
func (l *Ledger) applyClaim(revision int64, c *record.Claim) Change {
	if c.Replaces != l.claims[c.Shard].revision {
		return Change{}
	}
	l.claims[c.Shard] = Claim{box: c.Box, incarnation: c.Incarnation, revision: revision}
	return Change{ClaimsChanged: true}
}
