// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"fmt"
	"math/bits"
	"reflect"
	"slices"

	"saddlevane/models/record"
	"saddlevane/models/resource"
	"saddlevane/models/spec"
)

// cell is what all files in force say together.
type cell struct {
	racks map[string]spec.Rack
	teams map[string]spec.Team
	pools map[string]spec.Pool
	drain map[string]bool
	// shards holds what each shard has, total what all have together.
	shards map[spec.ShardID]*shardCell
	total  resource.Vector
}

// shardCell is what one shard has. Sums are kept, because every publication asks
// for them and a cell has thousands of racks.
type shardCell struct {
	racks    []spec.Rack
	capacity resource.Vector
	// sizes counts the workers of each size.
	sizes map[resource.Vector]int
}

func (l *Ledger) rebuildCell() {
	c := cell{
		racks: map[string]spec.Rack{}, teams: map[string]spec.Team{}, pools: map[string]spec.Pool{},
		drain: map[string]bool{}, shards: map[spec.ShardID]*shardCell{},
	}
	for _, name := range l.Files() {
		c.add(l.files[name].file)
	}
	l.cell = c
}

func (c *cell) add(f *spec.File) {
	if f.Retired {
		return
	}
	for _, r := range f.Racks {
		c.addRack(r)
	}
	for _, t := range f.Teams {
		c.teams[t.Name] = t
	}
	for _, p := range f.Pools {
		c.pools[p.Name] = p
	}
	for _, name := range f.Drain {
		c.drain[name] = true
	}
}

func (c *cell) addRack(r spec.Rack) {
	c.racks[r.Name] = r
	sc := c.shards[r.ShardID()]
	if sc == nil {
		sc = &shardCell{sizes: map[resource.Vector]int{}}
		c.shards[r.ShardID()] = sc
	}
	all := r.Each.Times(len(r.Workers))
	sc.racks = append(sc.racks, r)
	sc.capacity = sc.capacity.Plus(all)
	sc.sizes[r.Each] += len(r.Workers)
	c.total = c.total.Plus(all)
}

// Pools returns the pools in force by name.
func (l *Ledger) Pools() map[string]spec.Pool { return l.cell.pools }

// Teams returns the teams in force by name.
func (l *Ledger) Teams() map[string]spec.Team { return l.cell.teams }

// Racks returns the racks of shard.
func (l *Ledger) Racks(shard spec.ShardID) []spec.Rack {
	if sc := l.cell.shards[shard]; sc != nil {
		return sc.racks
	}
	return nil
}

// Shards returns the shards of domain, in order.
func (l *Ledger) Shards(domain string) []spec.ShardID {
	var all []spec.ShardID
	for id := range l.cell.shards {
		if id.Domain == domain {
			all = append(all, id)
		}
	}
	slices.SortFunc(all, spec.ShardID.Compare)
	return all
}

// Draining says whether an operator wants the box emptied.
func (l *Ledger) Draining(name string) bool { return l.cell.drain[name] }

// checkTogether says what in file clashes with the other files in force, or
// with promises made by the revision that it replaces.
func (l *Ledger) checkTogether(file *spec.File) []string {
	var reasons []string
	refuse := func(format string, args ...any) { reasons = append(reasons, fmt.Sprintf(format, args...)) }
	after := l.cellWith(file)
	l.checkNames(file, refuse)
	l.checkObjects(file, after, refuse)
	l.checkOthers(file, after, refuse)
	return reasons
}

