// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package joblog reads the logs of daemons. It extracts the history of one job and summarizes
// jobs and calls that were late or failed.
package joblog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"
)

// Line is one log line about a job.
type Line struct {
	At      time.Time
	Box     string
	Message string
	// Fields holds the remaining fields as name=value, sorted by name.
	Fields []string
	// Gap reports that the line states how many other lines were left out of the log.
	Gap bool
}

// History holds the lines found for a job.
type History struct {
	Lines []Line
	// TornLines counts lines that look like a daemon's but could not be decoded.
	TornLines int
	// ForeignLines counts lines that were not written by a daemon.
	ForeignLines int
}

// maxLine is the maximum length of a line in bytes. A longer line counts as torn.
const maxLine = 1 << 20

// The names of fields with a special meaning, and the message of a line that stands for lines
// left out.
const (
	fieldTime      = "time"
	fieldMessage   = "msg"
	fieldBox       = "box"
	messageLeftOut = "lines were left out"
)

// hiddenFields are fields that Line.Fields omits because they do not describe the job.
var hiddenFields = []string{fieldTime, fieldMessage, fieldBox, "level", "incarnation"}

// Read adds the lines of r that concern a job.
func (h *History) Read(r io.Reader, job string) error {
	return forEachLine(r, func(text string) { h.addLine(text, job) })
}

// forEachLine calls f for each non-empty line of r.
func forEachLine(r io.Reader, f func(text string)) error {
	in := bufio.NewReaderSize(r, 64<<10)
	for {
		text, err := in.ReadString('\n')
		if text = strings.TrimSpace(text); text != "" {
			f(text)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read log: %w", err)
		}
	}
}

// addLine adds one line if it concerns the job. Text before the first brace is ignored: it was
// added by the tool that collected the lines.
func (h *History) addLine(text, job string) {
	brace := strings.IndexByte(text, '{')
	if brace < 0 {
		h.ForeignLines++
		return
	}
	var fields map[string]any
	if len(text) > maxLine || json.Unmarshal([]byte(text[brace:]), &fields) != nil {
		h.TornLines++
		return
	}
	message, _ := fields[fieldMessage].(string)
	if message == "" {
		h.ForeignLines++
		return
	}
	if message != messageLeftOut && !isAboutJob(fields, job) {
		return
	}
	h.Lines = append(h.Lines, newLine(fields, message))
}

// isAboutJob reports whether a line names the job, or a step or task of it.
func isAboutJob(fields map[string]any, job string) bool {
	for _, name := range []string{"job", "step", "task"} {
		if v, ok := fields[name].(string); ok && (v == job || strings.HasPrefix(v, job+".")) {
			return true
		}
	}
	return false
}

// newLine builds a Line from the decoded fields of a log line.
func newLine(fields map[string]any, message string) Line {
	l := Line{Message: message, Gap: message == messageLeftOut}
	l.Box, _ = fields[fieldBox].(string)
	if text, ok := fields[fieldTime].(string); ok {
		l.At, _ = time.Parse(time.RFC3339Nano, text)
	}
	for name, v := range fields {
		if !slices.Contains(hiddenFields, name) {
			l.Fields = append(l.Fields, fmt.Sprintf("%s=%v", name, v))
		}
	}
	sort.Strings(l.Fields)
	return l
}

// Sort orders the lines by time and drops gaps before the first and after the last line about
// the job, where no line about it can be missing.
func (h *History) Sort() {
	slices.SortStableFunc(h.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	about := func(l Line) bool { return !l.Gap }
	first := slices.IndexFunc(h.Lines, about)
	if first < 0 {
		h.Lines = nil
		return
	}
	last := len(h.Lines) - 1
	for !about(h.Lines[last]) {
		last--
	}
	h.Lines = h.Lines[first : last+1]
}
