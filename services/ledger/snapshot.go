// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"fmt"
	"slices"
	"time"

	"saddlevane/models/record"
	"saddlevane/models/spec"

	"github.com/RoaringBitmap/roaring/v2"
)

// Snapshot returns the state after all records applied so far.
func (l *Ledger) Snapshot() record.Snapshot {
	s := record.Snapshot{Next: l.nextOffset}
	for _, name := range l.Files() {
		s.Files = append(s.Files, l.snapshotFile(name))
	}
	for shard, c := range l.claims {
		s.Claims = append(s.Claims, record.HeldClaim{
			Shard: shard, Box: c.box, Incarnation: c.incarnation, Revision: c.revision,
		})
	}
	slices.SortFunc(s.Claims, func(a, b record.HeldClaim) int { return a.Shard.Compare(b.Shard) })
	for id, p := range l.progress {
		s.Progress = append(s.Progress, record.Progress{
			Object: id, Intents: Ranges(p.intents), Done: Ranges(p.done), Failed: Ranges(p.failed), Rerun: Ranges(p.rerun),
		})
	}
	s.Former = l.snapshotFormerWorkers()
	slices.SortFunc(s.Progress, func(a, b record.Progress) int { return a.Object.Compare(b.Object) })
	return s
}

// snapshotFile returns the state of the file in force under name.
func (l *Ledger) snapshotFile(name string) record.File {
	e := l.files[name]
	f := record.File{Name: name, Revision: e.revision, Publication: e.publicationID, Data: e.data}
	for _, id := range e.objects {
		o := l.objects[id]
		f.Objects = append(f.Objects, record.Object{ID: id, Version: o.version, Homes: o.homes})
	}
	return f
}

// Restore returns the ledger with the state of s. It fails if a file in s does not
// parse, or if s lacks an object that a file declares.
func Restore(s record.Snapshot) (*Ledger, error) {
	l := New()
	l.nextOffset = s.Next
	for i := range s.Files {
		if err := l.restoreFile(&s.Files[i]); err != nil {
			return nil, err
		}
	}
	l.rebuildCell()
	for _, c := range s.Claims {
		l.claims[c.Shard] = Claim{box: c.Box, incarnation: c.Incarnation, revision: c.Revision}
	}
	for _, f := range s.Former {
		l.addFormerWorker(f.Shard, f.Worker, f.Rack)
	}
	for _, p := range s.Progress {
		l.progress[p.Object] = &Progress{
			intents: bitmapOf(p.Intents), done: bitmapOf(p.Done), failed: bitmapOf(p.Failed), rerun: bitmapOf(p.Rerun),
		}
	}
	return l, nil
}

// restoreFile brings a file of a snapshot into force, with the state of its objects.
func (l *Ledger) restoreFile(f *record.File) error {
	file, _, problems := spec.Parse(f.Name, []byte(f.Data))
	if len(problems) > 0 {
		return fmt.Errorf("snapshot: file %s: %w", f.Name, problems)
	}
	e := &Entry{revision: f.Revision, publicationID: f.Publication, data: f.Data, file: file}
	l.files[f.Name] = e
	l.registerNames(file, nil)
	byName := map[string]record.Object{}
	for _, o := range f.Objects {
		byName[o.ID.Name] = o
	}
	for _, o := range objectsOf(file) {
		saved, ok := byName[o.work.Name]
		if !ok {
			return fmt.Errorf("snapshot: file %s: no ID, version and homes of object %s", f.Name, o.work.Name)
		}
		o.id, o.version, o.homes, o.file = saved.ID, saved.Version, saved.Homes, f.Name
		l.objects[o.id] = o
		e.objects = append(e.objects, o.id)
	}
	return nil
}

// bitmapOf returns the set of all members of ranges.
func bitmapOf(ranges []record.Range) *roaring.Bitmap {
	set := roaring.New()
	for _, r := range ranges {
		set.AddRange(uint64(r.From), uint64(r.To))
	}
	return set
}

// maxPartBytes bounds the estimated size of one part of a checkpoint, in bytes. A part
// with a single item may be larger.
const maxPartBytes = 1 << 20

