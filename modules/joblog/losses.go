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

// The log messages that report the end of a job and a call that was not served.
const (
	messageJobEnded      = "job ended"
	messageCallNotServed = "call not served"
)

// Losses summarizes the jobs that were late or failed and the calls that were not served,
// according to the daemons' logs.
type Losses struct {
	queues map[string]*QueueLoss
	// spans counts losses by the start of the interval and by reason. interval is the length of
	// an interval.
	spans    map[time.Time]map[string]int
	interval time.Duration
	// workspaces holds the losses of each workspace.
	workspaces map[string]*QueueLoss
	// TornLines counts lines that look like a daemon's but could not be decoded.
	TornLines int
}

// QueueLoss holds the losses of one queue or one workspace.
type QueueLoss struct {
	Queue     string `json:"queue,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	// Ended counts the jobs that ended, late ones and failed ones included. Late counts those
	// that took longer than their objective, Failed those that failed.
	Ended  int `json:"ended"`
	Late   int `json:"late"`
	Failed int `json:"failed"`
	// Delays attributes the late jobs to the causes of their delay. A job delayed by several
	// causes counts as a fraction for each, in proportion to its duration.
	Delays map[string]float64 `json:"delays"`
}

// SpanLoss counts the losses of one interval for one reason.
type SpanLoss struct {
	Begin  time.Time `json:"from"`
	Reason string    `json:"reason"`
	Count  int       `json:"count"`
}

// NewLosses returns empty losses that are counted per interval.
func NewLosses(interval time.Duration) *Losses {
	return &Losses{queues: map[string]*QueueLoss{}, workspaces: map[string]*QueueLoss{}, spans: map[time.Time]map[string]int{}, interval: interval}
}

// lossLine holds the fields of a log line that reports the end of a job or a call that was not
// served.
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
			l.TornLines++
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

// addEnded counts the end of a job for its queue and, if it has one, its workspace.
func (l *Losses) addEnded(line lossLine) {
	q := l.queues[line.Queue]
	if q == nil {
		q = &QueueLoss{Queue: line.Queue, Delays: map[string]float64{}}
		l.queues[line.Queue] = q
	}
	reason := q.addEnded(line)
	if reason != "" {
		l.countLoss(line.At, reason)
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

// addEnded counts the end of a job and returns the kind of loss, or "" if there was none. A job
// without an objective cannot be late: it runs indefinitely or has several due times.
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

// addLate distributes a late job over the causes of its delay, in proportion to their durations,
// and returns the cause with the longest delay.
func (q *QueueLoss) addLate(line lossLine) string {
	total, longest := time.Duration(0), ""
	for _, cause := range slices.Sorted(maps.Keys(line.Delays)) {
		delay := line.Delays[cause]
		total += delay
		if longest == "" || delay > line.Delays[longest] {
			longest = cause
		}
	}
	for cause, delay := range line.Delays {
		q.Delays[cause] += float64(delay) / float64(total)
	}
	if longest == "" {
		longest = "no delay was told"
		q.Delays[longest]++
	}
	return longest
}

// countLoss counts a loss for a reason in the interval that contains at.
func (l *Losses) countLoss(at time.Time, reason string) {
	begin := at.Truncate(l.interval)
	if l.spans[begin] == nil {
		l.spans[begin] = map[string]int{}
	}
	l.spans[begin][reason]++
}

// reasonClass removes the parts of a reason that differ between calls: words with digits, such
// as addresses, and everything after a colon.
func reasonClass(reason string) string {
	class, _, _ := strings.Cut(reason, ":")
	words := slices.DeleteFunc(strings.Fields(class), func(word string) bool { return strings.ContainsAny(word, "0123456789") })
	return strings.Join(words, " ")
}

// Queues returns the losses of each queue, sorted by name.
func (l *Losses) Queues() []QueueLoss { return sortedByName(l.queues) }

// Workspaces returns the losses of each workspace, sorted by name.
func (l *Losses) Workspaces() []QueueLoss { return sortedByName(l.workspaces) }

// sortedByName returns the losses of a map, sorted by its keys.
func sortedByName(losses map[string]*QueueLoss) []QueueLoss {
	var all []QueueLoss
	for _, name := range slices.Sorted(maps.Keys(losses)) {
		all = append(all, *losses[name])
	}
	return all
}

// Spans returns the losses sorted by time and reason.
func (l *Losses) Spans() []SpanLoss {
	var all []SpanLoss
	for _, begin := range slices.SortedFunc(maps.Keys(l.spans), time.Time.Compare) {
		for _, reason := range slices.Sorted(maps.Keys(l.spans[begin])) {
			all = append(all, SpanLoss{begin, reason, l.spans[begin][reason]})
		}
	}
	return all
}

// SortedDelays returns the causes of delay, the one with the most late jobs first.
func (q *QueueLoss) SortedDelays() []string {
	return slices.SortedFunc(maps.Keys(q.Delays), func(a, b string) int {
		return cmp.Or(cmp.Compare(q.Delays[b], q.Delays[a]), cmp.Compare(a, b))
	})
}
