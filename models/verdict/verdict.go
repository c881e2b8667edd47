// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package verdict classifies requests by whether they have run at their target.
package verdict

import (
	"errors"
	"fmt"
)

// Verdict states whether a request has run at its target, as far as that is known.
type Verdict string

// The verdicts. A refused request gets NotRun, one whose answer was lost MayHaveRun, and one whose
// complete answer was received Ran.
const (
	NotRun     Verdict = "not-run"
	MayHaveRun Verdict = "may-have-run"
	Ran        Verdict = "ran"
)

// UnmarshalText returns an error for anything but the three verdicts.
func (v *Verdict) UnmarshalText(text []byte) error {
	switch got := Verdict(text); got {
	case NotRun, MayHaveRun, Ran:
		*v = got
		return nil
	default:
		return fmt.Errorf("unknown verdict %q, want not-run, may-have-run or ran", text)
	}
}

// Error is a failed call with the verdict on its request.
type Error struct {
	verdict Verdict
	err     error
}

// Wrap returns an Error with the given verdict and cause.
func Wrap(v Verdict, err error) *Error { return &Error{verdict: v, err: err} }

// Error returns the text of the cause, followed by the verdict.
func (e *Error) Error() string { return fmt.Sprintf("%v (%s)", e.err, e.verdict) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Verdict returns the verdict on the request.
func (e *Error) Verdict() Verdict { return e.verdict }

// Of returns the verdict of err: Ran for nil, and MayHaveRun for an error without a verdict, because
// the request may have run before it failed.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e.verdict
	}
	return MayHaveRun
}
