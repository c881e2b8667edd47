// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
)

// Values of the flag -o.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatYAML  = "yaml"
)

// print writes v as JSON or YAML if the flag -o selects one of them, and else calls text, which
// writes it in readable form.
func (t *tool) print(v any, text func()) error {
	switch t.format {
	case formatJSON:
		encoder := json.NewEncoder(t.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	case formatYAML:
		// Converting from JSON gives both formats the same keys.
		data, err := json.Marshal(v)
		if err != nil {
			return err
		}
		data, err = yaml.JSONToYAML(data)
		if err != nil {
			return err
		}
		_, err = t.out.Write(data)
		return err
	default:
		text()
		return nil
	}
}

// table writes rows with aligned columns.
type table struct{ w *tabwriter.Writer }

// table starts a table with the given column headings.
func (t *tool) table(heads ...string) table {
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(heads, "\t"))
	return table{w}
}

func (t table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

func (t table) flush() { _ = t.w.Flush() }
