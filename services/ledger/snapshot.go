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

// Snapshot returns what the records read so far come to.
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

func (l *Ledger) snapshotFile(name string) record.File {
	e := l.files[name]
	f := record.File{Name: name, Revision: e.revision, Publication: e.publicationID, Data: e.data}
	for _, id := range e.objects {
		o := l.objects[id]
		f.Objects = append(f.Objects, record.Object{ID: id, Version: o.version, Homes: o.homes})
	}
	return f
}

// Restore returns the fold that s describes.
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

func (l *Ledger) restoreFile(f *record.File) error {
	file, _, problems := spec.Parse(f.Name, []byte(f.Data))
	if len(problems) > 0 {
		return fmt.Errorf("snapshot: file %s: %w", f.Name, problems)
	}
	e := &Entry{revision: f.Revision, publicationID: f.Publication, data: f.Data, file: file}
	l.files[f.Name] = e
	l.registerNames(file, nil)
	decided := map[string]record.Object{}
	for _, o := range f.Objects {
		decided[o.ID.Name] = o
	}
	for _, o := range objectsOf(file) {
		d, ok := decided[o.work.Name]
		if !ok {
			return fmt.Errorf("snapshot: file %s: nothing decided about %s", f.Name, o.work.Name)
		}
		o.id, o.version, o.homes, o.file = d.ID, d.Version, d.Homes, f.Name
		l.objects[o.id] = o
		e.objects = append(e.objects, o.id)
	}
	return nil
}

func bitmapOf(ranges []record.Range) *roaring.Bitmap {
	set := roaring.New()
	for _, r := range ranges {
		set.AddRange(uint64(r.From), uint64(r.To))
	}
	return set
}

// maxPartBytes is about how much of a snapshot one part of a checkpoint carries.
const maxPartBytes = 1 << 20

// SplitCheckpoint cuts a snapshot into parts of bounded size.
func SplitCheckpoint(id string, s record.Snapshot) []record.Checkpoint {
	parts := []record.Checkpoint{{ID: id, Snapshot: record.Snapshot{Next: s.Next}}}
	size := 0
	last := func(bytes int) *record.Snapshot {
		if size > 0 && size+bytes > maxPartBytes {
			parts = append(parts, record.Checkpoint{ID: id, Snapshot: record.Snapshot{Next: s.Next}})
			size = 0
		}
		size += bytes
		return &parts[len(parts)-1].Snapshot
	}
	for _, f := range s.Files {
		p := last(len(f.Data) + objectBytes*len(f.Objects))
		p.Files = append(p.Files, f)
	}
	for _, f := range s.Former {
		p := last(objectBytes)
		p.Former = append(p.Former, f)
	}
	for _, c := range s.Claims {
		p := last(objectBytes)
		p.Claims = append(p.Claims, c)
	}
	for _, g := range s.Progress {
		p := last(rangeBytes * (1 + len(g.Intents) + len(g.Done) + len(g.Failed) + len(g.Rerun)))
		p.Progress = append(p.Progress, g)
	}
	for i := range parts {
		parts[i].Part, parts[i].Parts = i, len(parts)
	}
	return parts
}

// Rough sizes on the wire.
const (
	objectBytes = 160
	rangeBytes  = 32
)

// checkpointTracker follows checkpoints through the log.
type checkpointTracker struct {
	incomplete map[string]*partialCheckpoint
	// youngest is when the log took in the last part of the youngest checkpoint.
	newestAt time.Time
	// wanted keeps the contents of parts, for a reader that must go on from one.
	keepContents bool
	newest       *record.Snapshot
}

// partialCheckpoint is a checkpoint of which not all parts have been read.
type partialCheckpoint struct {
	received map[int]bool
	snapshot record.Snapshot
}

// maxIncomplete bounds how many checkpoints are followed at a time.
const maxIncomplete = 8

func newCheckpointTracker() checkpointTracker {
	return checkpointTracker{incomplete: map[string]*partialCheckpoint{}}
}

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

// CheckpointedAt returns when the log took in the youngest whole checkpoint that
// this process has read; zero if it has read none.
func (l *Ledger) CheckpointedAt() time.Time { return l.checkpoints.newestAt }

// ReplaceWith makes l the fold that o is.
func (l *Ledger) ReplaceWith(o *Ledger) { *l = *o }

// NewCheckpointSearch returns a fold for a reader that starts at offset first, with records
// before it gone. It is not whole: nothing in it is in force until Found returns
// a checkpoint to go on from.
func NewCheckpointSearch(first int64) *Ledger {
	l := New()
	l.nextOffset = first
	l.checkpoints.keepContents = true
	return l
}

// FoundCheckpoint returns the checkpoint that a seeking reader can go on from, if it has
// read one that describes the log from a record on that can still be read.
func (l *Ledger) FoundCheckpoint(first int64) (record.Snapshot, bool) {
	if w := l.checkpoints.newest; w != nil && w.Next >= first {
		return *w, true
	}
	return record.Snapshot{}, false
}
