// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

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

// AppendJSON appends the batch as a wireBatch. The packed fields are encoded only once, in place.
func (b Batch) AppendJSON(out []byte) ([]byte, error) {
	head, err := json.Marshal(wireBatch{From: b.From, Incarnation: b.Incarnation})
	if err != nil {
		return out, err
	}
	out = append(out, head[:len(head)-1]...)
	buffer := packers.Get().(*packer)
	defer packers.Put(buffer)
	orders := (*buffer)[:0]
	for _, o := range b.Orders {
		orders.order(o)
	}
	out = appendPacked(out, "orders", orders)
	results := orders[:0]
	for _, result := range b.Results {
		results.result(result)
	}
	out = appendPacked(out, "ended", results)
	born := results[:0]
	if born.birthTimes(b.Results) {
		out = appendPacked(out, "born", born)
	}
	*buffer = born[:0]
	return append(out, '}'), nil
}

// packers holds packers that are reused.
var packers = sync.Pool{New: func() any { return new(packer) }}

// appendPacked appends a packed field to an object, unless it is empty.
func appendPacked(out []byte, name string, p packer) []byte {
	if len(p) == 0 {
		return out
	}
	out = append(append(append(out, `,"`...), name...), `":"`...)
	return append(base64.StdEncoding.AppendEncode(out, p), '"')
}

// MarshalJSON encodes the batch as a wireBatch.
func (b Batch) MarshalJSON() ([]byte, error) { return b.AppendJSON(nil) }

// UnmarshalJSON decodes a wireBatch and checks the batch.
func (b *Batch) UnmarshalJSON(data []byte) error {
	w, err := decodeWireBatch(data)
	if err != nil {
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

// decodeWireBatch decodes a wireBatch. One that AppendJSON has written is decoded without encoding/json,
// which would read it three times.
func decodeWireBatch(data []byte) (wireBatch, error) {
	var w wireBatch
	if w.decodeOwn(data) {
		return w, nil
	}
	w = wireBatch{}
	err := json.Unmarshal(data, &w)
	return w, err
}

// decodeOwn decodes an object whose values are strings without escape sequences. It returns false for
// others.
func (w *wireBatch) decodeOwn(data []byte) bool {
	rest, ok := bytes.CutPrefix(data, []byte("{"))
	for ok {
		var name, value []byte
		if name, rest, ok = cutString(rest, ':'); !ok {
			return false
		}
		if value, rest, ok = cutString(rest, 0); !ok || !w.set(string(name), value) || len(rest) == 0 {
			return false
		}
		if rest[0] == '}' {
			return len(rest) == 1
		}
		rest, ok = bytes.CutPrefix(rest, []byte(","))
	}
	return false
}

// cutString returns the string at the start of data, and what follows it and the separator, if that is
// not 0. It returns false for a string with escape sequences or other than printable ASCII characters.
func cutString(data []byte, separator byte) (value, rest []byte, ok bool) {
	if len(data) < 2 || data[0] != '"' {
		return nil, data, false
	}
	end := 1
	for end < len(data) && data[end] != '"' {
		if data[end] < ' ' || data[end] > '~' || data[end] == '\\' {
			return nil, data, false
		}
		end++
	}
	if end == len(data) {
		return nil, data, false
	}
	value, rest = data[1:end], data[end+1:]
	if separator == 0 {
		return value, rest, true
	}
	rest, ok = bytes.CutPrefix(rest, []byte{separator})
	return value, rest, ok
}

// set sets a field. It returns false if the field is unknown or its value cannot be decoded.
func (w *wireBatch) set(name string, value []byte) bool {
	var err error
	switch name {
	case "from":
		w.From = string(value)
	case "life":
		w.Incarnation = string(value)
	case "orders":
		w.Orders, err = base64.StdEncoding.AppendDecode(nil, value)
	case "ended":
		w.Results, err = base64.StdEncoding.AppendDecode(nil, value)
	case "born":
		w.BirthTimes, err = base64.StdEncoding.AppendDecode(nil, value)
	default:
		return false
	}
	return err == nil
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

func (u *unpacker) text() string { return string(u.textBytes()) }

// textBytes reads a string. The result refers to the packed data.
func (u *unpacker) textBytes() []byte {
	length, n := binary.Uvarint(u.rest)
	if n <= 0 || length > uint64(len(u.rest)-n) {
		u.fail(errTruncated)
		return nil
	}
	s := u.rest[n : n+int(length)]
	u.rest = u.rest[n+int(length):]
	return s
}

// outcome reads an outcome. The usual one takes no memory.
func (u *unpacker) outcome() order.Outcome {
	if b := u.textBytes(); string(b) != string(order.CarriedOut) {
		return order.Outcome(b)
	}
	return order.CarriedOut
}

// endStatus reads the status of an end. The usual one takes no memory.
func (u *unpacker) endStatus() order.EndStatus {
	if b := u.textBytes(); string(b) != string(order.Done) {
		return order.EndStatus(b)
	}
	return order.Done
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
		Clock: order.WorkerClock(u.number()), Outcome: u.outcome(), Reason: order.Reason(u.text()), Problem: u.text(),
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
		result.Report.Ended = append(result.Report.Ended, order.End{Number: u.number(), Run: u.run(), Status: u.endStatus(), Checkpoint: u.text()})
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
