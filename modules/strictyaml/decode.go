// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package strictyaml decodes YAML into Go structs and reports all errors at once, each with its
// line and column. A library parses the YAML; this package only walks the syntax tree alongside
// the Go type.
package strictyaml

import (
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxDepth is the deepest nesting that Decode accepts. Deeper input is refused before it is
// parsed, because the parser recurses once per level.
const MaxDepth = 32

// Tag is the struct tag that holds a field's key.
const Tag = "yaml"

var (
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
	durationType        = reflect.TypeFor[time.Duration]()
)

// Decode decodes data into dst, a pointer to a struct. It returns the position of each key, for
// later checks, and all problems found. file is the name used in problems.
func Decode(file string, data []byte, dst any) (Positions, Problems) {
	d := decoder{file: file, positions: Positions{}}
	if depth := maxNesting(data); depth > MaxDepth {
		d.addProblem(Position{Line: 1, Column: 1}, "", "nested %d levels deep, the limit is %d", depth, MaxDepth)
		return d.positions, d.problems
	}
	tree, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		at, message := syntaxError(err)
		d.addProblem(at, "", "invalid YAML: %s", message)
		return d.positions, d.problems
	}
	if len(tree.Docs) > 1 {
		d.addProblem(Position{Line: 1, Column: 1}, "", "file has %d documents, want one", len(tree.Docs))
		return d.positions, d.problems
	}
	if len(tree.Docs) == 0 || tree.Docs[0].Body == nil {
		return d.positions, d.problems
	}
	d.decodeNode(tree.Docs[0].Body, reflect.ValueOf(dst).Elem(), "")
	return d.positions, d.problems
}

// SetScalar sets dst, an addressable scalar, from text in the way Decode does for a scalar in a
// file. It is used for flags and environment variables.
func SetScalar(dst reflect.Value, text string) error {
	return setScalar(dst, text)
}

// IsScalar reports whether values of type t are written as one YAML scalar.
func IsScalar(t reflect.Type) bool {
	if reflect.PointerTo(t).Implements(textUnmarshalerType) || t == durationType {
		return true
	}
	switch t.Kind() {
	case reflect.String, reflect.Bool, reflect.Int, reflect.Int64, reflect.Float64:
		return true
	default:
		return false
	}
}

// decoder collects the positions and problems of one file while it fills Go values.
type decoder struct {
	file      string
	positions Positions
	problems  Problems
}

// addProblem records an error at a position.
func (d *decoder) addProblem(at Position, path, format string, args ...any) {
	d.problems = append(d.problems, Problem{
		File: d.file, Position: at, Path: path, Reason: fmt.Sprintf(format, args...),
	})
}

// decodeNode decodes n into v and records the position of path. A null leaves v unchanged.
func (d *decoder) decodeNode(n ast.Node, v reflect.Value, path string) {
	at := positionOf(n)
	d.positions[path] = at
	if _, ok := n.(*ast.NullNode); ok {
		return
	}
	switch n.(type) {
	case *ast.AliasNode, *ast.AnchorNode, *ast.TagNode:
		d.addProblem(at, path, "anchors, aliases and tags are not accepted")
		return
	}
	switch {
	case IsScalar(v.Type()):
		d.decodeScalar(n, v, path)
	case v.Kind() == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.decodeNode(n, v.Elem(), path)
	case v.Kind() == reflect.Struct:
		d.decodeMapping(n, v, path)
	case v.Kind() == reflect.Slice:
		d.decodeSequence(n, v, path)
	default:
		d.addProblem(at, path, "cannot be set from YAML")
	}
}

// decodeScalar decodes a scalar into v.
func (d *decoder) decodeScalar(n ast.Node, v reflect.Value, path string) {
	text, ok := scalarText(n)
	if !ok {
		d.addProblem(positionOf(n), path, "want a single value")
		return
	}
	if err := setScalar(v, text); err != nil {
		d.addProblem(positionOf(n), path, "%s", err)
	}
}

