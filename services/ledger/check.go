// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"fmt"
	"reflect"

	"saddlevane/models/spec"
)

// checkAgainstCell returns the reasons why file conflicts with the other files in force
// or with what must not change from the revision that it replaces.
func (l *Ledger) checkAgainstCell(file *spec.File) []string {
	var reasons []string
	refuse := func(format string, args ...any) { reasons = append(reasons, fmt.Sprintf(format, args...)) }
	after := l.cellWith(file)
	l.checkNames(file, refuse)
	l.checkFormerWorkers(file, refuse)
	l.checkObjects(file, after, refuse)
	l.checkOtherFiles(file, after, refuse)
	return reasons
}

// cellWith returns the cell as it would be with file in force.
func (l *Ledger) cellWith(file *spec.File) *cell {
	if !l.affectsCell(file) {
		return &l.cell
	}
	trial := &Ledger{files: make(map[string]*Entry, len(l.files)+1)}
	for name, e := range l.files {
		trial.files[name] = e
	}
	trial.files[file.Name] = &Entry{file: file}
	trial.rebuildCell()
	return &trial.cell
}

// checkNames refuses names that another file in force declares.
func (l *Ledger) checkNames(file *spec.File, refuse func(string, ...any)) {
	for _, key := range declaredNames(file) {
		if other, ok := l.fileOfName[key]; ok && other != file.Name {
			refuse("%s is already in file %q", key, other)
		}
	}
}

// registerNames records the names that file declares, and removes those of the revision
// that it replaces, if any.
func (l *Ledger) registerNames(file, previous *spec.File) {
	if previous != nil {
		for _, key := range declaredNames(previous) {
			delete(l.fileOfName, key)
		}
	}
	for _, key := range declaredNames(file) {
		l.fileOfName[key] = file.Name
	}
}

// declaredNames returns the names that a file declares, each with its kind in front. A
// retired file declares none.
func declaredNames(f *spec.File) []string {
	if f.Retired {
		return nil
	}
	var keys []string
	for _, r := range f.Racks {
		keys = append(keys, "rack "+r.Name)
		for _, w := range r.Workers {
			keys = append(keys, "worker "+w)
		}
	}
	for _, t := range f.Teams {
		keys = append(keys, "team "+t.Name)
	}
	for _, p := range f.Pools {
		keys = append(keys, "pool "+p.Name)
	}
	for _, w := range f.Works() {
		keys = append(keys, "work "+w.Name)
	}
	return keys
}

// checkObjects refuses work that can never run, and changes to fields of a job or gang
// that define what its finished tasks did.
func (l *Ledger) checkObjects(file *spec.File, after *cell, refuse func(string, ...any)) {
	before := map[string]*Object{}
	if e, ok := l.files[file.Name]; ok {
		for _, id := range e.objects {
			before[id.Name] = l.objects[id]
		}
	}
	for _, o := range objectsOf(file) {
		if reason := after.unrunnableReason(o); reason != "" {
			refuse("%s can never run: %s", o.work.Name, reason)
		}
		if old, exists := before[o.work.Name]; exists && o.kind != KindService && !sameImmutableFields(old, o) {
			refuse("%s was published with a different kind, count, command, domains or repeatable; use a new name", o.work.Name)
		} else if exists && old.kind != o.kind {
			refuse("%s was published as a %s; use a new name", o.work.Name, old.kind)
		}
	}
}

// checkOtherFiles refuses a file that would remove a team or the last worker that is
// large enough for work in another file, remove all racks of a shard that has tasks of
// such work, or move a rack between shards.
func (l *Ledger) checkOtherFiles(file *spec.File, after *cell, refuse func(string, ...any)) {
	if !l.changesRacksOrTeams(file) {
		return
	}
	for _, o := range l.Objects() {
		if o.file == file.Name {
			continue
		}
		if reason := after.unrunnableReason(o); reason != "" {
			refuse("%s, in file %q, could no longer run: %s", o.work.Name, o.file, reason)
		}
	}
	for name, r := range l.cell.racks {
		if now, exists := after.racks[name]; exists && now.ShardID() != r.ShardID() {
			refuse("rack %s is in shard %s; to move it, publish it under a new name", name, r.ShardID())
		}
	}
	for _, o := range l.Objects() {
		for _, h := range o.homes {
			if o.file != file.Name && after.shards[h.Shard] == nil {
				refuse("%s, in file %q, has tasks in shard %s, which would have no racks", o.work.Name, o.file, h.Shard)
			}
		}
	}
}

// changesRacksOrTeams reports whether the racks or teams of file differ from those of the
// revision that it replaces. Only such a change can affect work in other files.
func (l *Ledger) changesRacksOrTeams(file *spec.File) bool {
	before := &spec.File{}
	if e, ok := l.files[file.Name]; ok {
		before = e.file
	}
	return file.Retired != before.Retired ||
		!reflect.DeepEqual(file.Racks, before.Racks) || !reflect.DeepEqual(file.Teams, before.Teams)
}

// affectsCell reports whether the cell depends on file or on the revision that it
// replaces. Most files declare only work, and the cell need not be rebuilt for them.
func (l *Ledger) affectsCell(file *spec.File) bool {
	declaresCell := func(f *spec.File) bool {
		return len(f.Racks) > 0 || len(f.Teams) > 0 || len(f.Pools) > 0 || len(f.Drain) > 0
	}
	e, ok := l.files[file.Name]
	return declaresCell(file) || (ok && declaresCell(e.file))
}

// unrunnableReason returns why o can never run in the cell, or "" if it can.
func (c *cell) unrunnableReason(o *Object) string {
	team, ok := c.teams[o.work.Team]
	if !ok {
		return fmt.Sprintf("no team %q", o.work.Team)
	}
	need := o.work.Resources
	if o.kind == KindGang {
		need = need.Times(o.work.Count)
	}
	if !need.Fits(team.Quota) {
		return fmt.Sprintf("it needs more at once than the quota of team %q", team.Name)
	}
	if len(c.eligibleShards(o)) == 0 {
		if o.kind == KindGang {
			return "no shard has room for all its tasks together"
		}
		return "no worker is large enough"
	}
	return ""
}
