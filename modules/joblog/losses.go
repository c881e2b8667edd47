// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package joblog

import (
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// The messages of daemons that tell of jobs and calls that were not served in time.
const (
	messageJobEnded      = "job ended"
	messageCallNotServed = "call not served"
)

// Losses sums up what the daemons logged of jobs that were late or failed, and of
// calls that were not served.
type Losses struct {
	queues map[string]*QueueLoss
	// spans counts by the time of the day and by reason, in steps of every.
	spans    map[time.Time]map[string]int
	interval time.Duration
	// workspaces has the losses of each workspace.
	workspaces map[string]*QueueLoss
	// Torn counts lines that looked like a daemon's and could not be read.
	Torn int
}

// QueueLoss is what one queue, or one workspace, has lost.
type QueueLoss struct {
	Queue     string `json:"queue,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	// Ended counts the jobs that have ended well or failed, Late those that took longer
	// than their objective, Failed those that failed.
	Ended  int `json:"ended"`
	Late   int `json:"late"`
	Failed int `json:"failed"`
	// Delays is how many of the late jobs, in parts of a job, were late because of each
	// delay.
	Delays map[string]float64 `json:"delays"`
}

// SpanLoss counts what was lost in a span of time for one reason.
type SpanLoss struct {
	Begin  time.Time `json:"from"`
	Reason string    `json:"reason"`
	Count  int       `json:"count"`
}

// NewLosses returns no losses yet; they are counted in spans of some length.
func NewLosses(every time.Duration) *Losses {
	return &Losses{queues: map[string]*QueueLoss{}, workspaces: map[string]*QueueLoss{}, spans: map[time.Time]map[string]int{}, interval: every}
}

// lossLine is the part of a line that tells the end of a job or of a call.
type lossLine struct {
	Message   string                   `json:"msg"`
	At        time.Time                `json:"time"`
	Queue     string                   `json:"queue"`
	Workspace string                   `json:"workspace"`
	Outcome   string                   `json:"outcome"`
	Call      string                   `json:"call"`
	Reason    string                   `json:"reason"`
	Age       string                   `json:"age"`
	Objective string                   `json:"objective"`
	Late      bool                     `json:"late"`
	Delays    map[string]time.Duration `json:"delays"`
}

// Read adds the lines of r.
func (l *Losses) Read(r io.Reader) error {
	return forEachLine(r, func(text string) {
		brace := strings.IndexByte(text, '{')
		if brace < 0 || !strings.Contains(text, messageJobEnded) && !strings.Contains(text, messageCallNotServed) {
			return
		}
		var line lossLine
		if json.Unmarshal([]byte(text[brace:]), &line) != nil {
			l.Torn++
			return
		}
		l.addLine(line)
	})
}

// addLine counts one line.
func (l *Losses) addLine(line lossLine) {
	switch line.Message {
	case messageJobEnded:
		l.addEnded(line)
	case messageCallNotServed:
		l.countLoss(line.At, line.Call+" "+line.Outcome+": "+reasonClass(line.Reason))
	}
}

// addEnded counts the end of a job, for its queue and for its workspace if it is of one.
func (l *Losses) addEnded(line lossLine) {
	q := l.queues[line.Queue]
	if q == nil {
		q = &QueueLoss{Queue: line.Queue, Delays: map[string]float64{}}
		l.queues[line.Queue] = q
	}
	why := q.addEnded(line)
	if why != "" {
		l.countLoss(line.At, why)
	}
	if line.Workspace == "" {
		return
	}
	w := l.workspaces[line.Workspace]
	if w == nil {
		w = &QueueLoss{Workspace: line.Workspace, Delays: map[string]float64{}}
		l.workspaces[line.Workspace] = w
	}
	w.addEnded(line)
}

// addEnded counts the end of a job, and returns what was lost by it, if anything. One without
// an objective has none: it lasts, or falls due several times.
func (q *QueueLoss) addEnded(line lossLine) string {
	switch {
	case line.Outcome == "failed":
		q.Ended++
		q.Failed++
		return "job failed"
	case line.Outcome == "succeeded" && line.Objective != "":
		q.Ended++
		if line.Late {
			q.Late++
			return "job late: " + q.addLate(line)
		}
	}
	return ""
}

// addLate divides a late job among what delayed it, and returns what did most.
func (q *QueueLoss) addLate(line lossLine) string {
	total, longest := time.Duration(0), ""
	for _, why := range slices.Sorted(maps.Keys(line.Delays)) {
		took := line.Delays[why]
		total += took
		if longest == "" || took > line.Delays[longest] {
			longest = why
		}
	}
	for why, took := range line.Delays {
		q.Delays[why] += float64(took) / float64(total)
	}
	if longest == "" {
		longest = "no delay was told"
		q.Delays[longest]++
	}
	return longest
}

// countLoss counts one loss.
func (l *Losses) countLoss(at time.Time, reason string) {
	begin := at.Truncate(l.interval)
	if l.spans[begin] == nil {
		l.spans[begin] = map[string]int{}
	}
	l.spans[begin][reason]++
}

// reasonClass drops what differs from call to call: words with digits, such as
// addresses, and what follows a colon.
func reasonClass(reason string) string {
	class, _, _ := strings.Cut(reason, ":")
	words := slices.DeleteFunc(strings.Fields(class), func(word string) bool { return strings.ContainsAny(word, "0123456789") })
	return strings.Join(words, " ")
}

// Queues returns the losses of each queue, by name.
func (l *Losses) Queues() []QueueLoss { return sortedByName(l.queues) }

// Workspaces returns the losses of each workspace, by name.
func (l *Losses) Workspaces() []QueueLoss { return sortedByName(l.workspaces) }

func sortedByName(losses map[string]*QueueLoss) []QueueLoss {
	var all []QueueLoss
	for _, name := range slices.Sorted(maps.Keys(losses)) {
		all = append(all, *losses[name])
	}
	return all
}

// Spans returns the losses in order of time and reason.
func (l *Losses) Spans() []SpanLoss {
	var all []SpanLoss
	for _, begin := range slices.SortedFunc(maps.Keys(l.spans), time.Time.Compare) {
		for _, reason := range slices.Sorted(maps.Keys(l.spans[begin])) {
			all = append(all, SpanLoss{begin, reason, l.spans[begin][reason]})
		}
	}
	return all
}

// SortedDelays returns the delays, that of most late jobs first.
func (q *QueueLoss) SortedDelays() []string {
	return slices.SortedFunc(maps.Keys(q.Delays), func(a, b string) int {
		return cmp.Or(cmp.Compare(q.Delays[b], q.Delays[a]), cmp.Compare(a, b))
	})
}
