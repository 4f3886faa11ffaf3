package admission

import (
	"sync"
	"time"
)

const (
	// retryPercent is the share of retries in the recent requests.
	retryPercent = 10
	// minRetriesPerSecond lets a router with little traffic retry at all.
	minRetriesPerSecond = 3
	// retryWindowSeconds is what recent means.
	retryWindowSeconds = 10
)

// RetryBudget bounds retries to a share of the requests of the last 10 s, or to a
// fixed number if that is more, so that retries cannot multiply an overload. It
// is safe for concurrent use. Its mutex is a leaf.
type RetryBudget struct {
	// percent is the share of retries in the recent requests, and floor the number
	// of retries in the window that is always allowed.
	percent, floor int

	mu      sync.Mutex
	seconds [retryWindowSeconds]second
}

// second counts one second of the window.
type second struct {
	unix     int64
	requests int
	retries  int
}

// NewRetryBudget returns a budget of 10% or 3 retries per second.
func NewRetryBudget() *RetryBudget {
	return NewRetryBudgetWith(retryPercent, minRetriesPerSecond*retryWindowSeconds)
}

// NewRetryBudgetWith returns a budget of percent of the requests of the last 10 s, or
// of floor retries in that time if that is more.
func NewRetryBudgetWith(percent, floor int) *RetryBudget {
	return &RetryBudget{percent: percent, floor: floor}
}

// CountRequest counts a request that was started.
func (b *RetryBudget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current(time.Now().Unix()).requests++
}

// Allow reports whether a retry is allowed now, and counts it if it is.
func (b *RetryBudget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now().Unix()
	requests, retries := 0, 0
	for _, s := range b.seconds {
		if s.unix > now-retryWindowSeconds {
			requests += s.requests
			retries += s.retries
		}
	}
	if retries >= max(requests*b.percent/100, b.floor) {
		return false
	}
	b.current(now).retries++
	return true
}

// current returns the counts of the present second.
func (b *RetryBudget) current(now int64) *second {
	s := &b.seconds[now%retryWindowSeconds]
	if s.unix != now {
		*s = second{unix: now}
	}
	return s
}
