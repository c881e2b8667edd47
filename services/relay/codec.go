// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"encoding/json"
	"fmt"

	"saddlevane/models/order"
)

// Orders and their ends are rows on the wire, not objects with names: a look and its
// answer took 610 bytes of a holder's link as objects, of which half were names
// (120 idle workers, 2 s, messages included).

// The kinds of orders in a row.
const (
	kindRenew    = "r"
	kindStart    = "s"
	kindStop     = "x"
	kindThrottle = "t"
)

// MarshalJSON returns the order as a row.
func (o Order) MarshalJSON() ([]byte, error) {
	row := []any{o.ID, o.Worker, o.Address, o.Within, o.Overdue}
	switch {
	case o.Renew != nil:
		row = append(row, kindRenew, o.Renew.Until, o.Renew.Fence, o.Renew.Seen, o.Renew.Wait)
	case o.Start != nil:
		s := o.Start
		row = append(row, kindStart, s.Task, s.Number, s.Spec, s.Until, s.Fence, s.Checkpoint, s.Ticket)
	case o.Stop != nil:
		row = append(row, kindStop, o.Stop.Task, o.Stop.Number, o.Stop.Fence)
	case o.Throttle != nil:
		t := o.Throttle
		row = append(row, kindThrottle, t.Task, t.Number, t.Percent, t.Fence)
	}
	return json.Marshal(row)
}

// UnmarshalJSON reads a row.
func (o *Order) UnmarshalJSON(data []byte) error {
	var row []json.RawMessage
	if err := json.Unmarshal(data, &row); err != nil {
		return fmt.Errorf("order: %w", err)
	}
	var kind string
	*o = Order{}
	if err := fields(row, &o.ID, &o.Worker, &o.Address, &o.Within, &o.Overdue, &kind); err != nil {
		return fmt.Errorf("order: %w", err)
	}
	rest := row[min(len(row), 6):]
	var err error
	switch kind {
	case kindRenew:
		o.Renew = &order.Renew{}
		err = fields(rest, &o.Renew.Until, &o.Renew.Fence, &o.Renew.Seen, &o.Renew.Wait)
	case kindStart:
		o.Start = &order.Start{}
		s := o.Start
		err = fields(rest, &s.Task, &s.Number, &s.Spec, &s.Until, &s.Fence, &s.Checkpoint, &s.Ticket)
	case kindStop:
		o.Stop = &order.Stop{}
		err = fields(rest, &o.Stop.Task, &o.Stop.Number, &o.Stop.Fence)
	case kindThrottle:
		o.Throttle = &order.Throttle{}
		t := o.Throttle
		err = fields(rest, &t.Task, &t.Number, &t.Percent, &t.Fence)
	default:
		err = fmt.Errorf("kind %q", kind)
	}
	if err != nil {
		return fmt.Errorf("order: %w", err)
	}
	return nil
}

// fields reads the first fields of a row, all of which must be there.
func fields(row []json.RawMessage, into ...any) error {
	if len(row) < len(into) {
		return fmt.Errorf("%d fields in place of %d", len(row), len(into))
	}
	for i, v := range into {
		if err := json.Unmarshal(row[i], v); err != nil {
			return fmt.Errorf("field %d: %w", i, err)
		}
	}
	return nil
}

// MarshalJSON returns the end as a row. What is as usual is left out at its end.
func (a Answered) MarshalJSON() ([]byte, error) {
	row := []any{a.ID, a.Answer.Clock, a.Answer.Fate, a.Answer.Reason, a.Answer.Problem}
	switch {
	case a.Report != nil:
		row = append(row, runningRows(a.Report.Running), endRows(a.Report.Ended))
	case a.Answer.Fate == order.Carried:
		row = row[:shortAnswer]
	}
	return json.Marshal(row)
}

// runningRows returns what runs as rows.
func runningRows(all []order.Running) [][]any {
	rows := make([][]any, len(all))
	for i, r := range all {
		rows[i] = []any{r.Task, r.Number, r.Checkpoint, r.Progress, r.Figure}
	}
	return rows
}

// endRows returns ends as rows.
func endRows(all []order.End) [][]any {
	rows := make([][]any, len(all))
	for i, e := range all {
		rows[i] = []any{e.Number, e.Task, e.Run.Number, e.How, e.Checkpoint}
	}
	return rows
}

// UnmarshalJSON reads a row. Without more than a clock the order was carried out.
func (a *Answered) UnmarshalJSON(data []byte) error {
	var row []json.RawMessage
	if err := json.Unmarshal(data, &row); err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	*a = Answered{Answer: order.Answer{Fate: order.Carried}}
	var running, ended [][]json.RawMessage
	into := []any{&a.ID, &a.Answer.Clock, &a.Answer.Fate, &a.Answer.Reason, &a.Answer.Problem, &running, &ended}
	if len(row) == shortAnswer || len(row) == plainAnswer {
		into = into[:len(row)]
	}
	if err := fields(row, into...); err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	if len(into) <= plainAnswer {
		return nil
	}
	a.Report = &order.Report{Clock: a.Answer.Clock}
	return readReport(a.Report, running, ended)
}

// The lengths of rows of ends: of one that was carried out, and of one without a report.
const (
	shortAnswer = 2
	plainAnswer = 5
)

// readReport reads what runs and what has ended.
func readReport(r *order.Report, running, ended [][]json.RawMessage) error {
	for _, row := range running {
		var v order.Running
		if err := fields(row, &v.Task, &v.Number, &v.Checkpoint, &v.Progress, &v.Figure); err != nil {
			return fmt.Errorf("running: %w", err)
		}
		r.Running = append(r.Running, v)
	}
	for _, row := range ended {
		var v order.End
		if err := fields(row, &v.Number, &v.Task, &v.Run.Number, &v.How, &v.Checkpoint); err != nil {
			return fmt.Errorf("ended: %w", err)
		}
		r.Ended = append(r.Ended, v)
	}
	return nil
}
