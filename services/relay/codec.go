// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"saddlevane/models/job"
	"saddlevane/models/order"
)

// Orders and results are packed: numbers as varints, strings prefixed with their lengths.
// Encoded as JSON objects, a renewal and its answer occupied 610 bytes on a holder's link,
// half of them field names (120 idle workers, 2 s, message overhead included). Encoded as JSON
// arrays, the answer of a worker with five tasks took 48 µs to decode (BenchmarkRenewal).

// The kinds of orders.
const (
	kindRenew = iota
	kindStart
	kindStop
	kindThrottle
)

// wireBatch is the JSON form of a batch. Orders and Results are packed.
type wireBatch struct {
	From        string `json:"from"`
	Incarnation string `json:"life"`
	Orders      []byte `json:"orders,omitempty"`
	Results     []byte `json:"ended,omitempty"`
	// BirthTimes holds, for each result, when the worker incarnation that sent the report
	// started, in milliseconds since 1970, or 0. Boxes of earlier releases neither send nor
	// read it.
	BirthTimes []byte `json:"born,omitempty"`
}

// MarshalJSON encodes the batch as a wireBatch.
func (b Batch) MarshalJSON() ([]byte, error) {
	w := wireBatch{From: b.From, Incarnation: b.Incarnation}
	var orders, results, born packer
	for _, o := range b.Orders {
		orders.order(o)
	}
	for _, result := range b.Results {
		results.result(result)
	}
	w.Orders, w.Results = orders, results
	if born.birthTimes(b.Results) {
		w.BirthTimes = born
	}
	return json.Marshal(w)
}

// UnmarshalJSON decodes a wireBatch and checks the batch.
func (b *Batch) UnmarshalJSON(data []byte) error {
	var w wireBatch
	if err := json.Unmarshal(data, &w); err != nil {
		return fmt.Errorf("batch: %w", err)
	}
	*b = Batch{From: w.From, Incarnation: w.Incarnation}
	orders, results := &unpacker{rest: w.Orders}, &unpacker{rest: w.Results}
	for len(orders.rest) > 0 && orders.err == nil {
		b.Orders = append(b.Orders, orders.order())
	}
	for len(results.rest) > 0 && results.err == nil {
		b.Results = append(b.Results, results.result())
	}
	born := &unpacker{rest: w.BirthTimes}
	born.birthTimes(b.Results)
	if err := errors.Join(orders.err, results.err, born.err); err != nil {
		return fmt.Errorf("batch: %w", err)
	}
	return b.Check()
}

// packer is a buffer to which values are appended in packed form.
type packer []byte

// number appends v as a varint.
func (p *packer) number(v int64) { *p = binary.AppendVarint(*p, v) }

// text appends s, prefixed with its length in bytes.
func (p *packer) text(s string) {
	*p = binary.AppendUvarint(*p, uint64(len(s)))
	*p = append(*p, s...)
}

// run appends the identity of a run. unpacker.run reads the same fields in the same order.
func (p *packer) run(r order.Run) {
	p.text(string(r.Task.Job))
	p.number(int64(r.Task.Instance))
	p.number(int64(r.Task.Step))
	p.number(int64(r.Task.Index))
	p.number(r.Number)
}

// order appends an order: the fields of all orders, its kind, and the fields of that kind.
func (p *packer) order(o Order) {
	p.number(int64(o.ID))
	p.text(o.Worker.Name)
	p.text(o.Address)
	p.number(int64(o.AnswerTimeout))
	p.number(int64(o.OverdueAfter))
	switch {
	case o.Renew != nil:
		p.number(kindRenew)
		p.number(int64(o.Renew.LeaseEnd))
		p.number(o.Renew.Fence)
		p.number(o.Renew.Acknowledged)
		p.number(int64(o.Renew.MaxWait))
	case o.Start != nil:
		p.number(kindStart)
		p.run(o.Start.Run)
		p.text(o.Start.Spec)
		p.number(int64(o.Start.LeaseEnd))
		p.number(o.Start.Fence)
		p.text(o.Start.Checkpoint)
		p.text(o.Start.Ticket)
	case o.Stop != nil:
		p.number(kindStop)
		p.run(o.Stop.Run)
		p.number(o.Stop.Fence)
	case o.Throttle != nil:
		p.number(kindThrottle)
		p.run(o.Throttle.Run)
		p.number(int64(o.Throttle.Percent))
		p.number(o.Throttle.Fence)
	}
}

// result appends a result. A 0 or 1 after the answer's fields says whether a report follows.
func (p *packer) result(result Result) {
	p.number(int64(result.ID))
	p.number(int64(result.Answer.Clock))
	p.text(string(result.Answer.Outcome))
	p.text(string(result.Answer.Reason))
	p.text(result.Answer.Problem)
	if result.Report == nil {
		p.number(0)
		return
	}
	p.number(1)
	p.number(int64(len(result.Report.Running)))
	for _, r := range result.Report.Running {
		p.run(r.Run)
		p.text(r.Checkpoint)
		p.number(int64(r.Progress))
		p.number(r.Measurement)
	}
	p.number(int64(len(result.Report.Ended)))
	for _, e := range result.Report.Ended {
		p.number(e.Number)
		p.run(e.Run)
		p.text(string(e.Status))
		p.text(e.Checkpoint)
	}
}

