// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spec_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"saddlevane/models/resource"
	"saddlevane/models/spec"

	"gotest.tools/v3/assert"
)

func examples(t testing.TB) map[string][]byte {
	t.Helper()
	paths, err := filepath.Glob("../../docs/examples/*.yaml")
	assert.NilError(t, err)
	assert.Check(t, len(paths) >= 2)
	files := map[string][]byte{}
	for _, p := range paths {
		data, err := os.ReadFile(p)
		assert.NilError(t, err)
		files[p] = data
	}
	return files
}

func TestExampleFilesAreValid(t *testing.T) {
	for path, data := range examples(t) {
		f, _, problems := spec.Parse(path, data)
		assert.NilError(t, problems.Err())
		workers := 0
		for _, r := range f.Racks {
			workers += len(r.Workers)
		}
		assert.Equal(t, workers, 50, path)
	}
}

func TestParseReadsJob(t *testing.T) {
	f, _, problems := spec.Parse("f", []byte(`name: work
jobs:
  - name: j
    team: t
    count: 3
    resources: {processors: 1500m, memory: 2GiB, accelerators: 1}
    command: [run, "1"]
    repeatable: true
    expected: 40s
    deadline: 2026-12-02T06:00:00Z
`))
	assert.NilError(t, problems.Err())
	j := f.Jobs[0]
	assert.DeepEqual(t, j.Resources, resource.Vector{Processors: 1500, Memory: 2 * resource.GiB, Accelerators: 1})
	assert.Equal(t, j.Priority, spec.Normal)
	assert.Equal(t, j.Expected, 40*time.Second)
	assert.Check(t, j.Repeatable)
	assert.Check(t, j.Deadline.Equal(time.Date(2026, 12, 2, 6, 0, 0, 0, time.UTC)))
}

func TestParseReportsEveryProblemWithItsPosition(t *testing.T) {
	f, _, problems := spec.Parse("f", []byte(`name: Work
teams:
  - {name: t, weight: -1}
jobs:
  - {name: j, team: t, count: 0, resources: {processors: lots}, command: []}
  - {name: j, team: t, count: 1, resources: {processors: 1}, command: [x], colour: red}
settled:
  - {task: j, as: maybe}
`))
	assert.Check(t, f == nil)
	var got []string
	for _, p := range problems {
		line, _, _ := strings.Cut(p.Error(), ": ")
		got = append(got, line+" "+p.Path)
	}
	assert.DeepEqual(t, got, []string{
		"f:5:58 jobs[0].resources.processors",
		"f:6:76 jobs[1].colour",
		"f:8:19 settled[0].as",
		"f:1:1 name",
		"f:3:15 teams[0].weight",
		"f:5:24 jobs[0].count",
		"f:5:34 jobs[0].resources",
		"f:5:65 jobs[0].command",
		"f:6:6 jobs[1].name",
		"f:8:6 settled[0].task",
		"f:8:15 settled[0].as",
	})
}

func TestParseRejectsOversizedFile(t *testing.T) {
	_, _, problems := spec.Parse("f", make([]byte, spec.MaxFileBytes+1))
	assert.ErrorContains(t, problems, "the limit is")
}

func FuzzParse(f *testing.F) {
	for _, data := range examples(f) {
		f.Add(data)
	}
	f.Add([]byte("name: a\njobs: [{count: 1e9}]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, _, problems := spec.Parse("f", data)
		assert.Check(t, (file == nil) == (len(problems) > 0))
	})
}