// decodeMapping decodes a mapping into the struct v and reports unknown and duplicate keys.
func (d *decoder) decodeMapping(n ast.Node, v reflect.Value, path string) {
	values, ok := mappingValues(n)
	if !ok {
		d.addProblem(positionOf(n), path, "want a mapping")
		return
	}
	fields := fieldsByKey(v.Type())
	seen := map[string]bool{}
	for _, kv := range values {
		key := kv.Key.GetToken().Value
		at := positionOf(kv.Key)
		child := join(path, key)
		index, known := fields[key]
		switch {
		case !known:
			d.addProblem(at, child, "unknown key")
		case seen[key]:
			d.addProblem(at, child, "duplicate key")
		default:
			d.decodeNode(kv.Value, v.FieldByIndex(index), child)
			d.positions[child] = at
		}
		seen[key] = true
	}
}

// decodeSequence decodes a sequence into the slice v.
func (d *decoder) decodeSequence(n ast.Node, v reflect.Value, path string) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addProblem(positionOf(n), path, "want a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values)))
	for i, item := range seq.Values {
		d.decodeNode(item, v.Index(i), path+"["+strconv.Itoa(i)+"]")
	}
}

// mappingValues returns the entries of a mapping, which the parser represents by
// MappingValueNode if it has a single entry.
func mappingValues(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}, true
	default:
		return nil, false
	}
}

// scalarText returns the text of a scalar node.
func scalarText(n ast.Node) (string, bool) {
	switch s := n.(type) {
	case *ast.StringNode:
		return s.Value, true
	case *ast.LiteralNode:
		return s.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return n.GetToken().Value, true
	default:
		return "", false
	}
}

// fieldsByKey maps each key to the index of its field. Fields of an embedded struct count as
// fields of the outer struct.
func fieldsByKey(t reflect.Type) map[string][]int {
	fields := map[string][]int{}
	for _, f := range reflect.VisibleFields(t) {
		if key := f.Tag.Get(Tag); key != "" {
			fields[key] = f.Index
		}
	}
	return fields
}

// setScalar sets v from text: by UnmarshalText if v implements it, or according to its type.
func setScalar(v reflect.Value, text string) error {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return u.UnmarshalText([]byte(text))
	}
	if v.Type() == durationType {
		parsed, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("want a duration such as 500ms or 2s, got %q", text)
		}
		v.SetInt(int64(parsed))
		return nil
	}
	return setBasicKind(v, text)
}

// setBasicKind sets a value of a basic kind from text.
func setBasicKind(v reflect.Value, text string) error {
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Bool:
		parsed, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("want true or false, got %q", text)
		}
		v.SetBool(parsed)
	case reflect.Int, reflect.Int64:
		parsed, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fmt.Errorf("want a whole number, got %q", text)
		}
		v.SetInt(parsed)
	case reflect.Float64:
		parsed, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("want a number, got %q", text)
		}
		v.SetFloat(parsed)
	default:
		return fmt.Errorf("cannot be set from %q", text)
	}
	return nil
}

// maxNesting returns an upper bound of the nesting depth of data, from its flow brackets and
// compact block sequences, without parsing it. Nesting by block indentation is not counted: its
// size in bytes grows with the square of the depth, so the caller's size limit bounds it.
func maxNesting(data []byte) int {
	depth, deepest, compact := 0, 0, 0
	lineStart := true
	for i, c := range data {
		switch c {
		case '[', '{':
			depth++
			lineStart = false
		case ']', '}':
			depth = max(depth-1, 0)
			lineStart = false
		case '\n':
			compact, lineStart = 0, true
		case '-', '?':
			if lineStart && i+1 < len(data) && (data[i+1] == ' ' || data[i+1] == '\t') {
				compact++
			} else {
				lineStart = false
			}
		case ' ', '\t':
		default:
			lineStart = false
		}
		deepest = max(deepest, depth+compact)
	}
	return deepest
}

// syntaxError returns the position and message of a parser error.
func syntaxError(err error) (Position, string) {
	if e, ok := errors.AsType[yaml.Error](err); ok && e.GetToken() != nil && e.GetToken().Position != nil {
		at := e.GetToken().Position
		return Position{Line: at.Line, Column: at.Column}, e.GetMessage()
	}
	line, _, _ := strings.Cut(err.Error(), "\n")
	return Position{Line: 1, Column: 1}, line
}

// join appends a key to the path of its parent.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
