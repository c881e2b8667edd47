// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package memory

import (
	"context"
	"time"

	"saddlevane/models/stream"
)

// append appends records to a stream and returns the offset of the last one. It checks
// the expected end of the stream and the writer's epoch and sequence number.
func (p *Platform) append(_ context.Context, a stream.Append) (int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return 0, stream.ErrNotDone
	}
	end := int64(len(p.streams[a.Stream]))
	if a.ExpectedEnd != nil && *a.ExpectedEnd != end {
		return 0, &stream.EndMismatchError{End: end}
	}
	if w := a.Writer; w != nil {
		if w.Epoch < p.writerEpoch {
			return 0, stream.ErrFenced
		}
		if w.Epoch == p.writerEpoch && w.Sequence < p.nextSequence {
			return 0, stream.ErrDuplicateSequence
		}
		if w.Epoch == p.writerEpoch && w.Sequence > p.nextSequence {
			return 0, stream.ErrOutOfSequence
		}
		p.writerEpoch, p.nextSequence = w.Epoch, w.Sequence+1
	}
	for _, r := range a.Records {
		r.Offset = int64(len(p.streams[a.Stream]))
		p.streams[a.Stream] = append(p.streams[a.Stream], r)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return end + int64(len(a.Records)) - 1, nil
}

// read returns the records of a stream from an offset on, and waits up to wait until
// there is one.
func (p *Platform) read(ctx context.Context, name stream.Name, from int64, wait time.Duration) (stream.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		all, changed, down := p.streams[name], p.changed, p.down
		p.mu.Unlock()
		if down {
			return stream.Page{}, stream.ErrNotDone
		}
		if int64(len(all)) > from {
			return stream.Page{Records: all[from:], Next: int64(len(all))}, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return stream.Page{Next: from}, nil
		case <-ctx.Done():
			return stream.Page{}, ctx.Err()
		}
	}
}

// newest returns the newest record of each key of a stream, without tombstones.
func (p *Platform) newest(_ context.Context, name stream.Name) (stream.Page, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return stream.Page{}, stream.ErrNotDone
	}
	last := map[string]int64{}
	for _, r := range p.streams[name] {
		last[r.Key] = r.Offset
	}
	page := stream.Page{Next: int64(len(p.streams[name]))}
	for _, r := range p.streams[name] {
		if last[r.Key] == r.Offset && !r.IsTombstone() {
			page.Records = append(page.Records, r)
		}
	}
	return page, nil
}

// SetDown makes all calls to the log fail, or lets them succeed again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}
