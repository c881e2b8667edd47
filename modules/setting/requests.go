// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import "time"

// Requests limits callers' requests.
type Requests struct {
	// MaxBody and MaxAnswer are the maximum sizes of request and response bodies, in bytes.
	MaxBody   int64 `yaml:"max_body_bytes"`
	MaxAnswer int64 `yaml:"max_answer_bytes"`
	// MaxPending is the maximum number of unanswered requests.
	MaxPending int `yaml:"max_pending"`
	// MaxKept limits the total size of the responses kept for keyed requests, in bytes.
	MaxKept int64 `yaml:"max_kept_bytes"`
	// KeyTTL is how long an idempotency key is remembered, MaxKeys the maximum number of keys.
	KeyTTL  time.Duration `yaml:"key_ttl"`
	MaxKeys int           `yaml:"max_keys"`
	// RetryRatio is the number of retries that each new request adds to the retry budget,
	// RetryBurst the maximum of the budget.
	RetryRatio float64 `yaml:"retry_ratio"`
	RetryBurst float64 `yaml:"retry_burst"`
	// EjectAfter is the number of consecutive failures that eject a target for EjectFor. The
	// time doubles with each ejection, up to MaxEjectFor.
	EjectAfter  int           `yaml:"eject_after"`
	EjectFor    time.Duration `yaml:"eject_for"`
	MaxEjectFor time.Duration `yaml:"eject_most"`
	// MinAttemptTimeout is the minimum timeout of one attempt.
	MinAttemptTimeout time.Duration `yaml:"least_attempt"`
}

func defaultRequests() Requests {
	return Requests{
		MaxBody: 1 << 20, MaxAnswer: 4 << 20, MaxPending: 4096, MaxKept: 32 << 20,
		KeyTTL: 10 * time.Minute, MaxKeys: 100_000, RetryRatio: 0.1, RetryBurst: 20,
		EjectAfter: 3, EjectFor: time.Second, MaxEjectFor: 30 * time.Second, MinAttemptTimeout: 250 * time.Millisecond,
	}
}

func (r *Requests) check(c *checker) {
	checkRange(c, "requests.max_body_bytes", r.MaxBody, 1, 64<<20)
	checkRange(c, "requests.max_answer_bytes", r.MaxAnswer, 1, 64<<20)
	checkRange(c, "requests.max_pending", r.MaxPending, 1, 1_000_000)
	checkRange(c, "requests.max_kept_bytes", r.MaxKept, 0, 1<<30)
	checkRange(c, "requests.key_ttl", r.KeyTTL, time.Second, 24*time.Hour)
	checkRange(c, "requests.max_keys", r.MaxKeys, 1, 10_000_000)
	checkRange(c, "requests.retry_ratio", r.RetryRatio, 0, 1)
	checkRange(c, "requests.retry_burst", r.RetryBurst, 0, 10_000)
	checkRange(c, "requests.eject_after", r.EjectAfter, 1, 1000)
	checkRange(c, "requests.eject_for", r.EjectFor, time.Millisecond, time.Hour)
	checkRange(c, "requests.eject_most", r.MaxEjectFor, r.EjectFor, 24*time.Hour)
	checkRange(c, "requests.least_attempt", r.MinAttemptTimeout, time.Millisecond, time.Hour)
}
