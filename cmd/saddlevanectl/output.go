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

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatYAML  = "yaml"
)

// print writes v in the format asked for; text writes it for people.
func (t *tool) print(v any, text func()) error {
	switch t.format {
	case formatJSON:
		encoder := json.NewEncoder(t.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	case formatYAML:
		// By way of JSON, so that both formats name everything alike.
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

// table lines columns up.
type table struct{ w *tabwriter.Writer }

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
