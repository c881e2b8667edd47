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

// testLog simulates a log to which several processes append.
type testLog struct {
	t       *testing.T
	records [][]byte
}

func (log *testLog) append(entries ...record.Entry) int64 {
	log.t.Helper()
	offset := int64(len(log.records))
	data, err := json.Marshal(record.Envelope{ID: strconv.FormatInt(offset, 10), From: "test", Entries: entries})
	assert.NilError(log.t, err)
	log.records = append(log.records, data)
	return offset
}

func (log *testLog) publish(id, file string, replaces int64, data string) int64 {
	log.t.Helper()
	return log.append(record.Entry{Publish: &record.Publish{ID: id, File: file, Replaces: replaces, Data: data}})
}

func (log *testLog) apply(l *ledger.Ledger) []ledger.PublishDecision {
	var decisions []ledger.PublishDecision
	for i := l.NextOffset(); i < int64(len(log.records)); i++ {
		envelope, err := record.Decode(log.records[i])
		assert.NilError(log.t, err)
		for _, c := range l.Apply(i, start, envelope).Changes {
			if c.PublishDecision != nil {
				decisions = append(decisions, *c.PublishDecision)
			}
		}
	}
	return decisions
}

// newLogWithJob returns a log with a cell and a job in force, and the ledger of that log.
func newLogWithJob(t *testing.T) (*testLog, *ledger.Ledger) {
	t.Helper()
	log, l := &testLog{t: t}, ledger.New()
	log.publish("c", "cell", 0, cellFile)
	log.publish("j", "work", 0, jobFile)
	for _, p := range log.apply(l) {
		assert.Assert(t, p.Accepted, "%v", p.Reasons)
	}
	return log, l
}

func TestFirstOfTwoConflictingPublicationsIsAccepted(t *testing.T) {
	log, l := &testLog{t: t}, ledger.New()
	log.publish("one", "cell", 0, cellFile)
	log.publish("two", "cell", 0, cellFile)
	decisions := log.apply(l)
	assert.Equal(t, len(decisions), 2)
	assert.Check(t, decisions[0].Accepted)
	assert.Check(t, !decisions[1].Accepted, "the second publication was accepted although it does not replace the first")
	e, _ := l.Entry("cell")
	assert.Equal(t, e.PublicationID(), "one")
}

// TestPublicationAppendedByTwoBoxesTakesEffectOnce guards against refusing a publication because of
// itself ("replaces revision 0, but 9 is in force"). The first box appends it but cannot answer any
// more, so it is sent to a second box, which has not read that record yet and appends the
// publication again. The second box then restores its ledger from a peer that has read the first
// record, and reads its own record after that. The publication ID identifies both records as one.
func TestPublicationAppendedByTwoBoxesTakesEffectOnce(t *testing.T) {
	log, l := newLogWithJob(t)
	revision := log.publish("x", "more", 0, strings.ReplaceAll(strings.ReplaceAll(jobFile, "work", "more"), "name: j", "name: k")) + 1
	first := log.apply(l)
	log.publish("x", "more", 0, strings.ReplaceAll(strings.ReplaceAll(jobFile, "work", "more"), "name: j", "name: k"))
	second := log.apply(l)
	assert.Equal(t, len(first), 1)
	assert.Equal(t, len(second), 1)
	assert.Check(t, first[0].Accepted && second[0].Accepted, "%+v, %+v", first[0], second[0])
	assert.Equal(t, second[0].Revision, revision, "the second record brought the file into force again")
}

func TestFirstOfTwoConflictingClaimsHolds(t *testing.T) {
	log, l := &testLog{t: t}, ledger.New()
	shard := spec.ShardID{Domain: "a"}
	for _, box := range []string{"first", "second"} {
		log.append(record.Entry{Claim: &record.Claim{Shard: shard, Box: box, Incarnation: "i"}})
	}
	log.apply(l)
	c, _ := l.Claim(shard)
	assert.Equal(t, c.Box(), "first")
}

func TestRepeatedRecordsAreIgnored(t *testing.T) {
	log, l := &testLog{t: t}, ledger.New()
	first := log.publish("one", "cell", 0, cellFile)
	log.records = append(log.records, log.records[first])
	decisions := log.apply(l)
	assert.Check(t, decisions[0].Accepted)
	assert.DeepEqual(t, decisions[1], decisions[0])
	assert.Equal(t, l.Revision("cell"), decisions[0].Revision)
	envelope, err := record.Decode(log.records[0])
	assert.NilError(t, err)
	assert.Equal(t, len(l.Apply(0, start, envelope).Changes), 0)
}

func TestReaderFromCheckpointMatchesFullReader(t *testing.T) {
	log, whole := &testLog{t: t}, ledger.New()
	log.publish("c", "cell", 0, cellFile)
	log.publish("j", "work", 0, jobFile)
	log.apply(whole)
	o, ok := whole.ObjectByName("j")
	assert.Assert(t, ok)
	log.append(record.Entry{Claim: &record.Claim{Shard: spec.ShardID{Domain: "a"}, Box: "x", Incarnation: "i"}})
	log.append(record.Entry{Intents: &record.Tasks{Object: o.ID(), Ranges: []record.Range{{From: 0, To: 4}}}})
	log.append(record.Entry{Done: &record.Tasks{Object: o.ID(), Ranges: []record.Range{{From: 1, To: 3}}}})
	log.apply(whole)
	for _, part := range ledger.SplitCheckpoint("cp", whole.Snapshot()) {
		log.append(record.Entry{Checkpoint: &part})
	}
	log.append(record.Entry{Done: &record.Tasks{Object: o.ID(), Ranges: []record.Range{{From: 3, To: 4}}}})
	log.publish("j2", "work", whole.Snapshot().Files[1].Revision, strings.Replace(jobFile, "team: t", "team: t, priority: urgent", 1))
	log.apply(whole)

	const first = 4 // the log has dropped all earlier records
	search := ledger.NewCheckpointSearch(first)
	log.apply(search)
	s, ok := search.FoundCheckpoint(first)
	assert.Assert(t, ok)
	late, err := ledger.Restore(s)
	assert.NilError(t, err)
	log.apply(late)
	assert.DeepEqual(t, late.Snapshot(), whole.Snapshot())
}

func TestCheckpointOlderThanRetainedLogIsNotUsed(t *testing.T) {
	log, l := &testLog{t: t}, ledger.New()
	log.publish("c", "cell", 0, cellFile)
	log.apply(l)
	stale := ledger.SplitCheckpoint("cp", l.Snapshot())
	log.publish("j", "work", 0, jobFile)
	log.append(record.Entry{Checkpoint: &stale[0]})
	const first = 2
	search := ledger.NewCheckpointSearch(first)
	log.apply(search)
	_, ok := search.FoundCheckpoint(first)
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
		{"another name inside", "work", jobFile[:0] + strings.Replace(jobFile, "name: work", "name: else", 1), "the file declares name"},
	} {
		t.Run(test.name, func(t *testing.T) {
			log, l := &testLog{t: t}, ledger.New()
			log.publish("c", "cell", 0, cellFile)
			log.publish("x", test.file, 0, test.data)
			decisions := log.apply(l)
			assert.Check(t, !decisions[1].Accepted)
			assert.Check(t, strings.Contains(strings.Join(decisions[1].Reasons, "; "), test.want), "reasons: %q", decisions[1].Reasons)
			assert.Equal(t, len(l.Files()), 1)
		})
	}
}

func TestFileThatBreaksWorkOfAnotherFileIsRefused(t *testing.T) {
	log, l := newLogWithJob(t)
	e, _ := l.Entry("cell")
	noTeam := strings.Split(cellFile, "teams:")[0]
	log.publish("c2", "cell", e.Revision(), noTeam)
	moved := strings.Replace(cellFile, "domain: a, shard: 0", "domain: a, shard: 1", 1)
	log.publish("c3", "cell", e.Revision(), moved)
	for _, p := range log.apply(l) {
		assert.Check(t, !p.Accepted, p.ID)
	}
}

func TestHomesCoverEachTaskOnceAndAreStable(t *testing.T) {
	log, l := newLogWithJob(t)
	o, _ := l.ObjectByName("j")
	next := 0
	for _, h := range o.Homes() {
		assert.Equal(t, h.From, next)
		next = h.To
	}
	assert.Equal(t, next, 10)
	e, _ := l.Entry("work")
	log.publish("j2", "work", e.Revision(), strings.Replace(jobFile, "team: t", "team: t, priority: urgent", 1))
	log.apply(l)
	again, _ := l.ObjectByName("j")
	assert.Equal(t, again.ID(), o.ID())
	assert.DeepEqual(t, again.Homes(), o.Homes())
}

func TestRepublishedNameIsNewObject(t *testing.T) {
	log, l := newLogWithJob(t)
	o, _ := l.ObjectByName("j")
	log.append(record.Entry{Done: &record.Tasks{Object: o.ID(), Ranges: []record.Range{{From: 0, To: 10}}}})
	e, _ := l.Entry("work")
	log.publish("gone", "work", e.Revision(), "name: work\n")
	log.apply(l)
	e, _ = l.Entry("work")
	log.publish("back", "work", e.Revision(), jobFile)
	log.apply(l)
	again, _ := l.ObjectByName("j")
	assert.Check(t, again.ID() != o.ID())
	assert.Check(t, !l.Progress(again.ID()).Ended(0))
}

func TestOnlyTasksWithUnknownOutcomeAreSettled(t *testing.T) {
	log, l := newLogWithJob(t)
	o, _ := l.ObjectByName("j")
	log.append(record.Entry{Intents: &record.Tasks{Object: o.ID(), Ranges: []record.Range{{From: 0, To: 3}}}})
	log.append(record.Entry{Done: &record.Tasks{Object: o.ID(), Ranges: []record.Range{{From: 0, To: 1}}}})
	e, _ := l.Entry("work")
	settled := jobFile + "settled:\n"
	for i, as := range []string{"rerun", "done", "rerun", "failed"} {
		key := task.Key{Object: o.ID(), Index: i}
		settled += "  - {task: '" + key.String() + "', as: " + as + "}\n"
	}
	log.publish("s", "work", e.Revision(), settled)
	log.apply(l)
	p := l.Progress(o.ID())
	assert.Check(t, p.Done().Contains(0), "the settlement of a finished task was applied")
	assert.Check(t, p.Done().Contains(1))
	assert.Check(t, !p.MayHaveStarted(2) && !p.Ended(2), "the task settled as rerun cannot be started again")
	assert.Check(t, !p.Ended(3), "the settlement of a task without an intent was applied")
}

func TestFormerWorkerIsKeptUntilCurrentHolderForgetsIt(t *testing.T) {
	log, l := &testLog{t: t}, ledger.New()
	shard := spec.ShardID{Domain: "a"}
	log.publish("c", "cell", 0, cellFile)
	claim := log.append(record.Entry{Claim: &record.Claim{Shard: shard, Box: "x", Incarnation: "i"}}) + 1
	log.apply(l)
	log.publish("c2", "cell", l.Revision("cell"), strings.Replace(cellFile, "[w1, w2]", "[w1]", 1))
	log.apply(l)
	assert.DeepEqual(t, l.FormerWorkers(shard), map[string]string{"w2": "r1"})
	restored, err := ledger.Restore(l.Snapshot())
	assert.NilError(t, err)
	assert.DeepEqual(t, restored.FormerWorkers(shard), l.FormerWorkers(shard))

	moved := strings.NewReplacer("[w1, w2]", "[w1]", "[w3, w4]", "[w3, w4, w2]").Replace(cellFile)
	log.publish("c3", "cell", l.Revision("cell"), moved)
	assert.Check(t, !log.apply(l)[0].Accepted, "accepted a worker that may still run tasks of its old shard")

	log.append(record.Entry{Forget: &record.Forget{Shard: shard, Claim: claim - 1, Workers: []string{"w2"}}})
	log.apply(l)
	assert.Equal(t, len(l.FormerWorkers(shard)), 1, "a record of an earlier holder was applied")
	log.append(record.Entry{Forget: &record.Forget{Shard: shard, Claim: claim, Workers: []string{"w2"}}})
	log.apply(l)
	assert.Equal(t, len(l.FormerWorkers(shard)), 0)
}
