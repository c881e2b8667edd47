// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package logger

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
)

// ranks orders the fields of a line: those with a negative rank come first, then all others by name,
// then those with a positive rank. A line that is cut short still says what happened to what, and why;
// what is the same in all lines of a process comes last.
var ranks = rank(
	[]string{
		logrus.FieldKeyLevel, logrus.FieldKeyMsg, "job", "task", "run", "outcome", "reason", "how", "worker", FieldError,
		"crashes", "odds",
	},
	[]string{logrus.FieldKeyTime, FieldBox, FieldIncarnation},
)

// rank returns the ranks of the fields that come first and of those that come last.
func rank(first, last []string) map[string]int {
	ranks := map[string]int{}
	for i, name := range first {
		ranks[name] = i - len(first)
	}
	for i, name := range last {
		ranks[name] = i + 1
	}
	return ranks
}

// lineField is a field of a line with its rank.
type lineField struct {
	name  string
	value any
	rank  int
}

// newLineField returns a field with its rank.
func newLineField(name string, value any) lineField {
	return lineField{name: name, value: value, rank: ranks[name]}
}

// compare orders fields by rank and name.
func (f lineField) compare(o lineField) int {
	return cmp.Or(cmp.Compare(f.rank, o.rank), cmp.Compare(f.name, o.name))
}

// lineFormatter writes the keys and values that logrus.JSONFormatter writes, in the order of their
// ranks. It does not write the caller or the fields that logrus could not take over, which we do not use.
type lineFormatter struct{}

// Format returns the line for an entry.
func (lineFormatter) Format(e *logrus.Entry) ([]byte, error) {
	b := e.Buffer
	if b == nil {
		b = &bytes.Buffer{}
	}
	line := append(b.AvailableBuffer(), '{')
	for i, f := range fieldsOf(e) {
		if i > 0 {
			line = append(line, ',')
		}
		var err error
		line = append(appendString(line, f.name), ':')
		if line, err = appendValue(line, f.value); err != nil {
			return nil, fmt.Errorf("log field %q: %w", f.name, err)
		}
	}
	b.Write(append(line, '}', '\n'))
	return b.Bytes(), nil
}

// fieldsOf returns the fields of an entry in their order, with its level, message and time.
func fieldsOf(e *logrus.Entry) []lineField {
	const ownFields = 3
	fields := make([]lineField, 0, len(e.Data)+ownFields)
	for name, value := range e.Data {
		fields = append(fields, newLineField(unreservedName(name), value))
	}
	fields = append(fields,
		newLineField(logrus.FieldKeyLevel, e.Level.String()),
		newLineField(logrus.FieldKeyMsg, e.Message),
		newLineField(logrus.FieldKeyTime, e.Time.Format(time.RFC3339)))
	slices.SortFunc(fields, lineField.compare)
	return fields
}

// unreservedName returns the name of a field, with a prefix if logrus uses the name itself.
func unreservedName(name string) string {
	switch name {
	case logrus.FieldKeyLevel, logrus.FieldKeyMsg, logrus.FieldKeyTime, logrus.FieldKeyLogrusError:
		return "fields." + name
	}
	return name
}

// appendValue appends a value as JSON. An error is written as its text.
func appendValue(line []byte, value any) ([]byte, error) {
	switch v := value.(type) {
	case string:
		return appendString(line, v), nil
	case error:
		return appendString(line, v.Error()), nil
	case bool:
		return strconv.AppendBool(line, v), nil
	case int:
		return strconv.AppendInt(line, int64(v), 10), nil
	case int64:
		return strconv.AppendInt(line, v, 10), nil
	}
	text, err := json.Marshal(value)
	return append(line, text...), err
}

// appendString appends a string as JSON.
func appendString(line []byte, s string) []byte {
	if slices.ContainsFunc([]byte(s), needsEscape) {
		text, _ := json.Marshal(s) // A string always has a JSON form.
		return append(line, text...)
	}
	line = append(line, '"')
	line = append(line, s...)
	return append(line, '"')
}

// needsEscape reports whether encoding/json may write a byte of a string in another form.
func needsEscape(c byte) bool {
	const printable, ascii = ' ', 0x7f
	return c < printable || c >= ascii || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&'
}
