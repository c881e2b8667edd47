// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package logger sets up structured logging with fixed field names.
package logger

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

// Names of fields used in several log lines.
const (
	FieldBox         = "box"
	FieldIncarnation = "incarnation"
	FieldDomain      = "domain"
	FieldAddress     = "address"
	FieldRequest     = "request"
	FieldTarget      = "target"
	FieldVerdict     = "verdict"
	FieldError       = "error"
)

// Formats of log lines.
const (
	FormatJSON = "json"
	FormatText = "text"
)

// New returns a logger that writes lines of at least level to w.
func New(w io.Writer, level, format string) (*logrus.Logger, error) {
	l := logrus.New()
	l.SetOutput(w)
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	l.SetLevel(parsed)
	switch format {
	case FormatJSON:
		l.SetFormatter(lineFormatter{})
	case FormatText:
		l.SetFormatter(&logrus.TextFormatter{FullTimestamp: true})
	default:
		return nil, fmt.Errorf("log format %q is neither %s nor %s", format, FormatJSON, FormatText)
	}
	return l, nil
}
