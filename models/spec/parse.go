// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spec

import (
	"fmt"
	"regexp"
	"strconv"
	"time"

	"saddlevane/modules/strictyaml"
)

// The limits of a file. They bound the size of a log record and the memory and time that each
// process spends on a file. The time of the YAML library grows with the square of the number of keys
// in one mapping, so larger files could take many seconds; the racks and the work of a larger cell
// are split over several files.
const (
	MaxFileBytes = 256 << 10
	MaxCount     = 100_000
	maxDeadline  = time.Hour
	maxQueue     = 100_000
	maxSlots     = 10_000
	maxRetries   = 100
	maxCommand   = 64
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Parse decodes a file and checks everything that can be checked without other files. It returns all
// problems at once, each with its position, and no file if there are any.
func Parse(source string, data []byte) (*File, strictyaml.Positions, strictyaml.Problems) {
	if len(data) > MaxFileBytes {
		return nil, nil, strictyaml.Problems{{
			File:   source,
			Reason: fmt.Sprintf("%d bytes, the limit is %d", len(data), MaxFileBytes),
		}}
	}
	f := &File{}
	positions, problems := strictyaml.Decode(source, data, f)
	c := checker{source: source, positions: positions, problems: problems}
	f.setDefaults()
	c.checkFile(f)
	if len(c.problems) > 0 {
		return nil, positions, c.problems
	}
	return f, positions, nil
}

// setDefaults fills in the weights, spreads and priorities that are not given.
func (f *File) setDefaults() {
	for i := range f.Teams {
		if f.Teams[i].Weight == 0 {
			f.Teams[i].Weight = 1
		}
	}
	for i := range f.Services {
		if f.Services[i].Spread == "" {
			f.Services[i].Spread = SpreadRack
		}
	}
	for _, w := range f.Works() {
		if w.Priority == "" {
			w.Priority = Normal
		}
	}
}

// Works returns the common part of every service, job and gang, in that order.
func (f *File) Works() []*Work {
	works := make([]*Work, 0, len(f.Services)+len(f.Jobs)+len(f.Gangs))
	for i := range f.Services {
		works = append(works, &f.Services[i].Work)
	}
	for i := range f.Jobs {
		works = append(works, &f.Jobs[i].Work)
	}
	for i := range f.Gangs {
		works = append(works, &f.Gangs[i].Work)
	}
	return works
}

// checker collects the problems of one file.
type checker struct {
	source    string
	positions strictyaml.Positions
	problems  strictyaml.Problems
}

// fail adds a problem with the field at path.
func (c *checker) fail(path, format string, args ...any) {
	c.problems = append(c.problems, strictyaml.Problem{
		File: c.source, Position: c.positions.Of(path), Path: path, Reason: fmt.Sprintf(format, args...),
	})
}

// checkName checks that name is well formed and, if seen is not nil, that it is unique. Seen maps the
// names checked so far to their paths.
func (c *checker) checkName(path, name string, seen map[string]string) {
	if !namePattern.MatchString(name) {
		c.fail(path, "want a name of a-z, 0-9 and '-', at most 63 long, got %q", name)
		return
	}
	if seen == nil {
		return
	}
	if first, ok := seen[name]; ok {
		c.fail(path, "the name %q is already used at %s", name, first)
		return
	}
	seen[name] = path
}

// checkRange checks that got is from lowest to highest, both included.
func (c *checker) checkRange(path string, got, lowest, highest int) {
	if got < lowest || got > highest {
		c.fail(path, "want %d to %d, got %d", lowest, highest, got)
	}
}

// checkFile checks all fields of a file.
func (c *checker) checkFile(f *File) {
	c.checkName("name", f.Name, nil)
	c.checkRacks(f.Racks)
	c.checkTeams(f.Teams)
	c.checkPools(f.Pools)
	seen := map[string]string{}
	for i := range f.Services {
		c.checkWork(indexed("services", i), &f.Services[i].Work, seen)
	}
	for i := range f.Jobs {
		c.checkWork(indexed("jobs", i), &f.Jobs[i].Work, seen)
		c.checkBatch(indexed("jobs", i), &f.Jobs[i].Batch)
	}
	for i := range f.Gangs {
		c.checkWork(indexed("gangs", i), &f.Gangs[i].Work, seen)
		c.checkBatch(indexed("gangs", i), &f.Gangs[i].Batch)
	}
	for i, name := range f.Drain {
		c.checkName(indexed("drain", i), name, nil)
	}
	c.checkSettlements(f.Settled)
}

// checkRacks checks the racks. Their names and those of their workers must be unique.
func (c *checker) checkRacks(racks []Rack) {
	names, workers := map[string]string{}, map[string]string{}
	for i, r := range racks {
		path := indexed("racks", i)
		c.checkName(path+".name", r.Name, names)
		c.checkName(path+".domain", r.Domain, nil)
		c.checkRange(path+".shard", r.Shard, 0, 1000)
		if r.Each.Processors <= 0 || r.Each.Memory <= 0 {
			c.fail(path+".each", "want processors and memory above zero")
		}
		for j, w := range r.Workers {
			c.checkName(indexed(path+".workers", j), w, workers)
		}
	}
}

// checkTeams checks the teams. Their names must be unique.
func (c *checker) checkTeams(teams []Team) {
	names := map[string]string{}
	for i, t := range teams {
		path := indexed("teams", i)
		c.checkName(path+".name", t.Name, names)
		if !(t.Weight > 0 && t.Weight <= 1000) {
			c.fail(path+".weight", "want a number above 0 and up to 1000, got %v", t.Weight)
		}
	}
}

// checkPools checks the pools and their classes. The names of pools, and of the classes of a pool,
// must be unique.
func (c *checker) checkPools(pools []Pool) {
	names := map[string]string{}
	for i, p := range pools {
		path := indexed("pools", i)
		c.checkName(path+".name", p.Name, names)
		c.checkRange(path+".slots", p.Slots, 1, maxSlots)
		c.checkRange(path+".connections", p.Connections, p.Slots, maxSlots)
		if len(p.Classes) == 0 {
			c.fail(path+".classes", "want at least one class")
		}
		classes := map[string]string{}
		for j, k := range p.Classes {
			c.checkClass(indexed(path+".classes", j), k, classes)
		}
	}
}

// checkClass checks the class at path. Seen is as in checkName.
func (c *checker) checkClass(path string, k Class, seen map[string]string) {
	c.checkName(path+".name", k.Name, seen)
	if k.Priority == "" {
		c.fail(path+".priority", "missing")
	}
	if k.Deadline <= 0 || k.Deadline > maxDeadline {
		c.fail(path+".deadline", "want more than 0s and at most %s, got %s", maxDeadline, k.Deadline)
	}
	c.checkRange(path+".queue", k.Queue, 1, maxQueue)
}

// checkWork checks the common fields of the service, job or gang at path. Seen is as in checkName.
func (c *checker) checkWork(path string, w *Work, seen map[string]string) {
	c.checkName(path+".name", w.Name, seen)
	c.checkName(path+".team", w.Team, nil)
	c.checkRange(path+".count", w.Count, 1, MaxCount)
	if w.Resources.IsZero() || w.Resources.IsNegative() {
		c.fail(path+".resources", "want at least one amount above zero and none below")
	}
	if len(w.Command) == 0 || len(w.Command) > maxCommand {
		c.fail(path+".command", "want 1 to %d words, got %d", maxCommand, len(w.Command))
	}
	for i, d := range w.Domains {
		c.checkName(indexed(path+".domains", i), d, nil)
	}
}

// checkBatch checks the fields of the job or gang at path that only jobs and gangs have.
func (c *checker) checkBatch(path string, b *Batch) {
	if b.Expected < 0 {
		c.fail(path+".expected", "want 0s or more, got %s", b.Expected)
	}
	c.checkRange(path+".retries", b.Retries, 0, maxRetries)
}

// checkSettlements checks the settlements of tasks.
func (c *checker) checkSettlements(settled []Settlement) {
	for i, s := range settled {
		path := indexed("settled", i)
		if _, err := s.Key(); err != nil {
			c.fail(path+".task", "%s", err)
		}
		if s.As == "" {
			c.fail(path+".as", "missing")
		}
	}
}

// indexed returns the path of element i of the list at path.
func indexed(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }
