// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package logger_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"saddlevane/modules/logger"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// keptCharacters is how much of each line the users' record of an incident keeps.
const keptCharacters = 200

// The values of a box, a job and a worker, as long as on the users' deployments.
const (
	box         = "edge-kecskemet-dc-2"
	incarnation = "01KBN2V6T0P8W4Q3Y7ZJ5M9XRC"
	jobID       = "9c82a29e265a6272"
	taskID      = jobID + ".0.1.9"
	worker      = "i-18df2a429f@1796408279123"
	runID       = int64(1000000591)
)

// newEntry returns the log of a box that writes JSON lines to w.
func newEntry(tb testing.TB, w io.Writer) *logrus.Entry {
	tb.Helper()
	l, err := logger.New(w, "info", logger.FormatJSON)
	assert.NilError(tb, err)
	return l.WithFields(logrus.Fields{logger.FieldBox: box, logger.FieldIncarnation: incarnation})
}

// endedJob returns the fields of the line for a job that failed for some reason.
func endedJob(reason string) logrus.Fields {
	return logrus.Fields{
		"job": jobID, "queue": "risk-scoring-nightly", "workspace": "risk-and-compliance", "outcome": "failed",
		"reason": reason, "age": "36.612345678s", "claim": int64(3),
	}
}

// The reasons of failed jobs, as long as they get.
const (
	workersCrashed = "3 workers crashed under task " + taskID
	runsFailed     = "task " + taskID + " failed 12 times (12 allowed), last in runs 1000000107, 1000001399, 4000000622"
)

// crashedWorker returns the fields of the line for a worker that crashed while it ran a task.
func crashedWorker() logrus.Fields {
	return logrus.Fields{
		"job": jobID, "task": taskID, "worker": worker, "crashes": 3, "guilty": "0.963", "worked_most": "1.234567891s",
		"time": "within", "late": "2.612345678s", "alone": true, "odds": "2.61e+04", "crashes_otherwise_every": "4.73e+03s",
	}
}

// The outcome and the reason of a failed job were cut off in records that keep the first 200 characters of a line.
func TestBeginningOfLineExplainsLoss(t *testing.T) {
	tests := []struct {
		message string
		fields  logrus.Fields
		want    []string
	}{
		{"job ended", endedJob(workersCrashed), []string{"job", "outcome", "reason"}},
		{"job ended", endedJob(runsFailed), []string{"job", "outcome", "reason"}},
		{"task ended", logrus.Fields{
			"job": jobID, "task": taskID, "run": runID, "worker": worker, "outcome": "failed", "claim": int64(3),
		}, []string{"job", "task", "run", "outcome", "worker"}},
		{"task lost", logrus.Fields{
			"job": jobID, "task": taskID, "run": runID, "worker": worker, "state": "running",
			"reason": "the worker's lease has expired", "worked_most": "1.234567891s", "times_lost": 2,
		}, []string{"job", "task", "run", "reason", "worker"}},
		{"worker lease expired", logrus.Fields{
			"worker": worker, "tasks": 16, "lapsed_for": "12.345678ms", "how": "crashed",
		}, []string{"how", "worker", "tasks"}},
		{"worker crashed while running a task", crashedWorker(), []string{"job", "task", "worker", "crashes", "odds"}},
	}
	for _, tt := range tests {
		t.Run(tt.message, func(t *testing.T) {
			var out bytes.Buffer
			newEntry(t, &out).WithFields(tt.fields).Warning(tt.message)
			line := out.String()
			kept := line[:min(keptCharacters, len(line))]
			tt.fields["msg"] = tt.message
			for _, name := range append(tt.want, "msg") {
				value, err := json.Marshal(tt.fields[name])
				assert.NilError(t, err)
				assert.Check(t, strings.Contains(kept, `"`+name+`":`+string(value)), "no %s in %s", name, kept)
			}
		})
	}
}

// keysInOrder returns the keys of a JSON object in the order in which they are written.
func keysInOrder(t *testing.T, line []byte) []string {
	t.Helper()
	d := json.NewDecoder(bytes.NewReader(line))
	_, err := d.Token()
	assert.NilError(t, err)
	var keys []string
	for d.More() {
		key, err := d.Token()
		assert.NilError(t, err)
		keys = append(keys, key.(string))
		var value json.RawMessage
		assert.NilError(t, d.Decode(&value))
	}
	return keys
}

