// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package strictyaml_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"saddlevane/modules/strictyaml"

	"gotest.tools/v3/assert"
)

// inner is a nested section.
type inner struct {
	Wait  time.Duration `yaml:"wait"`
	Words []string      `yaml:"words"`
}

// Embedded is an embedded struct whose keys are at the level of outer.
type Embedded struct {
	Name string `yaml:"name"`
}

type outer struct {
	Embedded
	Count int     `yaml:"count"`
	On    bool    `yaml:"on"`
	Part  float64 `yaml:"part"`
	Inner inner   `yaml:"inner"`
	List  []inner `yaml:"list"`
}

func TestDecodeFillsEveryKind(t *testing.T) {
	var got outer
	text := "name: x\ncount: 3\non: true\npart: 0.5\ninner: {wait: 2s, words: [a, b]}\nlist:\n  - wait: 1ms\n"
	_, problems := strictyaml.Decode("f", []byte(text), &got)
	assert.NilError(t, problems.Err())
	assert.Equal(t, got.Name, "x")
	assert.Equal(t, got.Count, 3)
	assert.Check(t, got.On)
	assert.Equal(t, got.Part, 0.5)
	assert.Equal(t, got.Inner.Wait, 2*time.Second)
	assert.DeepEqual(t, got.Inner.Words, []string{"a", "b"})
	assert.Equal(t, got.List[0].Wait, time.Millisecond)
}

func TestDecodeReportsAllErrorsWithPosition(t *testing.T) {
	text := "count: many\nnone: 1\ninner:\n  wait: soon\n  words: single\nlist:\n  - odd: 1\ncount: 2\non: {a: b}\n"
	var got outer
	_, problems := strictyaml.Decode("f.yaml", []byte(text), &got)
	var lines []string
	for _, p := range problems {
		lines = append(lines, p.Error())
	}
	assert.DeepEqual(t, lines, []string{
		`f.yaml:1:8: count: want a whole number, got "many"`,
		`f.yaml:2:1: none: unknown key`,
		`f.yaml:4:9: inner.wait: want a duration such as 500ms or 2s, got "soon"`,
		`f.yaml:5:10: inner.words: want a list`,
		`f.yaml:7:5: list[0].odd: unknown key`,
		`f.yaml:8:1: count: duplicate key`,
		`f.yaml:9:5: on: want a single value`,
	})
}

func TestDecodeRefusesExpensiveInput(t *testing.T) {
	for name, text := range map[string]string{
		"flow":    "a: " + strings.Repeat("[", 100_000),
		"block":   strings.Repeat("- ", 100_000),
		"aliases": "name: &a x\ncount: *a\n",
		"several": "name: x\n---\nname: y\n",
	} {
		t.Run(name, func(t *testing.T) {
			var got outer
			_, problems := strictyaml.Decode("f", []byte(text), &got)
			assert.Check(t, len(problems) > 0)
		})
	}
}

func TestPositionsFallBackToTheEnclosingKey(t *testing.T) {
	var got outer
	positions, _ := strictyaml.Decode("f", []byte("list:\n  - wait: 1s\n"), &got)
	assert.Equal(t, positions.Of("list[0].words").Line, 2)
	assert.Equal(t, positions.Of("list[7].words").Line, 1)
	assert.Equal(t, positions.Of("nothing").Line, 1)
}

func FuzzDecode(f *testing.F) {
	files, _ := filepath.Glob("../../custom/conf/*.yaml")
	for _, name := range files {
		data, err := os.ReadFile(name)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Add([]byte("a: [b, {c: d}]\n? x\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var got outer
		_, _ = strictyaml.Decode("f", data, &got)
	})
}
