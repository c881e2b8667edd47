// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"math"
	"os"
	"strings"
)

// point is one measurement.
type point struct{ x, y float64 }

// slope is a cost against one quantity.
type slope struct {
	name, x, unit string
	points        []point
	// perUnit and base are the fit: y = base + perUnit * x.
	perUnit, base float64
	// spread is the largest distance of a point from the fit, in parts of the
	// point.
	maxDeviation float64
}

// newSlope fits a line through the points by least squares.
func newSlope(name, x, unit string, points []point) slope {
	s := slope{name: name, x: x, unit: unit, points: points}
	var mx, my float64
	n := float64(len(points))
	for _, p := range points {
		mx, my = mx+p.x/n, my+p.y/n
	}
	var up, down float64
	for _, p := range points {
		up += (p.x - mx) * (p.y - my)
		down += (p.x - mx) * (p.x - mx)
	}
	s.perUnit = up / down
	s.base = my - s.perUnit*mx
	for _, p := range points {
		if p.y != 0 {
			s.maxDeviation = max(s.maxDeviation, math.Abs(s.at(p.x)-p.y)/p.y)
		}
	}
	return s
}

// at returns the fit at x.
func (s slope) at(x float64) float64 { return s.base + s.perUnit*x }

// plotFile returns the name of the slope's plot.
func (s slope) plotFile() string {
	return "slope-" + strings.NewReplacer(" ", "-", "/", "-", ",", "").Replace(s.name) + ".svg"
}

// The size of a plot, in pixels.
const (
	plotWidth, plotHeight = 420, 260
	plotLeft, plotBottom  = 70, 40
	plotTop, plotRight    = 30, 20
)

// plot writes the points and the fit as a picture.
func (s slope) plot(path string) error {
	most := point{}
	for _, p := range s.points {
		most.x, most.y = max(most.x, p.x), max(most.y, p.y, s.at(p.x))
	}
	px := func(x float64) float64 { return plotLeft + x/most.x*(plotWidth-plotLeft-plotRight) }
	py := func(y float64) float64 {
		return plotHeight - plotBottom - max(y, 0)/most.y*(plotHeight-plotTop-plotBottom)
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`, plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="18" font-size="13">%s (%s)</text>`, plotLeft, s.name, s.unit)
	fmt.Fprintf(&b, `<path d="M%d %d V%d H%d" stroke="black" fill="none"/>`, plotLeft, plotTop, plotHeight-plotBottom, plotWidth-plotRight)
	fmt.Fprintf(&b, `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="steelblue"/>`, px(0), py(s.at(0)), px(most.x), py(s.at(most.x)))
	for _, p := range s.points {
		fmt.Fprintf(&b, `<circle cx="%.1f" cy="%.1f" r="4" fill="firebrick"/>`, px(p.x), py(p.y))
	}
	fmt.Fprintf(&b, `<text x="%d" y="%d" text-anchor="end">%.4g</text>`, plotLeft-6, plotTop+4, most.y)
	fmt.Fprintf(&b, `<text x="%d" y="%d" text-anchor="end">0</text>`, plotLeft-6, plotHeight-plotBottom+4)
	fmt.Fprintf(&b, `<text x="%d" y="%d" text-anchor="end">%.5g %s</text></svg>`, plotWidth-plotRight, plotHeight-plotBottom+18, most.x, s.x)
	return os.WriteFile(path, []byte(b.String()+"\n"), 0o644)
}
