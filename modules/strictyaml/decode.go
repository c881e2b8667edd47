// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package strictyaml fills Go structs from YAML and reports every mistake at
// once, each with its line and column. The YAML itself is parsed by a library;
// this package only walks the parsed tree beside the Go type.
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

// MaxDepth is the deepest nesting that Decode accepts. Deeper input is refused
// before it is parsed, because the parser recurses once per level.
const MaxDepth = 32

// Tag is the struct tag that names a field's key.
const Tag = "yaml"

var (
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
	durationType        = reflect.TypeFor[time.Duration]()
)

// Decode fills dst, a pointer to a struct, from data. It returns where each key
// stood, for checks that come later, and every mistake found.
func Decode(file string, data []byte, dst any) (Positions, Problems) {
	d := decoder{file: file, positions: Positions{}}
	if depth := maxNesting(data); depth > MaxDepth {
		d.addProblem(Position{Line: 1, Column: 1}, "", "nested %d deep, the limit is %d", depth, MaxDepth)
		return d.positions, d.problems
	}
	tree, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		at, message := syntaxError(err)
		d.addProblem(at, "", "not YAML: %s", message)
		return d.positions, d.problems
	}
	if len(tree.Docs) > 1 {
		d.addProblem(Position{Line: 1, Column: 1}, "", "holds %d documents, want one", len(tree.Docs))
		return d.positions, d.problems
	}
	if len(tree.Docs) == 0 || tree.Docs[0].Body == nil {
		return d.positions, d.problems
	}
	d.decodeNode(tree.Docs[0].Body, reflect.ValueOf(dst).Elem(), "")
	return d.positions, d.problems
}

// SetScalar sets dst, a pointer to a scalar, from text, as Decode would from a
// scalar in a file. It serves flags and environment variables.
func SetScalar(dst reflect.Value, text string) error {
	return setScalar(dst, text)
}

// IsScalar says whether values of type t are written as one YAML scalar.
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

type decoder struct {
	file      string
	positions Positions
	problems  Problems
}

func (d *decoder) addProblem(at Position, path, format string, args ...any) {
	d.problems = append(d.problems, Problem{
		File: d.file, Position: at, Path: path, Reason: fmt.Sprintf(format, args...),
	})
}

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

func (d *decoder) decodeMapping(n ast.Node, v reflect.Value, path string) {
	values, ok := mappingValues(n)
	if !ok {
		d.addProblem(positionOf(n), path, "want keys and values")
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
			d.addProblem(at, child, "key given twice")
		default:
			d.decodeNode(kv.Value, v.FieldByIndex(index), child)
			d.positions[child] = at
		}
		seen[key] = true
	}
}

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

// fieldsByKey maps each key to its field; the fields of an embedded struct count
// as the struct's own.
func fieldsByKey(t reflect.Type) map[string][]int {
	fields := map[string][]int{}
	for _, f := range reflect.VisibleFields(t) {
		if key := f.Tag.Get(Tag); key != "" {
			fields[key] = f.Index
		}
	}
	return fields
}

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

// maxNesting bounds the depth of data from its flow brackets and compact block
// sequences, without parsing it. It may count too much, never too little.
// Deeper block indentation costs the square of its depth in bytes, so the size
// limit of the caller bounds that.
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

// syntaxError returns where the parser gave up and why.
func syntaxError(err error) (Position, string) {
	if e, ok := errors.AsType[yaml.Error](err); ok && e.GetToken() != nil && e.GetToken().Position != nil {
		at := e.GetToken().Position
		return Position{Line: at.Line, Column: at.Column}, e.GetMessage()
	}
	line, _, _ := strings.Cut(err.Error(), "\n")
	return Position{Line: 1, Column: 1}, line
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
