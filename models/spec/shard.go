// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package spec

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// ShardID identifies a group of racks within a failure domain. Only one entry box at a time places
// tasks on a shard.
type ShardID struct {
	Domain string
	Number int
}

// String returns "domain.number".
func (s ShardID) String() string { return s.Domain + "." + strconv.Itoa(s.Number) }

// MarshalText returns the form that UnmarshalText parses.
func (s ShardID) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses "domain.number".
func (s *ShardID) UnmarshalText(text []byte) error {
	domain, number, ok := strings.Cut(string(text), ".")
	n, err := strconv.Atoi(number)
	if !ok || domain == "" || err != nil || n < 0 {
		return fmt.Errorf("want a shard such as a.0, got %q", text)
	}
	*s = ShardID{Domain: domain, Number: n}
	return nil
}

// Compare orders shards by domain, then number.
func (s ShardID) Compare(o ShardID) int {
	return cmp.Or(cmp.Compare(s.Domain, o.Domain), cmp.Compare(s.Number, o.Number))
}

// ShardID returns the shard that r belongs to.
func (r Rack) ShardID() ShardID { return ShardID{Domain: r.Domain, Number: r.Shard} }