func TestFieldsAreInFixedOrder(t *testing.T) {
	var out bytes.Buffer
	fields := logrus.Fields{"zone": "a", "address": "b"}
	for _, name := range []string{"odds", "crashes", "error", "worker", "how", "reason", "outcome", "run", "task", "job"} {
		fields[name] = name
	}
	newEntry(t, &out).WithFields(fields).Info("message")
	assert.DeepEqual(t, keysInOrder(t, out.Bytes()), []string{
		"level", "msg", "job", "task", "run", "outcome", "reason", "how", "worker", "error", "crashes", "odds",
		"address", "zone", "time", "box", "incarnation",
	})
}

// variedFields returns fields of all sorts of values, and some whose names are taken.
func variedFields() logrus.Fields {
	return logrus.Fields{
		"text": "quote \" backslash \\ tab \t line \n bell \a angle <&> accent é separator \u2028 broken \xff end", "empty": "",
		"a \"name\"": "x", "int": -3, "int64": int64(math.MaxInt64), "uint": uint64(math.MaxUint64), "float": 1e-7, "bool": true,
		"nil": nil, "error": errors.New("it \"failed\""), "duration": 36 * time.Second, "moment": time.Unix(1796408279, 5).UTC(),
		"map": map[string]int{"b": 2, "a": 1}, "list": []string{"x", "<y>"}, "state": json.RawMessage(`{"raw":1}`),
		"time": "within", "msg": "another", "level": 7, "logrus_error": "a name that logrus uses",
	}
}

// decodeLine decodes a log line.
func decodeLine(t *testing.T, line []byte) map[string]any {
	t.Helper()
	assert.Check(t, bytes.HasSuffix(line, []byte("}\n")) && bytes.Count(line, []byte("\n")) == 1, "%q", line)
	var fields map[string]any
	assert.NilError(t, json.Unmarshal(line, &fields), "%s", line)
	return fields
}

// format returns what a formatter makes of an entry.
func format(t *testing.T, f logrus.Formatter, e *logrus.Entry) []byte {
	t.Helper()
	line, err := f.Format(e)
	assert.NilError(t, err)
	return slices.Clone(line)
}

// TestLinesHaveKeysAndValuesOfJSONFormatter checks that only the order differs from logrus's own lines.
func TestLinesHaveKeysAndValuesOfJSONFormatter(t *testing.T) {
	for _, fields := range []logrus.Fields{nil, endedJob(workersCrashed), crashedWorker(), variedFields()} {
		e := newEntry(t, io.Discard).WithFields(fields).WithTime(time.Unix(1796408279, 123456789).UTC())
		e.Message, e.Level = "message with \"quotes\" and <angles>", logrus.WarnLevel
		got := format(t, e.Logger.Formatter, e)
		assert.DeepEqual(t, decodeLine(t, got), decodeLine(t, format(t, &logrus.JSONFormatter{}, e)))
		assert.Equal(t, string(got), string(format(t, e.Logger.Formatter, e)), "the same entry gives another line")
	}
}

func TestValueThatHasNoJSONIsAnError(t *testing.T) {
	e := newEntry(t, io.Discard).WithField("rate", math.NaN())
	_, err := e.Logger.Formatter.Format(e)
	assert.ErrorContains(t, err, "rate")
}

func FuzzLine(f *testing.F) {
	f.Add("job ended", "reason", "a \"quoted\" reason")
	f.Add("\xff\u2029", "fields.time", "\x00\x7f")
	f.Fuzz(func(t *testing.T, message, name, value string) {
		e := newEntry(t, io.Discard).WithField(name, value)
		e.Message = message
		got, want := format(t, e.Logger.Formatter, e), format(t, &logrus.JSONFormatter{}, e)
		assert.DeepEqual(t, decodeLine(t, got), decodeLine(t, want))
	})
}

func BenchmarkLine(b *testing.B) {
	e := newEntry(b, io.Discard)
	for _, bench := range []struct {
		message string
		fields  logrus.Fields
	}{{"job ended", endedJob(workersCrashed)}, {"worker crashed while running a task", crashedWorker()}} {
		b.Run(bench.message, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				e.WithFields(bench.fields).Info(bench.message)
			}
		})
	}
}
