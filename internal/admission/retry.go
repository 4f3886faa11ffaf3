package admission

import (
	"sync"
	"time"
)

const (
	// retryPercent is the default number of retries per 100 requests.
	retryPercent = 10
	// minRetriesPerSecond is the default number of retries per second that is always
	// allowed, so that a router with little traffic can retry.
	minRetriesPerSecond = 3
	// requestWindowSeconds is the time, in seconds, whose requests count.
	requestWindowSeconds = 10
	// retryWindowSeconds is the time whose retries count: that of the requests, a second since
	// the oldest bucket counts whole or not at all, and one for retries that wait for a
	// connection. No span of requestWindowSeconds at a server has more retries then.
	retryWindowSeconds = requestWindowSeconds + 2
)

// RetryBudget limits the retries of 10 s to a percentage of the requests of that time, or to a
// fixed number if that is higher, so that retries cannot amplify an overload. It does not depend
// on the time of day, which may jump. It is safe for concurrent use. No other lock is acquired
// while its mutex is held.
type RetryBudget struct {
	created time.Time
	// percentFrom is when the percentage begins to apply.
	percentFrom time.Time

	mu sync.Mutex
	// percent is the number of retries allowed per 100 requests in the window, and
	// minRetries the number of retries in the window that is always allowed.
	percent, minRetries int
	buckets             [retryWindowSeconds]bucket
}

// bucket counts the requests and retries of one second of the window.
type bucket struct {
	second   int64 // since the budget was created
	requests int
	retries  int
}

// NewRetryBudget returns a budget of 10% of the requests, or 3 retries per second if
// that is more.
func NewRetryBudget() *RetryBudget {
	return NewRetryBudgetWith(retryPercent, minRetriesPerSecond*requestWindowSeconds, time.Time{})
}

// NewRetryBudgetWith returns a budget of percent of the requests of the last 10 s, or
// minRetries retries in that time if that is more. In the first 10 s from processStarted on only
// minRetries apply, because the process that this one replaces may have used up its budget.
func NewRetryBudgetWith(percent, minRetries int, processStarted time.Time) *RetryBudget {
	return &RetryBudget{
		percent: percent, minRetries: minRetries, created: time.Now(),
		percentFrom: processStarted.Add(requestWindowSeconds * time.Second),
	}
}

// SetLimits replaces the limits. What was counted stays.
func (b *RetryBudget) SetLimits(percent, minRetries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.percent, b.minRetries = percent, minRetries
}

// CountRequest counts a started request.
func (b *RetryBudget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(b.second()).requests++
}

// Allow reports whether a retry is allowed now, and counts it if so.
func (b *RetryBudget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.second()
	requests, retries := 0, 0
	for _, s := range b.buckets {
		if s.second > now-requestWindowSeconds {
			requests += s.requests
		}
		if s.second > now-retryWindowSeconds {
			retries += s.retries
		}
	}
	limit := b.minRetries
	if !time.Now().Before(b.percentFrom) {
		limit = max(limit, requests*b.percent/100)
	}
	if retries >= limit {
		return false
	}
	b.bucket(now).retries++
	return true
}

// second returns the current second by the monotonic clock, from 0 on.
func (b *RetryBudget) second() int64 { return int64(time.Since(b.created) / time.Second) }

// bucket returns the bucket of a second, reset if it was of an earlier one. The caller holds b.mu.
func (b *RetryBudget) bucket(second int64) *bucket {
	s := &b.buckets[second%retryWindowSeconds]
	if s.second != second {
		*s = bucket{second: second}
	}
	return s
}