// cellWith returns the cell as it would be with file in force.
func (l *Ledger) cellWith(file *spec.File) *cell {
	if !l.shapesCell(file) {
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

// checkNames refuses names that another file in force has taken.
func (l *Ledger) checkNames(file *spec.File, refuse func(string, ...any)) {
	for _, key := range names(file) {
		if other, ok := l.owners[key]; ok && other != file.Name {
			refuse("%s is already in file %q", key, other)
		}
	}
}

// own notes which names a file takes, in place of those of the file that it
// replaces.
func (l *Ledger) own(file, previous *spec.File) {
	if previous != nil {
		for _, key := range names(previous) {
			delete(l.owners, key)
		}
	}
	for _, key := range names(file) {
		l.owners[key] = file.Name
	}
}

func names(f *spec.File) []string {
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

// checkObjects refuses work that can never run, and changes to what finished
// tasks meant.
func (l *Ledger) checkObjects(file *spec.File, after *cell, refuse func(string, ...any)) {
	before := map[string]*Object{}
	if e, ok := l.files[file.Name]; ok {
		for _, id := range e.objects {
			before[id.Name] = l.objects[id]
		}
	}
	for _, o := range objectsOf(file) {
		if reason := after.never(o); reason != "" {
			refuse("%s can never run: %s", o.work.Name, reason)
		}
		if old, lives := before[o.work.Name]; lives && o.kind != KindService && !sameFrozen(old, o) {
			refuse("%s was published with another kind, count, command, domains or repeatable; use a new name", o.work.Name)
		} else if lives && old.kind != o.kind {
			refuse("%s was a %s; use a new name", o.work.Name, old.kind)
		}
	}
}

// checkOthers refuses a file that would take a team, or the last worker that is
// large enough, from work in another file, or move a rack between shards.
func (l *Ledger) checkOthers(file *spec.File, after *cell, refuse func(string, ...any)) {
	if !l.changesCell(file) {
		return
	}
	for _, o := range l.Objects() {
		if o.file == file.Name {
			continue
		}
		if reason := after.never(o); reason != "" {
			refuse("%s, in file %q, could no longer run: %s", o.work.Name, o.file, reason)
		}
	}
	for name, r := range l.cell.racks {
		if now, stays := after.racks[name]; stays && now.ShardID() != r.ShardID() {
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

// changesCell says whether file has other racks or teams than the revision that
// it replaces. Only then can it take something from work in other files.
func (l *Ledger) changesCell(file *spec.File) bool {
	before := &spec.File{}
	if e, ok := l.files[file.Name]; ok {
		before = e.file
	}
	return file.Retired != before.Retired ||
		!reflect.DeepEqual(file.Racks, before.Racks) || !reflect.DeepEqual(file.Teams, before.Teams)
}

// shapesCell says whether the cell depends on file or on the revision that it
// replaces. Most files hold only work, and the cell need not be made anew.
func (l *Ledger) shapesCell(file *spec.File) bool {
	shapes := func(f *spec.File) bool {
		return len(f.Racks) > 0 || len(f.Teams) > 0 || len(f.Pools) > 0 || len(f.Drain) > 0
	}
	e, ok := l.files[file.Name]
	return shapes(file) || (ok && shapes(e.file))
}

// never says why o can never run in the cell, or "".
func (c *cell) never(o *Object) string {
	team, ok := c.teams[o.work.Team]
	if !ok {
		return fmt.Sprintf("no team %q", o.work.Team)
	}
	need := o.work.Resources
	if o.kind == KindGang {
		need = need.Times(o.work.Count)
	}
	if !need.Fits(team.Quota) {
		return fmt.Sprintf("it needs more than the quota of team %q at once", team.Name)
	}
	if len(c.eligible(o)) == 0 {
		if o.kind == KindGang {
			return "no shard has room for all its tasks together"
		}
		return "no worker is large enough"
	}
	return ""
}

// eligible returns the shards that could run o when empty, in order.
func (c *cell) eligible(o *Object) []spec.ShardID {
	var all []spec.ShardID
	for id, sc := range c.shards {
		if len(o.work.Domains) > 0 && !slices.Contains(o.work.Domains, id.Domain) {
			continue
		}
		if c.hasRoom(id, sc, o) {
			all = append(all, id)
		}
	}
	slices.SortFunc(all, spec.ShardID.Compare)
	return all
}

// hasRoom says whether a shard, when empty, has room for one task of o, or for
// all of them if o is a gang, within the team's quota there.
func (c *cell) hasRoom(id spec.ShardID, sc *shardCell, o *Object) bool {
	need, count := o.work.Resources, 1
	if o.kind == KindGang {
		need, count = need.Times(o.work.Count), o.work.Count
	}
	quota := QuotaPart(c.teams[o.work.Team], c.part(id))
	return sc.places(o.work.Resources) >= count && need.Fits(quota)
}

// Part is a shard's capacity and that of all shards.
type Part struct{ shard, cell resource.Vector }

func (c *cell) part(id spec.ShardID) Part { return Part{shard: c.capacity(id), cell: c.total} }

func (c *cell) capacity(id spec.ShardID) resource.Vector {
	if sc := c.shards[id]; sc != nil {
		return sc.capacity
	}
	return resource.Vector{}
}

// Part returns what part of the cell shard is.
func (l *Ledger) Part(shard spec.ShardID) Part { return l.cell.part(shard) }

// Capacity returns what the workers of shard have together, as declared.
func (l *Ledger) Capacity(shard spec.ShardID) resource.Vector { return l.cell.capacity(shard) }

// QuotaPart returns a team's quota in one shard: of each resource the part of
// the cell's that the shard has. The parts add up to no more than the quota, so
// shards need not ask each other.
func QuotaPart(t spec.Team, p Part) resource.Vector {
	return resource.Vector{
		Processors:   resource.Millis(scale(int64(t.Quota.Processors), int64(p.shard.Processors), int64(p.cell.Processors))),
		Memory:       resource.Bytes(scale(int64(t.Quota.Memory), int64(p.shard.Memory), int64(p.cell.Memory))),
		Accelerators: scale(t.Quota.Accelerators, p.shard.Accelerators, p.cell.Accelerators),
	}
}

// scale returns amount * part / whole, rounded down, without overflow.
func scale(amount, part, whole int64) int64 {
	if whole <= 0 || part <= 0 || amount <= 0 {
		return 0
	}
	high, low := bits.Mul64(uint64(amount), uint64(min(part, whole)))
	quotient, _ := bits.Div64(high, low, uint64(whole))
	return int64(quotient)
}

// places returns how many tasks of size need fit on the shard when empty.
func (sc *shardCell) places(need resource.Vector) int {
	total := 0
	for each, workers := range sc.sizes {
		total += copies(each, need) * workers
	}
	return total
}

func copies(each, need resource.Vector) int {
	n := int64(spec.MaxCount)
	if need.Processors > 0 {
		n = min(n, int64(each.Processors/need.Processors))
	}
	if need.Memory > 0 {
		n = min(n, int64(each.Memory/need.Memory))
	}
	if need.Accelerators > 0 {
		n = min(n, each.Accelerators/need.Accelerators)
	}
	return int(n)
}

// homes shares the tasks of a new object out over the shards that can run it:
// a gang to one shard, everything else by how many tasks each shard has room
// for when empty.
func (c *cell) homes(o *Object) []record.Home {
	shards := c.eligible(o)
	if len(shards) == 0 {
		return nil
	}
	if o.kind == KindGang {
		pick := shards[int(o.id.Born%int64(len(shards)))]
		return []record.Home{{Shard: pick, From: 0, To: o.work.Count}}
	}
	weights, total := make([]int, len(shards)), 0
	for i, id := range shards {
		weights[i] = c.shards[id].places(o.work.Resources)
		total += weights[i]
	}
	return share(shards, weights, total, o)
}

// share cuts the tasks of o into one range a shard. Which shard comes first
// depends on the birth, so that many small jobs do not all land on one.
func share(shards []spec.ShardID, weights []int, total int, o *Object) []record.Home {
	first := int(o.id.Born % int64(len(shards)))
	var homes []record.Home
	from, seen := 0, 0
	for i := range shards {
		at := (first + i) % len(shards)
		seen += weights[at]
		to := (o.work.Count*seen + total - 1) / total
		if to > from {
			homes = append(homes, record.Home{Shard: shards[at], From: from, To: to})
			from = to
		}
	}
	return homes
}

// resize fits homes to a new count: the last range grows, or ranges are cut
// from the end. Tasks that stay keep their shard.
func resize(homes []record.Home, count int) []record.Home {
	var kept []record.Home
	for _, h := range homes {
		if h.From >= count {
			break
		}
		h.To = min(h.To, count)
		kept = append(kept, h)
	}
	if n := len(kept); n > 0 && kept[n-1].To < count {
		kept[n-1].To = count
	}
	return kept
}
