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
	// percent is the number of retries allowed per 100 requests in the window, and
	// minRetries the number of retries in the window that is always allowed.
	percent, minRetries int
	started             time.Time

	mu      sync.Mutex
	buckets [retryWindowSeconds]bucket
}

// bucket counts the requests and retries of one second of the window.
type bucket struct {
	second   int64 // since the budget was started
	requests int
	retries  int
}

// NewRetryBudget returns a budget of 10% of the requests, or 3 retries per second if
// that is more.
func NewRetryBudget() *RetryBudget {
	return NewRetryBudgetWith(retryPercent, minRetriesPerSecond*requestWindowSeconds)
}

// NewRetryBudgetWith returns a budget of percent of the requests of the last 10 s, or
// minRetries retries in that time if that is more.
func NewRetryBudgetWith(percent, minRetries int) *RetryBudget {
	return &RetryBudget{percent: percent, minRetries: minRetries, started: time.Now()}
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
	if retries >= max(requests*b.percent/100, b.minRetries) {
		return false
	}
	b.bucket(now).retries++
	return true
}

// second returns the current second by the monotonic clock, from 0 on.
func (b *RetryBudget) second() int64 { return int64(time.Since(b.started) / time.Second) }

// bucket returns the bucket of a second, reset if it was of an earlier one. The caller holds b.mu.
func (b *RetryBudget) bucket(second int64) *bucket {
	s := &b.buckets[second%retryWindowSeconds]
	if s.second != second {
		*s = bucket{second: second}
	}
	return s
}
