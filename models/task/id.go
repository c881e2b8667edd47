// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package task defines the identifiers and states of tasks and of the objects they belong to.
package task

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// ObjectID identifies a service, job or gang by its name and by the revision of the file that
// introduced it. An object that is removed and published again under the same name is another
// object.
type ObjectID struct {
	Name string
	// Born is the revision of the file that introduced the object. A revision is one more than the
	// log offset of the file's record.
	Born int64
}

// String returns "name@born".
func (o ObjectID) String() string { return o.Name + "@" + strconv.FormatInt(o.Born, 10) }

// Compare orders objects by Born, then Name.
func (o ObjectID) Compare(p ObjectID) int {
	return cmp.Or(cmp.Compare(o.Born, p.Born), cmp.Compare(o.Name, p.Name))
}

// MarshalText returns the form that UnmarshalText parses.
func (o ObjectID) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText parses "name@born".
func (o *ObjectID) UnmarshalText(text []byte) error {
	name, born, ok := strings.Cut(string(text), "@")
	n, err := strconv.ParseInt(born, 10, 64)
	if !ok || name == "" || err != nil || n < 0 {
		return fmt.Errorf("want an object such as name@12, got %q", text)
	}
	*o = ObjectID{Name: name, Born: n}
	return nil
}

// ID identifies one attempt of one task.
type ID struct {
	Object  ObjectID
	Index   int
	Attempt int
}

// String returns "name@born/index.attempt".
func (t ID) String() string {
	return t.Object.String() + "/" + strconv.Itoa(t.Index) + "." + strconv.Itoa(t.Attempt)
}

// MarshalText returns the form that UnmarshalText parses.
func (t ID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText parses "name@born/index.attempt".
func (t *ID) UnmarshalText(text []byte) error {
	object, rest, ok := strings.Cut(string(text), "/")
	index, attempt, ok2 := strings.Cut(rest, ".")
	i, errIndex := strconv.Atoi(index)
	a, errAttempt := strconv.Atoi(attempt)
	if !ok || !ok2 || errIndex != nil || errAttempt != nil || i < 0 || a < 0 {
		return fmt.Errorf("want a task such as name@12/3.0, got %q", text)
	}
	id := ID{Index: i, Attempt: a}
	if err := id.Object.UnmarshalText([]byte(object)); err != nil {
		return err
	}
	*t = id
	return nil
}

// Compare orders attempts by object, index and attempt.
func (t ID) Compare(u ID) int {
	return cmp.Or(t.Object.Compare(u.Object), cmp.Compare(t.Index, u.Index), cmp.Compare(t.Attempt, u.Attempt))
}

// Key identifies a task regardless of its attempts.
type Key struct {
	Object ObjectID
	Index  int
}

// Key returns the task that t is an attempt of.
func (t ID) Key() Key { return Key{Object: t.Object, Index: t.Index} }

// Compare orders tasks by object and index.
func (k Key) Compare(l Key) int {
	return cmp.Or(k.Object.Compare(l.Object), cmp.Compare(k.Index, l.Index))
}

// String returns "name@born/index".
func (k Key) String() string { return k.Object.String() + "/" + strconv.Itoa(k.Index) }

// State is the state of a task.
type State string

// The states of a task. A task in state Unknown may have run; it is never started again unless an
// operator's file settles it.
const (
	Waiting State = "waiting"
	Running State = "running"
	Done    State = "done"
	Failed  State = "failed"
	Unknown State = "unknown"
	// Stopped is reported by a worker for a task that it stopped on request.
	Stopped State = "stopped"
)
