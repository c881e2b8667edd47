// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package resource

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Millis is an amount of processors, in thousandths of one processor.
type Millis int64

// Processor is one whole processor.
const Processor Millis = 1000

const (
	// Upper limits of an amount: 21,000 workers have about 1.3 million processors and 6 PiB of memory.
	maxProcessors = 1 << 24
	maxMemory     = 1 << 56
)

// Processors returns the amount in processors, as a fraction.
func (m Millis) Processors() float64 { return float64(m) / float64(Processor) }

// UnmarshalText parses thousandths such as "1500m" or processors such as "1.5".
func (m *Millis) UnmarshalText(text []byte) error {
	s := string(text)
	if digits, ok := strings.CutSuffix(s, "m"); ok {
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > maxProcessors*int64(Processor) {
			return fmt.Errorf("want processors such as 1500m or 1.5, got %q", s)
		}
		*m = Millis(n)
		return nil
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || !(f >= 0 && f <= maxProcessors) {
		return fmt.Errorf("want processors such as 1500m or 1.5, got %q", s)
	}
	*m = Millis(math.Round(f * float64(Processor)))
	return nil
}

// MarshalText returns the form that UnmarshalText parses.
func (m Millis) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// String returns whole processors as in "2", anything else in thousandths as in "1500m".
func (m Millis) String() string {
	if m%Processor == 0 {
		return strconv.FormatInt(int64(m/Processor), 10)
	}
	return strconv.FormatInt(int64(m), 10) + "m"
}

// Bytes is an amount of memory in bytes.
type Bytes int64

// Units of memory.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
	TiB Bytes = 1 << 40
)

// unit is the suffix of a memory unit and the size of the unit.
type unit struct {
	suffix string
	size   Bytes
}

var units = []unit{{"TiB", TiB}, {"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", 1}}

// UnmarshalText parses a whole number with a unit, such as "512MiB" or "2GiB", or a number of bytes.
func (b *Bytes) UnmarshalText(text []byte) error {
	s := string(text)
	digits, size := s, Bytes(1)
	for _, u := range units {
		if d, ok := strings.CutSuffix(s, u.suffix); ok {
			digits, size = d, u.size
			break
		}
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || n < 0 || n > maxMemory/int64(size) {
		return fmt.Errorf("want memory such as 512MiB or 2GiB, got %q", s)
	}
	*b = Bytes(n) * size
	return nil
}

// MarshalText returns the form that UnmarshalText parses.
func (b Bytes) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// String returns b in the largest unit that divides it evenly.
func (b Bytes) String() string {
	for _, u := range units {
		if b != 0 && b%u.size == 0 {
			return strconv.FormatInt(int64(b/u.size), 10) + u.suffix
		}
	}
	return "0B"
}
