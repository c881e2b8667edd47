// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package authority

import (
	"cmp"
	"maps"
	"slices"

	"saddlevane/models/claim"

	"github.com/cespare/xxhash/v2"
)

// Each claim and renewal names the candidates: the boxes that may claim the cell soon after the holder
// falls silent. A holder that the log does not answer needs a pledge of each of them, and their number
// is bounded, so that such an agreement does not get less likely with more boxes. The other boxes are
// outsiders: they claim only after OutsiderClaimAfter, by which time a holder that depends on pledges
// has stopped. Since claims are accepted only at the end of the stream that their sender has read, a
// box that has not read the newest candidates cannot claim.

// record is a claim as it is written to the log.
type record struct {
	claim.Claim
	Candidates []string `json:"candidates,omitempty"`
}

// MaxCandidates is the largest number of candidates, the holder included.
const MaxCandidates = 9

// IsCandidate reports whether the newest claim names this box as a candidate, or names none at all.
func (a *Authority) IsCandidate() bool {
	return len(a.candidates) == 0 || slices.Contains(a.candidates, a.self.Box)
}

// Proposed returns the candidates that the next claim or renewal of this process names.
func (a *Authority) Proposed() []string { return a.proposed }

// Propose sets the candidates that the next claim or renewal of this process names.
func (a *Authority) Propose(candidates []string) { a.proposed = candidates }

// PossibleCandidates returns the boxes that are candidates according to the newest claim, or to a
// renewal of this process that may be in the log. It returns nil if all boxes may be candidates.
func (a *Authority) PossibleCandidates() []string {
	all := slices.Clone(a.candidates)
	for _, sent := range a.unconfirmed {
		if len(sent.candidates) == 0 {
			return nil
		}
		all = append(all, sent.candidates...)
	}
	if len(a.candidates) == 0 {
		return nil
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Candidates returns the names of the boxes that a holder names as candidates, sorted: itself, and
// boxes of all failure domains in turn, by turns the largest and the smallest ones, so that the loss
// neither of a domain nor of all large boxes leaves none. Boxes that avoid reports are left out.
func (b Boxes) Candidates(self claim.Member, avoid func(box string) bool) []string {
	names := []string{self.Box}
	byDomain := b.rankedByDomain(func(box string) bool { return box == self.Box || avoid(box) })
	for round := 0; len(names) < MaxCandidates; round++ {
		added := false
		for i, boxes := range byDomain {
			if len(boxes) == 0 || len(names) >= MaxCandidates {
				continue
			}
			taken := 0
			if round%2 == 1 {
				taken = len(boxes) - 1
			}
			names = append(names, boxes[taken].Box)
			byDomain[i] = slices.Delete(boxes, taken, taken+1)
			added = true
		}
		if !added {
			break
		}
	}
	slices.Sort(names)
	return names
}

// rankedByDomain returns the boxes that avoid does not report, the largest of each domain first, with
// the domains sorted by name.
func (b Boxes) rankedByDomain(avoid func(box string) bool) [][]claim.Member {
	byDomain := map[string][]claim.Member{}
	for _, m := range b {
		if !avoid(m.Box) {
			byDomain[m.Domain] = append(byDomain[m.Domain], m)
		}
	}
	var all [][]claim.Member
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		boxes := byDomain[domain]
		slices.SortFunc(boxes, func(x, y claim.Member) int {
			return cmp.Or(cmp.Compare(y.Size, x.Size), cmp.Compare(xxhash.Sum64String(x.Box), xxhash.Sum64String(y.Box)), cmp.Compare(x.Box, y.Box))
		})
		all = append(all, boxes)
	}
	return all
}
