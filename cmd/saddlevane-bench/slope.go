// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"math"
	"os"
	"strings"
)

// point is one measurement: the cost y at the quantity x.
type point struct{ x, y float64 }

// slope is a cost as a linear function of one quantity.
type slope struct {
	name, x, unit string
	points        []point
	// perUnit and base are the parameters of the fit: y = base + perUnit*x.
	perUnit, base float64
	// maxDeviation is the largest relative difference between a point and the fit.
	maxDeviation float64
}

// newSlope fits a line to the points by least squares.
func newSlope(name, x, unit string, points []point) slope {
	s := slope{name: name, x: x, unit: unit, points: points}
	var meanX, meanY float64
	n := float64(len(points))
	for _, p := range points {
		meanX, meanY = meanX+p.x/n, meanY+p.y/n
	}
	var covariance, variance float64
	for _, p := range points {
		covariance += (p.x - meanX) * (p.y - meanY)
		variance += (p.x - meanX) * (p.x - meanX)
	}
	s.perUnit = covariance / variance
	s.base = meanY - s.perUnit*meanX
	for _, p := range points {
		if p.y != 0 {
			s.maxDeviation = max(s.maxDeviation, math.Abs(s.at(p.x)-p.y)/p.y)
		}
	}
	return s
}

// at returns the value of the fit at x.
func (s slope) at(x float64) float64 { return s.base + s.perUnit*x }

// plotFile returns the file name of the slope's plot.
func (s slope) plotFile() string {
	return "slope-" + strings.NewReplacer(" ", "-", "/", "-", ",", "").Replace(s.name) + ".svg"
}

// Size and margins of a plot in pixels.
const (
	plotWidth, plotHeight = 420, 260
	plotLeft, plotBottom  = 70, 40
	plotTop, plotRight    = 30, 20
)

// plot writes the points and the fit to an SVG file.
func (s slope) plot(path string) error {
	largest := point{}
	for _, p := range s.points {
		largest.x, largest.y = max(largest.x, p.x), max(largest.y, p.y, s.at(p.x))
	}
	px := func(x float64) float64 { return plotLeft + x/largest.x*(plotWidth-plotLeft-plotRight) }
	py := func(y float64) float64 {
		return plotHeight - plotBottom - max(y, 0)/largest.y*(plotHeight-plotTop-plotBottom)
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`, plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="18" font-size="13">%s (%s)</text>`, plotLeft, s.name, s.unit)
	fmt.Fprintf(&b, `<path d="M%d %d V%d H%d" stroke="black" fill="none"/>`, plotLeft, plotTop, plotHeight-plotBottom, plotWidth-plotRight)
	fmt.Fprintf(&b, `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="steelblue"/>`, px(0), py(s.at(0)), px(largest.x), py(s.at(largest.x)))
	for _, p := range s.points {
		fmt.Fprintf(&b, `<circle cx="%.1f" cy="%.1f" r="4" fill="firebrick"/>`, px(p.x), py(p.y))
	}
	fmt.Fprintf(&b, `<text x="%d" y="%d" text-anchor="end">%.4g</text>`, plotLeft-6, plotTop+4, largest.y)
	fmt.Fprintf(&b, `<text x="%d" y="%d" text-anchor="end">0</text>`, plotLeft-6, plotHeight-plotBottom+4)
	fmt.Fprintf(&b, `<text x="%d" y="%d" text-anchor="end">%.5g %s</text></svg>`, plotWidth-plotRight, plotHeight-plotBottom+18, largest.x, s.x)
	return os.WriteFile(path, []byte(b.String()+"\n"), 0o644)
}
