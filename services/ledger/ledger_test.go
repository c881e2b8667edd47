// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger_test

import (
	"encoding/json"
	"strconv"
	"strings"
	"testing"
	"time"

	"saddlevane/models/record"
	"saddlevane/models/spec"
	"saddlevane/models/task"
	"saddlevane/services/ledger"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

const cellFile = `name: cell
racks:
  - {name: r1, domain: a, shard: 0, workers: [w1, w2], each: {processors: 8, memory: 16GiB}}
  - {name: r2, domain: b, shard: 0, workers: [w3, w4], each: {processors: 8, memory: 16GiB}}
teams:
  - {name: t, quota: {processors: 32, memory: 64GiB}}
`

const jobFile = `name: work
jobs:
  - {name: j, team: t, count: 10, resources: {processors: 1, memory: 1GiB}, command: [run], repeatable: false}
`

// testLog plays a log that several processes append to.
type testLog struct {
	t       *testing.T
	records [][]byte
}

func (w *testLog) append(entries ...record.Entry) int64 {
	w.t.Helper()
	offset := int64(len(w.records))
	data, err := json.Marshal(record.Envelope{ID: strconv.FormatInt(offset, 10), From: "test", Entries: entries})
	assert.NilError(w.t, err)
	w.records = append(w.records, data)
	return offset
}

func (w *testLog) publish(id, file string, replaces int64, data string) int64 {
	w.t.Helper()
	return w.append(record.Entry{Publish: &record.Publish{ID: id, File: file, Replaces: replaces, Data: data}})
}

func (w *testLog) apply(l *ledger.Ledger) []ledger.PublishDecision {
	var decided []ledger.PublishDecision
	for i := l.NextOffset(); i < int64(len(w.records)); i++ {
		envelope, err := record.Decode(w.records[i])
		assert.NilError(w.t, err)
		for _, c := range l.Apply(i, start, envelope).Changes {
			if c.PublishDecision != nil {
				decided = append(decided, *c.PublishDecision)
			}
		}
	}
	return decided
}

// newLogWithJob returns a log and its fold with a cell and a job in force.
func newLogWithJob(t *testing.T) (*testLog, *ledger.Ledger) {
	t.Helper()
	w, l := &testLog{t: t}, ledger.New()
	w.publish("c", "cell", 0, cellFile)
	w.publish("j", "work", 0, jobFile)
	for _, p := range w.apply(l) {
		assert.Assert(t, p.Accepted, "%v", p.Reasons)
	}
	return w, l
}

func TestFirstOfTwoConflictingPublicationsIsAccepted(t *testing.T) {
	w, l := &testLog{t: t}, ledger.New()
	w.publish("one", "cell", 0, cellFile)
	w.publish("two", "cell", 0, cellFile)
	decided := w.apply(l)
	assert.Equal(t, len(decided), 2)
	assert.Check(t, decided[0].Accepted)
	assert.Check(t, !decided[1].Accepted, "the second replaced nothing, yet was accepted")
	e, _ := l.Entry("cell")
	assert.Equal(t, e.PublicationID(), "one")
}

// An operator's file was refused with "replaces revision 0, but 9 is in force", and 9 was the
// file itself. The box that was asked first had appended it and could not answer any more;
// the second did not have it yet and appended it too, then took its ledger from a peer
// that had, and read its own record of the file after that. Nothing told that both are
// one publication.
func TestPublicationAppendedByTwoBoxesTakesEffectOnce(t *testing.T) {
	w, l := newLogWithJob(t)
	revision := w.publish("x", "more", 0, strings.ReplaceAll(strings.ReplaceAll(jobFile, "work", "more"), "name: j", "name: k")) + 1
	first := w.apply(l)
	w.publish("x", "more", 0, strings.ReplaceAll(strings.ReplaceAll(jobFile, "work", "more"), "name: j", "name: k"))
	second := w.apply(l)
	assert.Equal(t, len(first), 1)
	assert.Equal(t, len(second), 1)
	assert.Check(t, first[0].Accepted && second[0].Accepted, "%+v, %+v", first[0], second[0])
	assert.Equal(t, second[0].Revision, revision, "it came into force once")
}

func TestFirstOfTwoConflictingClaimsHolds(t *testing.T) {
	w, l := &testLog{t: t}, ledger.New()
	shard := spec.ShardID{Domain: "a"}
	for _, box := range []string{"first", "second"} {
		w.append(record.Entry{Claim: &record.Claim{Shard: shard, Box: box, Incarnation: "i"}})
	}
	w.apply(l)
	c, _ := l.Claim(shard)
	assert.Equal(t, c.Box(), "first")
}

func TestRepeatedRecordsAreIgnored(t *testing.T) {
	w, l := &testLog{t: t}, ledger.New()
	first := w.publish("one", "cell", 0, cellFile)
	w.records = append(w.records, w.records[first])
	decided := w.apply(l)
	assert.Check(t, decided[0].Accepted)
	assert.DeepEqual(t, decided[1], decided[0])
	assert.Equal(t, l.Revision("cell"), decided[0].Revision)
	envelope, err := record.Decode(w.records[0])
	assert.NilError(t, err)
	assert.Equal(t, len(l.Apply(0, start, envelope).Changes), 0)
}

func TestReaderFromCheckpointMatchesFullReader(t *testing.T) {
	w, whole := &testLog{t: t}, ledger.New()
	w.publish("c", "cell", 0, cellFile)
	w.publish("j", "work", 0, jobFile)
	w.apply(whole)
	o, ok := whole.ObjectByName("j")
	assert.Assert(t, ok)
	w.append(record.Entry{Claim: &record.Claim{Shard: spec.ShardID{Domain: "a"}, Box: "x", Incarnation: "i"}})
	w.append(record.Entry{Intents: &record.Tasks{Object: o.ID(), Ranges: []record.Range{{From: 0, To: 4}}}})
	w.append(record.Entry{Done: &record.Tasks{Object: o.ID(), Ranges: []record.Range{{From: 1, To: 3}}}})
	w.apply(whole)
	for _, part := range ledger.SplitCheckpoint("cp", whole.Snapshot()) {
		w.append(record.Entry{Checkpoint: &part})
	}
	w.append(record.Entry{Done: &record.Tasks{Object: o.ID(), Ranges: []record.Range{{From: 3, To: 4}}}})
	w.publish("j2", "work", whole.Snapshot().Files[1].Revision, strings.Replace(jobFile, "team: t", "team: t, priority: urgent", 1))
	w.apply(whole)

	const first = 4 // everything before is gone
	seek := ledger.NewCheckpointSearch(first)
	w.apply(seek)
	s, ok := seek.FoundCheckpoint(first)
	assert.Assert(t, ok)
	late, err := ledger.Restore(s)
	assert.NilError(t, err)
	w.apply(late)
	assert.DeepEqual(t, late.Snapshot(), whole.Snapshot())
}

func TestCheckpointOlderThanRetainedLogIsNotUsed(t *testing.T) {
	w, l := &testLog{t: t}, ledger.New()
	w.publish("c", "cell", 0, cellFile)
	w.apply(l)
	stale := ledger.SplitCheckpoint("cp", l.Snapshot())
	w.publish("j", "work", 0, jobFile)
	w.append(record.Entry{Checkpoint: &stale[0]})
	const first = 2
	seek := ledger.NewCheckpointSearch(first)
	w.apply(seek)
	_, ok := seek.FoundCheckpoint(first)
	assert.Check(t, !ok)
}

func TestInvalidFilesAreRefusedWithReason(t *testing.T) {
	job := func(lines string) string { return "name: work\njobs:\n  - {name: j, command: [run], " + lines + "}\n" }
	for _, test := range []struct{ name, file, data, want string }{
		{"no team", "work", job("team: nobody, count: 1, resources: {processors: 1}"), "no team"},
		{"too large for any worker", "work", job("team: t, count: 1, resources: {processors: 9}"), "no worker is large enough"},
		{"more than the quota", "work", job("team: t, count: 1, resources: {memory: 65GiB}"), "quota"},
		{"another file's name", "other", strings.Replace(cellFile, "name: cell", "name: other", 1), "already in file"},
		{"gang larger than a shard", "work", "name: work\ngangs:\n  - {name: g, team: t, command: [run], count: 5, resources: {processors: 4}}\n", "together"},
		{"another name inside", "work", jobFile[:0] + strings.Replace(jobFile, "name: work", "name: else", 1), "the file says name"},
	} {
		t.Run(test.name, func(t *testing.T) {
			w, l := &testLog{t: t}, ledger.New()
			w.publish("c", "cell", 0, cellFile)
			w.publish("x", test.file, 0, test.data)
			decided := w.apply(l)
			assert.Check(t, !decided[1].Accepted)
			assert.Check(t, strings.Contains(strings.Join(decided[1].Reasons, "; "), test.want), "reasons: %q", decided[1].Reasons)
			assert.Equal(t, len(l.Files()), 1)
		})
	}
}

func TestFileThatBreaksWorkOfAnotherFileIsRefused(t *testing.T) {
	w, l := newLogWithJob(t)
	e, _ := l.Entry("cell")
	noTeam := strings.Split(cellFile, "teams:")[0]
	w.publish("c2", "cell", e.Revision(), noTeam)
	moved := strings.Replace(cellFile, "domain: a, shard: 0", "domain: a, shard: 1", 1)
	w.publish("c3", "cell", e.Revision(), moved)
	for _, p := range w.apply(l) {
		assert.Check(t, !p.Accepted, p.ID)
	}
}

func TestHomesCoverEachTaskOnceAndAreStable(t *testing.T) {
	w, l := newLogWithJob(t)
	o, _ := l.ObjectByName("j")
	next := 0
	for _, h := range o.Homes() {
		assert.Equal(t, h.From, next)
		next = h.To
	}
	assert.Equal(t, next, 10)
	e, _ := l.Entry("work")
	w.publish("j2", "work", e.Revision(), strings.Replace(jobFile, "team: t", "team: t, priority: urgent", 1))
	w.apply(l)
	again, _ := l.ObjectByName("j")
	assert.Equal(t, again.ID(), o.ID())
	assert.DeepEqual(t, again.Homes(), o.Homes())
}

func TestRepublishedNameIsNewObject(t *testing.T) {
	w, l := newLogWithJob(t)
	o, _ := l.ObjectByName("j")
	w.append(record.Entry{Done: &record.Tasks{Object: o.ID(), Ranges: []record.Range{{From: 0, To: 10}}}})
	e, _ := l.Entry("work")
	w.publish("gone", "work", e.Revision(), "name: work\n")
	w.apply(l)
	e, _ = l.Entry("work")
	w.publish("back", "work", e.Revision(), jobFile)
	w.apply(l)
	again, _ := l.ObjectByName("j")
	assert.Check(t, again.ID() != o.ID())
	assert.Check(t, !l.Progress(again.ID()).Ended(0))
}

func TestOnlyTasksWithUnknownOutcomeAreSettled(t *testing.T) {
	w, l := newLogWithJob(t)
	o, _ := l.ObjectByName("j")
	w.append(record.Entry{Intents: &record.Tasks{Object: o.ID(), Ranges: []record.Range{{From: 0, To: 3}}}})
	w.append(record.Entry{Done: &record.Tasks{Object: o.ID(), Ranges: []record.Range{{From: 0, To: 1}}}})
	e, _ := l.Entry("work")
	settled := jobFile + "settled:\n"
	for i, as := range []string{"rerun", "done", "rerun", "failed"} {
		key := task.Key{Object: o.ID(), Index: i}
		settled += "  - {task: '" + key.String() + "', as: " + as + "}\n"
	}
	w.publish("s", "work", e.Revision(), settled)
	w.apply(l)
	p := l.Progress(o.ID())
	assert.Check(t, p.Done().Contains(0), "a finished task was settled anew")
	assert.Check(t, p.Done().Contains(1))
	assert.Check(t, !p.MayHaveStarted(2) && !p.Ended(2), "rerun did not free the task")
	assert.Check(t, !p.Ended(3), "a task that never started was settled")
}

func TestFormerWorkerIsKeptUntilCurrentHolderForgetsIt(t *testing.T) {
	w, l := &testLog{t: t}, ledger.New()
	shard := spec.ShardID{Domain: "a"}
	w.publish("c", "cell", 0, cellFile)
	claim := w.append(record.Entry{Claim: &record.Claim{Shard: shard, Box: "x", Incarnation: "i"}}) + 1
	w.apply(l)
	w.publish("c2", "cell", l.Revision("cell"), strings.Replace(cellFile, "[w1, w2]", "[w1]", 1))
	w.apply(l)
	assert.DeepEqual(t, l.FormerWorkers(shard), map[string]string{"w2": "r1"})
	restored, err := ledger.Restore(l.Snapshot())
	assert.NilError(t, err)
	assert.DeepEqual(t, restored.FormerWorkers(shard), l.FormerWorkers(shard))

	moved := strings.NewReplacer("[w1, w2]", "[w1]", "[w3, w4]", "[w3, w4, w2]").Replace(cellFile)
	w.publish("c3", "cell", l.Revision("cell"), moved)
	assert.Check(t, !w.apply(l)[0].Accepted, "it may still run tasks of its old shard")

	w.append(record.Entry{Forget: &record.Forget{Shard: shard, Claim: claim - 1, Workers: []string{"w2"}}})
	w.apply(l)
	assert.Equal(t, len(l.FormerWorkers(shard)), 1, "an earlier holder was believed")
	w.append(record.Entry{Forget: &record.Forget{Shard: shard, Claim: claim, Workers: []string{"w2"}}})
	w.apply(l)
	assert.Equal(t, len(l.FormerWorkers(shard)), 0)
}
