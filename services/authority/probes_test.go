// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package authority_test

import (
	"testing"
	"time"

	"saddlevane/models/claim"
	"saddlevane/services/authority"

	"gotest.tools/v3/assert"
)

var probeStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// probedBoxes returns the boxes a, b and c.
func probedBoxes() authority.Boxes {
	return authority.Boxes{
		"a": {Box: "a", Address: "at-a", Incarnation: "a1"},
		"b": {Box: "b", Address: "at-b", Incarnation: "b1"},
		"c": {Box: "c", Address: "at-c", Incarnation: "c1"},
	}
}

func TestProbeOmitsSelfAndUnknownCandidates(t *testing.T) {
	boxes := probedBoxes()
	p := authority.NewProbes()
	assert.DeepEqual(t, p.Begin(probeStart, boxes["a"], boxes, []string{"a", "b", "unknown"}), []string{"at-b"})
	assert.DeepEqual(t, p.End(), []claim.Member{boxes["b"]})
	assert.Equal(t, len(p.End()), 0)
}

func TestNextProbeWaitsForAnswersAndInterval(t *testing.T) {
	boxes := probedBoxes()
	p := authority.NewProbes()
	assert.Assert(t, p.IsDue(probeStart))
	p.Begin(probeStart, boxes["a"], boxes, []string{"b"})
	assert.Assert(t, !p.IsDue(probeStart.Add(time.Minute)), "the first probe has no answer yet")
	p.End()
	assert.Assert(t, !p.IsDue(probeStart.Add(2*time.Second-1)))
	assert.Assert(t, p.IsDue(probeStart.Add(2*time.Second)))
}

func TestNextProbeWaitsAfterOneOfNoBox(t *testing.T) {
	boxes := probedBoxes()
	p := authority.NewProbes()
	assert.Equal(t, len(p.Begin(probeStart, boxes["a"], boxes, []string{"a"})), 0)
	assert.Assert(t, !p.IsDue(probeStart.Add(2*time.Second-1)))
	assert.Assert(t, p.IsDue(probeStart.Add(2*time.Second)))
}

func TestBoxThatDoesNotReachTheLogIsUnusableForAWhile(t *testing.T) {
	boxes := probedBoxes()
	p := authority.NewProbes()
	p.Begin(probeStart, boxes["a"], boxes, []string{"b", "c"})
	assert.DeepEqual(t, p.RecordAnswers(probeStart, p.End(), boxes, []string{"at-c"}), []string{"b"})
	assert.Assert(t, p.IsUnusable(probeStart.Add(10*time.Second-1), "b"))
	assert.Assert(t, !p.IsUnusable(probeStart.Add(10*time.Second), "b"))
	assert.Assert(t, !p.IsUnusable(probeStart, "c"))
}

func TestFailureOfUnusableBoxIsNotReportedAgain(t *testing.T) {
	boxes := probedBoxes()
	p := authority.NewProbes()
	for i, want := range []int{1, 0} {
		now := probeStart.Add(time.Duration(i) * 2 * time.Second)
		p.Begin(now, boxes["a"], boxes, []string{"b"})
		assert.Equal(t, len(p.RecordAnswers(now, p.End(), boxes, nil)), want)
	}
	assert.Assert(t, !p.IsUnusable(probeStart.Add(10*time.Second), "b"), "the second failure extends nothing")
}

func TestAnswerOfEarlierIncarnationDoesNotCountForLaterOne(t *testing.T) {
	boxes := probedBoxes()
	p := authority.NewProbes()
	p.Begin(probeStart, boxes["a"], boxes, []string{"b"})
	boxes["b"] = claim.Member{Box: "b", Address: "at-b", Incarnation: "b2"}
	assert.Equal(t, len(p.RecordAnswers(probeStart, p.End(), boxes, nil)), 0)
	assert.Assert(t, !p.IsUnusable(probeStart, "b"))
}

func TestAnnouncedBoxIsUsableAtOnce(t *testing.T) {
	boxes := probedBoxes()
	p := authority.NewProbes()
	p.Begin(probeStart, boxes["a"], boxes, []string{"b"})
	p.RecordAnswers(probeStart, p.End(), boxes, nil)
	p.RecordAnnounced("b")
	assert.Assert(t, !p.IsUnusable(probeStart, "b"))
}
