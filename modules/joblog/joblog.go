// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package joblog reads the lines that daemons logged and picks those that tell
// the history of one job.
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

// Line is one line about a job.
type Line struct {
	At      time.Time
	Box     string
	Message string
	// Fields are the others, as name=value, in the order of names.
	Fields []string
	// Gap says that the line tells of others that were left out.
	Gap bool
}

// History is what was found.
type History struct {
	Lines []Line
	// Torn counts lines that looked like a daemon's and could not be read.
	Torn int
	// Foreign counts lines of something else.
	Foreign int
}

// maxLine bounds a line, in bytes; the rest of a longer one counts as torn.
const maxLine = 1 << 20

// The names of fields that are told apart from the others.
const (
	fieldTime      = "time"
	fieldMessage   = "msg"
	fieldBox       = "box"
	messageLeftOut = "lines were left out"
)

// hiddenFields are fields that say nothing of the job itself.
var hiddenFields = []string{fieldTime, fieldMessage, fieldBox, "level", "incarnation"}

// Read adds the lines of r that concern a job.
func (h *History) Read(r io.Reader, job string) error {
	return forEachLine(r, func(text string) { h.addLine(text, job) })
}

// forEachLine gives the lines of r that are not empty to a function.
func forEachLine(r io.Reader, take func(text string)) error {
	in := bufio.NewReaderSize(r, 64<<10)
	for {
		text, err := in.ReadString('\n')
		if text = strings.TrimSpace(text); text != "" {
			take(text)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read log: %w", err)
		}
	}
}

// addLine looks at one line. Whatever stands before the first brace was added by
// whoever gathered the lines.
func (h *History) addLine(text, job string) {
	brace := strings.IndexByte(text, '{')
	if brace < 0 {
		h.Foreign++
		return
	}
	var fields map[string]any
	if len(text) > maxLine || json.Unmarshal([]byte(text[brace:]), &fields) != nil {
		h.Torn++
		return
	}
	message, _ := fields[fieldMessage].(string)
	if message == "" {
		h.Foreign++
		return
	}
	if message != messageLeftOut && !isAboutJob(fields, job) {
		return
	}
	h.Lines = append(h.Lines, newLine(fields, message))
}

// isAboutJob says whether a line names the job, or a step or task of it.
func isAboutJob(fields map[string]any, job string) bool {
	for _, name := range []string{"job", "step", "task"} {
		if v, ok := fields[name].(string); ok && (v == job || strings.HasPrefix(v, job+".")) {
			return true
		}
	}
	return false
}

// newLine keeps what is worth showing of a line.
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

// Sort orders the lines by time and drops gaps before the first and after the
// last line about the job, where nothing of it can be missing.
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
