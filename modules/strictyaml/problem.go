// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package strictyaml

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Position is a position in a file. Lines and columns start at 1; the zero Position means that
// the position is unknown.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// Positions maps the path of a key, such as "jobs[2].count", to its position.
type Positions map[string]Position

// Of returns the position of path, or of the nearest enclosing key present in the file.
func (p Positions) Of(path string) Position {
	for path != "" {
		if at, ok := p[path]; ok {
			return at
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return p[""]
}

// Problem is one error in a file.
type Problem struct {
	File     string   `json:"file"`
	Position Position `json:"position"`
	// Path is the path of the key, such as "jobs[2].count".
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// Error returns "file:line:column: path: reason".
func (p Problem) Error() string {
	if p.Path == "" {
		return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Position.Line, p.Position.Column, p.Reason)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", p.File, p.Position.Line, p.Position.Column, p.Path, p.Reason)
}

// Problems holds all errors found in a file, in the order in which they were found.
type Problems []Problem

// Error returns one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns ps as an error, or nil if ps is empty.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// positionOf returns the position of a node, for a mapping entry that of its key.
func positionOf(n ast.Node) Position {
	tok := n.GetToken()
	if tok == nil || tok.Position == nil {
		return Position{Line: 1, Column: 1}
	}
	if m, ok := n.(*ast.MappingValueNode); ok {
		return positionOf(m.Key)
	}
	return Position{Line: tok.Position.Line, Column: tok.Position.Column}
}
