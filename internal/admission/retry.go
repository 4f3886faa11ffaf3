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
	// retryWindowSeconds is the length of the sliding window, in seconds.
	retryWindowSeconds = 10
)

// RetryBudget limits retries to a percentage of the requests of the last 10 s, or to a
// fixed number if that is higher, so that retries cannot amplify an overload. It is
// safe for concurrent use. No other lock is acquired while its mutex is held.
type RetryBudget struct {
	// percent is the number of retries allowed per 100 requests in the window, and
	// minRetries the number of retries in the window that is always allowed.
	percent, minRetries int

	mu      sync.Mutex
	buckets [retryWindowSeconds]bucket
}

// bucket counts the requests and retries of one second of the window.
type bucket struct {
	unixSeconds int64
	requests    int
	retries     int
}

// NewRetryBudget returns a budget of 10% of the requests, or 3 retries per second if
// that is more.
func NewRetryBudget() *RetryBudget {
	return NewRetryBudgetWith(retryPercent, minRetriesPerSecond*retryWindowSeconds)
}

// NewRetryBudgetWith returns a budget of percent of the requests of the last 10 s, or
// minRetries retries in that time if that is more.
func NewRetryBudgetWith(percent, minRetries int) *RetryBudget {
	return &RetryBudget{percent: percent, minRetries: minRetries}
}

// CountRequest counts a started request.
func (b *RetryBudget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current(time.Now().Unix()).requests++
}

// Allow reports whether a retry is allowed now, and counts it if so.
func (b *RetryBudget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now().Unix()
	requests, retries := 0, 0
	for _, s := range b.buckets {
		if s.unixSeconds > now-retryWindowSeconds {
			requests += s.requests
			retries += s.retries
		}
	}
	if retries >= max(requests*b.percent/100, b.minRetries) {
		return false
	}
	b.current(now).retries++
	return true
}

// current returns the bucket of the given Unix second, reset if it was of an earlier
// one. The caller holds b.mu.
func (b *RetryBudget) current(now int64) *bucket {
	s := &b.buckets[now%retryWindowSeconds]
	if s.unixSeconds != now {
		*s = bucket{unixSeconds: now}
	}
	return s
}
