// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"fmt"
	"reflect"
	"slices"

	"saddlevane/models/record"
	"saddlevane/models/spec"
	"saddlevane/models/task"
)

// Object is a service, job or gang in force.
type Object struct {
	id      task.ObjectID
	kind    Kind
	file    string
	version int64
	homes   []record.Home
	work    *spec.Work
	service *spec.Service
	batch   *spec.Batch
}

// Kind is the kind of an object.
type Kind string

// The kinds of objects.
const (
	KindService Kind = "service"
	KindJob     Kind = "job"
	KindGang    Kind = "gang"
)

// ID returns the object's name and the revision at which it was created.
func (o *Object) ID() task.ObjectID { return o.id }

// Kind returns the kind of the object.
func (o *Object) Kind() Kind { return o.kind }

// File returns the name of the file that declares the object.
func (o *Object) File() string { return o.file }

// Version returns the revision that last changed the command or resources of the
// object's tasks.
func (o *Object) Version() int64 { return o.version }

// Homes returns the ranges of tasks and the shard that runs each of them.
func (o *Object) Homes() []record.Home { return o.homes }

// Work returns the fields that all kinds have; they must not be modified.
func (o *Object) Work() *spec.Work { return o.work }

// Service returns the fields that only services have, or nil for other kinds.
func (o *Object) Service() *spec.Service { return o.service }

// Batch returns the fields that jobs and gangs have, or nil for services.
func (o *Object) Batch() *spec.Batch { return o.batch }

// Repeatable reports whether a task may be started again after it may have run.
func (o *Object) Repeatable() bool { return o.batch == nil || o.batch.Repeatable }

// Cancelled reports whether the object is to be stopped.
func (o *Object) Cancelled() bool { return o.batch != nil && o.batch.Cancelled }

// Object returns the object in force with the given ID.
func (l *Ledger) Object(id task.ObjectID) (*Object, bool) {
	o, ok := l.objects[id]
	return o, ok
}

// Objects returns all objects in force in order of creation; the slice must not be
// modified.
func (l *Ledger) Objects() []*Object {
	if l.sorted == nil {
		l.sorted = make([]*Object, 0, len(l.objects))
		for _, o := range l.objects {
			l.sorted = append(l.sorted, o)
		}
		slices.SortFunc(l.sorted, func(a, b *Object) int { return a.id.Compare(b.id) })
	}
	return l.sorted
}

// ObjectByName returns the object in force with the given name.
func (l *Ledger) ObjectByName(name string) (*Object, bool) {
	for _, o := range l.objects {
		if o.id.Name == name {
			return o, true
		}
	}
	return nil, false
}

// Check returns the reasons why a publication would be refused if it were the next
// record in the log, or nil if it would be accepted.
func (l *Ledger) Check(p *record.Publish) []string {
	if current := l.Revision(p.File); p.Replaces != current {
		return []string{fmt.Sprintf("replaces revision %d, but %d is in force", p.Replaces, current)}
	}
	file, reasons := p.Parse()
	if len(reasons) > 0 {
		return reasons
	}
	if file.Name != p.File {
		return []string{fmt.Sprintf("the file declares name %q, but was published as %q", file.Name, p.File)}
	}
	return l.checkAgainstCell(file)
}

// Revision returns the revision in force under name, or 0 if there is none.
func (l *Ledger) Revision(name string) int64 {
	if e, ok := l.files[name]; ok {
		return e.revision
	}
	return 0
}

