// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package verdict says of a request whether it may have run.
package verdict

import (
	"errors"
	"fmt"
)

// Verdict is what is known of a request's run at its target.
type Verdict string

// The verdicts. A request that is refused has NotRun; one whose answer was lost
// has MayHaveRun; one whose whole answer is at hand has Ran.
const (
	NotRun     Verdict = "not-run"
	MayHaveRun Verdict = "may-have-run"
	Ran        Verdict = "ran"
)

// UnmarshalText refuses anything but the three verdicts.
func (v *Verdict) UnmarshalText(text []byte) error {
	switch got := Verdict(text); got {
	case NotRun, MayHaveRun, Ran:
		*v = got
		return nil
	default:
		return fmt.Errorf("unknown verdict %q", text)
	}
}

// Error is a failure together with what it says of the request's run.
type Error struct {
	verdict Verdict
	err     error
}

// Wrap returns err with its verdict.
func Wrap(v Verdict, err error) *Error { return &Error{verdict: v, err: err} }

// Error returns the cause and the verdict.
func (e *Error) Error() string { return fmt.Sprintf("%v (%s)", e.err, e.verdict) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Verdict returns what is known of the run.
func (e *Error) Verdict() Verdict { return e.verdict }

// Of returns the verdict that err carries. An error that says nothing may stand
// for a run, so it is MayHaveRun; nil is Ran.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e.verdict
	}
	return MayHaveRun
}
