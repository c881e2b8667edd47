// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package job

import (
	"fmt"
	"strconv"
	"strings"
)

// StepID identifies a step of one instance of a job.
type StepID struct {
	Job      ID
	Instance int
	Step     int
}

// String returns "job.instance.step", the form that workers and the advice service use.
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Instance) + "." + strconv.Itoa(s.Step)
}

// TaskID identifies a task of one instance of a job.
type TaskID struct {
	StepID
	Index int
}

// String returns "job.instance.step.index", the form that workers use.
func (t TaskID) String() string { return t.StepID.String() + "." + strconv.Itoa(t.Index) }

// MarshalText returns the ID as String does.
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText parses the form that String returns.
func (t *TaskID) UnmarshalText(text []byte) error {
	id, err := ParseTaskID(string(text))
	if err != nil {
		return err
	}
	*t = id
	return nil
}

// ParseTaskID parses the form that TaskID.String returns.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task %q: want job.instance.step.index", text)
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task %q: want whole numbers from 0 for instance, step and index", text)
		}
		numbers[i] = n
	}
	id := ID(parts[0])
	if err := id.Check(); err != nil {
		return TaskID{}, err
	}
	return TaskID{StepID{id, numbers[0], numbers[1]}, numbers[2]}, nil
}
