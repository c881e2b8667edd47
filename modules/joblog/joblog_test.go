// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package joblog_test

import (
	"strings"
	"testing"

	"saddlevane/modules/joblog"

	"gotest.tools/v3/assert"
)

const lines = `
  1.25 edge-1 {"box":"b","level":"info","msg":"task ended","job":"j1","task":"j1.0.0.3","outcome":"done","time":"2026-01-02T03:04:07.5Z"}
{"box":"a","level":"info","msg":"task start ordered","job":"j1","task":"j1.0.0.3","run":100000,"time":"2026-01-02T03:04:06Z"}
{"box":"a","msg":"task start ordered","job":"j10","task":"j10.0.0.3","time":"2026-01-02T03:04:06Z"}
{"box":"a","msg":"lines were left out","of":"task ended","count":3,"time":"2026-01-02T03:04:07Z"}
{"box":"a","msg":"lines were left out","of":"task ended","count":3,"time":"2026-01-02T03:04:01Z"}
{"box":"a","msg":"advice call failed","step":"j1.0.0","time":"2026-01-02T03:04:05Z"}
{"box":"a","msg":"task ended","job":"j1","ti
panic: something else
{"not":"ours"}
`

func TestHistoryIsSortedAndReportsGaps(t *testing.T) {
	var h joblog.History
	assert.NilError(t, h.Read(strings.NewReader(lines), "j1"))
	h.Sort()
	var got []string
	for _, l := range h.Lines {
		got = append(got, l.Box+": "+l.Message)
	}
	assert.DeepEqual(t, got, []string{"a: advice call failed", "a: task start ordered", "a: lines were left out", "b: task ended"})
	assert.Check(t, h.Lines[2].Gap)
	assert.DeepEqual(t, h.Lines[3].Fields, []string{"job=j1", "outcome=done", "task=j1.0.0.3"})
}

func TestTornAndForeignLinesAreCounted(t *testing.T) {
	var h joblog.History
	assert.NilError(t, h.Read(strings.NewReader(lines), "j1"))
	assert.Equal(t, h.TornLines, 1)
	assert.Equal(t, h.ForeignLines, 2)
}

func FuzzRead(f *testing.F) {
	f.Add(lines)
	f.Fuzz(func(t *testing.T, text string) {
		var h joblog.History
		assert.NilError(t, h.Read(strings.NewReader(text), "j1"))
		h.Sort()
	})
}