// SplitCheckpoint divides a snapshot into the parts of checkpoint id, each of about
// maxPartBytes at most.
func SplitCheckpoint(id string, s record.Snapshot) []record.Checkpoint {
	parts := []record.Checkpoint{{ID: id, Snapshot: record.Snapshot{Next: s.Next}}}
	size := 0
	partWithSpace := func(bytes int) *record.Snapshot {
		if size > 0 && size+bytes > maxPartBytes {
			parts = append(parts, record.Checkpoint{ID: id, Snapshot: record.Snapshot{Next: s.Next}})
			size = 0
		}
		size += bytes
		return &parts[len(parts)-1].Snapshot
	}
	for _, f := range s.Files {
		p := partWithSpace(len(f.Data) + objectBytes*len(f.Objects))
		p.Files = append(p.Files, f)
	}
	for _, f := range s.Former {
		p := partWithSpace(objectBytes)
		p.Former = append(p.Former, f)
	}
	for _, c := range s.Claims {
		p := partWithSpace(objectBytes)
		p.Claims = append(p.Claims, c)
	}
	for _, g := range s.Progress {
		p := partWithSpace(rangeBytes * (1 + len(g.Intents) + len(g.Done) + len(g.Failed) + len(g.Rerun)))
		p.Progress = append(p.Progress, g)
	}
	for i := range parts {
		parts[i].Part, parts[i].Parts = i, len(parts)
	}
	return parts
}

// Estimated sizes of encoded values, in bytes.
const (
	objectBytes = 160
	rangeBytes  = 32
)

// checkpointTracker detects complete checkpoints among the parts read from the log.
type checkpointTracker struct {
	// incomplete holds the checkpoints of which some parts have not been read, by ID.
	incomplete map[string]*partialCheckpoint
	// newestAt is when the last part of the newest complete checkpoint was appended.
	newestAt time.Time
	// keepContents makes the tracker store the contents of parts, for a reader that
	// has to start from a checkpoint.
	keepContents bool
	// newest is the newest complete checkpoint, without contents unless keepContents is
	// set.
	newest *record.Snapshot
}

// partialCheckpoint holds the parts read so far of an incomplete checkpoint.
type partialCheckpoint struct {
	received map[int]bool
	snapshot record.Snapshot
}

// maxIncomplete bounds how many incomplete checkpoints are tracked at a time.
const maxIncomplete = 8

func newCheckpointTracker() checkpointTracker {
	return checkpointTracker{incomplete: map[string]*partialCheckpoint{}}
}

// addPart adds a part that was appended to the log at the given time. If too many
// checkpoints are incomplete, it first discards them all.
func (c *checkpointTracker) addPart(at time.Time, part *record.Checkpoint) {
	if part.Check() != nil {
		return
	}
	a := c.incomplete[part.ID]
	if a == nil {
		if len(c.incomplete) >= maxIncomplete {
			clear(c.incomplete)
		}
		a = &partialCheckpoint{received: map[int]bool{}, snapshot: record.Snapshot{Next: part.Snapshot.Next}}
		c.incomplete[part.ID] = a
	}
	if a.received[part.Part] {
		return
	}
	a.received[part.Part] = true
	if c.keepContents {
		a.snapshot.Files = append(a.snapshot.Files, part.Snapshot.Files...)
		a.snapshot.Former = append(a.snapshot.Former, part.Snapshot.Former...)
		a.snapshot.Claims = append(a.snapshot.Claims, part.Snapshot.Claims...)
		a.snapshot.Progress = append(a.snapshot.Progress, part.Snapshot.Progress...)
	}
	if len(a.received) == part.Parts {
		c.newestAt = at
		c.newest = &a.snapshot
		delete(c.incomplete, part.ID)
	}
}

// CheckpointedAt returns when the newest complete checkpoint that this process has read
// was appended to the log; zero if it has read none.
func (l *Ledger) CheckpointedAt() time.Time { return l.checkpoints.newestAt }

// ReplaceWith replaces the state of l by that of o.
func (l *Ledger) ReplaceWith(o *Ledger) { *l = *o }

// NewCheckpointSearch returns a ledger for a reader that starts at offset first because
// the log no longer has the records before. The state of this ledger is incomplete and
// must not be used; it serves to find a checkpoint, which FoundCheckpoint returns.
func NewCheckpointSearch(first int64) *Ledger {
	l := New()
	l.nextOffset = first
	l.checkpoints.keepContents = true
	return l
}

// FoundCheckpoint returns the newest complete checkpoint if all records that follow its
// state are still in the log, whose first offset is given. The ledger must come from
// NewCheckpointSearch.
func (l *Ledger) FoundCheckpoint(first int64) (record.Snapshot, bool) {
	if s := l.checkpoints.newest; s != nil && s.Next >= first {
		return *s, true
	}
	return record.Snapshot{}, false
}