// birthTimes packs the start times of the worker incarnations that sent the reports. It
// returns whether any of them is known.
func (p *packer) birthTimes(results []Result) bool {
	known := false
	for _, result := range results {
		born := int64(0)
		if result.Report != nil {
			born = result.Report.Incarnation.BornUnixMilli
		}
		known = known || born != 0
		p.number(born)
	}
	return known
}

// unpacker reads packed values. After an error it returns only zero values.
type unpacker struct {
	rest []byte
	err  error
}

// errTruncated is the error for packed data that ends early or contains an invalid number
// or length.
var errTruncated = errors.New("packed data is truncated or invalid")

// fail records the first error and drops the remaining data.
func (u *unpacker) fail(err error) {
	if u.err == nil {
		u.err = err
	}
	u.rest = nil
}

func (u *unpacker) number() int64 {
	v, n := binary.Varint(u.rest)
	if n <= 0 {
		u.fail(errTruncated)
		return 0
	}
	u.rest = u.rest[n:]
	return v
}

func (u *unpacker) text() string {
	length, n := binary.Uvarint(u.rest)
	if n <= 0 || length > uint64(len(u.rest)-n) {
		u.fail(errTruncated)
		return ""
	}
	s := string(u.rest[n : n+int(length)])
	u.rest = u.rest[n+int(length):]
	return s
}

// count reads the number of values that follow. Each takes at least one byte, so a larger
// number than the remaining bytes is an error.
func (u *unpacker) count() int {
	n := u.number()
	if n < 0 || n > int64(len(u.rest)) {
		u.fail(errTruncated)
		return 0
	}
	return int(n)
}

func (u *unpacker) run() order.Run {
	r := order.Run{Task: job.TaskID{
		StepID: job.StepID{Job: job.ID(u.text()), Instance: int(u.number()), Step: int(u.number())}, Index: int(u.number()),
	}, Number: u.number()}
	if u.err != nil {
		return order.Run{}
	}
	if err := r.Task.Job.Check(); err != nil {
		u.fail(err)
	}
	if r.Task.Instance < 0 || r.Task.Step < 0 || r.Task.Index < 0 {
		u.fail(fmt.Errorf("task %s contains a negative number", r.Task))
	}
	return r
}

func (u *unpacker) order() Order {
	o := Order{
		ID: uint64(u.number()), Worker: order.Incarnation{Name: u.text()}, Address: u.text(),
		AnswerTimeout: job.Milliseconds(u.number()), OverdueAfter: job.Milliseconds(u.number()),
	}
	switch kind := u.number(); {
	case u.err != nil:
	case kind == kindRenew:
		o.Renew = &order.Renew{LeaseEnd: order.WorkerClock(u.number()), Fence: u.number(), Acknowledged: u.number(), MaxWait: job.Milliseconds(u.number())}
	case kind == kindStart:
		o.Start = &order.Start{
			Run: u.run(), Spec: u.text(), LeaseEnd: order.WorkerClock(u.number()), Fence: u.number(), Checkpoint: u.text(), Ticket: u.text(),
		}
	case kind == kindStop:
		o.Stop = &order.Stop{Run: u.run(), Fence: u.number()}
	case kind == kindThrottle:
		o.Throttle = &order.Throttle{Run: u.run(), Percent: int(u.number()), Fence: u.number()}
	default:
		u.fail(fmt.Errorf("unknown order kind %d", kind))
	}
	return o
}

func (u *unpacker) result() Result {
	result := Result{ID: uint64(u.number()), Answer: order.Answer{
		Clock: order.WorkerClock(u.number()), Outcome: order.Outcome(u.text()), Reason: order.Reason(u.text()), Problem: u.text(),
	}}
	if u.number() == 0 {
		return result
	}
	result.Report = &order.Report{Clock: result.Answer.Clock}
	for range u.count() {
		result.Report.Running = append(result.Report.Running, order.Running{
			Run: u.run(), Checkpoint: u.text(), Progress: int(u.number()), Measurement: u.number(),
		})
	}
	for range u.count() {
		result.Report.Ended = append(result.Report.Ended, order.End{Number: u.number(), Run: u.run(), Status: order.EndStatus(u.text()), Checkpoint: u.text()})
	}
	return result
}

// birthTimes reads the start times of the worker incarnations that sent the reports. The
// data may be empty.
func (u *unpacker) birthTimes(results []Result) {
	for i := range results {
		if len(u.rest) == 0 {
			return
		}
		born := u.number()
		if born < 0 {
			u.fail(fmt.Errorf("the start time %d of a worker is negative", born))
		}
		if r := results[i].Report; r != nil && u.err == nil {
			r.Incarnation.BornUnixMilli = born
		}
	}
}
