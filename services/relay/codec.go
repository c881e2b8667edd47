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

// Orders and their ends are packed: numbers as varints, texts with their lengths. As JSON
// objects a look and its answer took 610 bytes of a holder's link, of which half were
// names (120 idle workers, 2 s, messages included); as JSON rows the answer of a worker
// with five tasks took 48 µs to decode (BenchmarkLook).

// The kinds of orders.
const (
	kindRenew = iota
	kindStart
	kindStop
	kindThrottle
)

// wireBatch is a batch on the wire.
type wireBatch struct {
	From        string `json:"from"`
	Incarnation string `json:"life"`
	Orders      []byte `json:"orders,omitempty"`
	Results     []byte `json:"ended,omitempty"`
	// Born has, for each that ended, when the life began that told a report, or 0. Boxes of
	// an earlier release leave it out, and pass over it.
	BirthTimes []byte `json:"born,omitempty"`
}

// MarshalJSON packs the batch.
func (b Batch) MarshalJSON() ([]byte, error) {
	w := wireBatch{From: b.From, Incarnation: b.Incarnation}
	var orders, ended, born packer
	for _, o := range b.Orders {
		orders.order(o)
	}
	for _, a := range b.Results {
		ended.result(a)
	}
	w.Orders, w.Results = orders, ended
	if born.birthTimes(b.Results) {
		w.BirthTimes = born
	}
	return json.Marshal(w)
}

// UnmarshalJSON unpacks a batch and checks it.
func (b *Batch) UnmarshalJSON(data []byte) error {
	var w wireBatch
	if err := json.Unmarshal(data, &w); err != nil {
		return fmt.Errorf("batch: %w", err)
	}
	*b = Batch{From: w.From, Incarnation: w.Incarnation}
	orders, ended := &unpacker{rest: w.Orders}, &unpacker{rest: w.Results}
	for len(orders.rest) > 0 && orders.err == nil {
		b.Orders = append(b.Orders, orders.order())
	}
	for len(ended.rest) > 0 && ended.err == nil {
		b.Results = append(b.Results, ended.result())
	}
	born := &unpacker{rest: w.BirthTimes}
	born.birthTimes(b.Results)
	if err := errors.Join(orders.err, ended.err, born.err); err != nil {
		return fmt.Errorf("batch: %w", err)
	}
	return b.Check()
}

// packer appends packed values.
type packer []byte

func (p *packer) number(v int64) { *p = binary.AppendVarint(*p, v) }

func (p *packer) text(s string) {
	*p = binary.AppendUvarint(*p, uint64(len(s)))
	*p = append(*p, s...)
}

func (p *packer) run(r order.Run) {
	p.text(string(r.Task.Job))
	p.number(int64(r.Task.Instance))
	p.number(int64(r.Task.Step))
	p.number(int64(r.Task.Index))
	p.number(r.Number)
}

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

func (p *packer) result(a Result) {
	p.number(int64(a.ID))
	p.number(int64(a.Answer.Clock))
	p.text(string(a.Answer.Outcome))
	p.text(string(a.Answer.Reason))
	p.text(a.Answer.Problem)
	if a.Report == nil {
		p.number(0)
		return
	}
	p.number(1)
	p.number(int64(len(a.Report.Running)))
	for _, r := range a.Report.Running {
		p.run(r.Run)
		p.text(r.Checkpoint)
		p.number(int64(r.Progress))
		p.number(r.Measurement)
	}
	p.number(int64(len(a.Report.Ended)))
	for _, e := range a.Report.Ended {
		p.number(e.Number)
		p.run(e.Run)
		p.text(string(e.Status))
		p.text(e.Checkpoint)
	}
}

// birthTimes packs when the lives began that told reports, and says whether any did tell it.
func (p *packer) birthTimes(all []Result) bool {
	told := false
	for _, a := range all {
		born := int64(0)
		if a.Report != nil {
			born = a.Report.Incarnation.BornUnixMilli
		}
		told = told || born != 0
		p.number(born)
	}
	return told
}

// unpacker reads packed values. After an error all that it reads is empty.
type unpacker struct {
	rest []byte
	err  error
}

// errTruncated means that packed values end too early or make no sense.
var errTruncated = errors.New("packed values are cut short")

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

// count reads how many values follow, each of which takes a byte at least.
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
		u.fail(fmt.Errorf("task %s: want whole numbers", r.Task))
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
		u.fail(fmt.Errorf("there is no order of kind %d", kind))
	}
	return o
}

func (u *unpacker) result() Result {
	a := Result{ID: uint64(u.number()), Answer: order.Answer{
		Clock: order.WorkerClock(u.number()), Outcome: order.Outcome(u.text()), Reason: order.Reason(u.text()), Problem: u.text(),
	}}
	if u.number() == 0 {
		return a
	}
	a.Report = &order.Report{Clock: a.Answer.Clock}
	for range u.count() {
		a.Report.Running = append(a.Report.Running, order.Running{
			Run: u.run(), Checkpoint: u.text(), Progress: int(u.number()), Measurement: u.number(),
		})
	}
	for range u.count() {
		a.Report.Ended = append(a.Report.Ended, order.End{Number: u.number(), Run: u.run(), Status: order.EndStatus(u.text()), Checkpoint: u.text()})
	}
	return a
}

// birthTimes reads when the lives began that told reports, where the sender says it.
func (u *unpacker) birthTimes(all []Result) {
	for i := range all {
		if len(u.rest) == 0 {
			return
		}
		born := u.number()
		if born < 0 {
			u.fail(fmt.Errorf("a worker that started at %d", born))
		}
		if r := all[i].Report; r != nil && u.err == nil {
			r.Incarnation.BornUnixMilli = born
		}
	}
}
