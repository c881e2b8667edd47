// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"context"
	"errors"

	"saddlevane/models/exchange"
	"saddlevane/models/stream"
	"saddlevane/modules/httpclient"
)

// SetEvacuation appends a request to evacuate a failure domain, or its withdrawal, to the log. Any box
// can do that; each box reads the record like one that was written by another program.
func (l *Loop) SetEvacuation(ctx context.Context, domain string, requested bool) exchange.Answer {
	ctx, cancel := context.WithTimeout(ctx, l.settings.CallTimeout)
	defer cancel()
	ctx = httpclient.WithRetry(ctx, httpclient.Retry{})
	record := l.platform.EvacuationRecord(domain, requested)
	_, err := l.platform.Log.Append(ctx, stream.Append{Stream: stream.Config, Records: []stream.Record{record}})
	switch {
	case err == nil:
		return exchange.Answer{Outcome: exchange.OK}
	case errors.Is(err, stream.ErrNotDone):
		return exchange.Answer{Outcome: exchange.Unavailable, Reason: err.Error()}
	default:
		return exchange.Answer{Outcome: exchange.MaybeDone, Reason: err.Error()}
	}
}