// applyPublish brings a file into force at revision, or refuses it.
func (l *Ledger) applyPublish(revision int64, p *record.Publish) Change {
	if e, ok := l.files[p.File]; ok && e.publicationID == p.ID {
		// Two boxes appended this publication: the first one did not answer, so it was
		// sent to a second one.
		return Change{PublishDecision: &PublishDecision{ID: p.ID, Accepted: true, Revision: e.revision}}
	}
	if reasons := l.Check(p); len(reasons) > 0 {
		return Change{PublishDecision: &PublishDecision{ID: p.ID, Revision: l.Revision(p.File), Reasons: reasons}}
	}
	file, _ := p.Parse()
	previous, rebuild := l.files[p.File], l.affectsCell(file)
	l.files[p.File] = &Entry{revision: revision, publicationID: p.ID, data: p.Data, file: file}
	if previous == nil {
		l.registerNames(file, nil)
	} else {
		l.registerNames(file, previous.file)
	}
	if rebuild {
		before := l.cell
		l.rebuildCell()
		if len(file.Racks) > 0 || (previous != nil && len(previous.file.Racks) > 0) {
			l.updateFormerWorkers(&before)
		}
	}
	l.replaceObjects(revision, p.File, previous)
	l.applySettlements(file)
	return Change{FilesChanged: true, PublishDecision: &PublishDecision{ID: p.ID, Accepted: true, Revision: revision}}
}

// dropObjects removes the objects of e; nil has none.
func (l *Ledger) dropObjects(e *Entry) {
	if e == nil {
		return
	}
	for _, id := range e.objects {
		delete(l.objects, id)
	}
}

// replaceObjects replaces the objects of the previous revision of a file, if any, by
// those of the new one. An object that was in the previous revision keeps its ID, its
// homes, adapted to its task count, and its version unless its template changes. Other
// objects get new ones. The progress of removed objects is deleted.
func (l *Ledger) replaceObjects(revision int64, name string, previous *Entry) {
	before := map[string]*Object{}
	l.sorted = nil
	if previous != nil {
		for _, id := range previous.objects {
			before[id.Name] = l.objects[id]
		}
		l.dropObjects(previous)
	}
	e := l.files[name]
	for _, o := range objectsOf(e.file) {
		o.file = name
		old, exists := before[o.work.Name]
		switch {
		case !exists:
			o.id = task.ObjectID{Name: o.work.Name, Born: revision}
			o.version = revision
			o.homes = l.cell.assignHomes(o)
		default:
			o.id, o.version = old.id, old.version
			o.homes = resizeHomes(old.homes, o.work.Count)
			if !sameTemplate(old, o) {
				o.version = revision
			}
		}
		l.objects[o.id] = o
		e.objects = append(e.objects, o.id)
		delete(before, o.id.Name)
	}
	for _, removed := range before {
		delete(l.progress, removed.id)
	}
}

// objectsOf returns the objects that a file declares, without ID, version and homes. A
// retired file declares none.
func objectsOf(f *spec.File) []*Object {
	if f.Retired {
		return nil
	}
	var all []*Object
	for i := range f.Services {
		s := &f.Services[i]
		all = append(all, &Object{kind: KindService, work: &s.Work, service: s})
	}
	for i := range f.Jobs {
		j := &f.Jobs[i]
		all = append(all, &Object{kind: KindJob, work: &j.Work, batch: &j.Batch})
	}
	for i := range f.Gangs {
		g := &f.Gangs[i]
		all = append(all, &Object{kind: KindGang, work: &g.Work, batch: &g.Batch})
	}
	return all
}

// sameTemplate reports whether the tasks of a and b are started with the same resources
// and command.
func sameTemplate(a, b *Object) bool {
	return a.work.Resources == b.work.Resources && slices.Equal(a.work.Command, b.work.Command)
}

// immutableFields holds the fields of a job or gang that must not change after its
// publication, because they define what its finished tasks did.
type immutableFields struct {
	Kind       Kind
	Count      int
	Command    []string
	Domains    []string
	Repeatable bool
}

// immutableFieldsOf returns the immutable fields of o.
func immutableFieldsOf(o *Object) immutableFields {
	return immutableFields{o.kind, o.work.Count, o.work.Command, o.work.Domains, o.Repeatable()}
}

// sameImmutableFields reports whether a and b have the same immutable fields.
func sameImmutableFields(a, b *Object) bool {
	return reflect.DeepEqual(immutableFieldsOf(a), immutableFieldsOf(b))
}
