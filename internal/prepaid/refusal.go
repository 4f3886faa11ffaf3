package prepaid

import (
	"fmt"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/bootclock"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// The decisions in this file answer the load that a share does not cover: when to refuse a request
// that waits for the share to grow, and when its caller may come back.

const (
	// After a sync that leaves too few unallocated tokens for a request, requests that the
	// share does not cover are refused without another sync for minInsufficientPeriod. The next
	// such period is twice as long, up to maxInsufficientPeriod, unless a reservation was
	// granted or the paid amount increased meanwhile.
	minInsufficientPeriod = 500 * time.Millisecond
	maxInsufficientPeriod = 6 * time.Second
	// unreachableRetryAfter is the Retry-After of a request that this process's share does
	// not cover although the workspace's balance may. While syncs fail it is longer; see
	// outageRetryAfter.
	unreachableRetryAfter = 500 * time.Millisecond
	minOutageRetryAfter   = 2 * maxBackoff
	maxOutageRetryAfter   = 4 * time.Second
)

// refusal returns an error if a request that has waited since waitStart cannot be served by waiting
// longer, nil otherwise. The caller holds mu.
func (m *Manager) refusal(q *quota, amount Tokens, waitStart time.Time) *verdict.Error {
	now := m.opts.Clock.Now()
	if err := q.refusal(m.self, now, amount, waitStart); err != nil {
		return err
	}
	if m.SyncFailing() && !q.mayRelease(amount) {
		err := unreachableError("the store does not reply, and the requests in progress cannot release enough: " + q.describe(now))
		err.RetryAfter = m.retryAfter()
		return err
	}
	return nil
}

// retryAfter returns when a request may come back that the share does not cover now.
func (m *Manager) retryAfter() time.Duration {
	if since := m.failingSince.Load(); since != nil {
		return outageRetryAfter(time.Since(*since))
	}
	return unreachableRetryAfter
}

// outageRetryAfter returns when a request may come back that waits for a store which has not
// replied for a time. An outage whose length is not known is expected to last as long again, so
// that a caller with one retry does not spend it during the outage, nor before the first sync after
// it.
func outageRetryAfter(elapsed time.Duration) time.Duration {
	return min(elapsed+minOutageRetryAfter, maxOutageRetryAfter)
}

// refusal returns an error if waiting longer cannot help, nil otherwise. Too few unallocated
// tokens are a reason only if there was a sync after waitStart, or if waitStart is before
// insufficientUntil. Otherwise other owners may have released tokens meanwhile.
func (q *quota) refusal(self identity, now bootclock.Instant, amount Tokens, waitStart time.Time) *verdict.Error {
	if q.corrupt != nil {
		return unreachableError("the workspace's account cannot be read")
	}
	if !q.loaded {
		return nil
	}
	if !q.record.mayCover(q.localState(self), q.paid, amount) {
		return verdict.New(verdict.NotRun, verdict.CodeBudgetExhausted, "the balance does not cover the request: %s", q.describe(now))
	}
	if q.syncedAt.After(waitStart) && q.paid-q.record.totalAllocated() < amount {
		q.noteInsufficient(amount)
		return unreachableError("other holders hold what is left of the balance: " + q.describe(now))
	}
	if waitStart.Before(q.insufficientUntil) {
		err := unreachableError("other holders held what is left of the balance a moment ago: " + q.describe(now))
		err.RetryAfter = max(err.RetryAfter, q.insufficientUntil.Sub(waitStart))
		return err
	}
	return nil
}

// mayRelease reports whether the share covers an amount if requests in progress consume less than
// they have reserved.
func (q *quota) mayRelease(amount Tokens) bool { return q.loaded && q.limit()-q.spent >= amount }

// recordAge returns the time since this process last wrote the record, for the refusal detail.
func (q *quota) recordAge() string {
	if q.syncedAt.IsZero() {
		return "never"
	}
	return time.Since(q.syncedAt).Round(time.Millisecond).String() + " ago"
}

// noteInsufficient starts a period, from the last sync on, in which requests that the share does
// not cover are refused without a sync. It does nothing if the share covers the amount or if
// the last sync fell into an earlier period.
func (q *quota) noteInsufficient(amount Tokens) {
	if q.limit()-q.spent-q.reserved >= amount || q.syncedAt.Before(q.insufficientUntil) {
		return
	}
	q.insufficientPeriod = min(max(q.insufficientPeriod*2, minInsufficientPeriod), maxInsufficientPeriod)
	q.insufficientUntil = q.syncedAt.Add(q.insufficientPeriod)
}

// describe returns the amounts that decide about a request, for the refusal detail.
func (q *quota) describe(now bootclock.Instant) string {
	others := q.record.totalAllocated() - q.record.Closed - q.record.shareOf(q.share.Owner).Limit
	return fmt.Sprintf("paid %d, spent here %d, reserved here %d, limit here %d, usable here now %d, held by others %d, ended holders %d of which spent %d, account read %s",
		q.paid, q.spent, q.reserved, q.limit(), q.limitAt(now), others, q.record.Closed, q.record.ClosedSpent, q.recordAge())
}

func unreachableError(detail string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeBudgetUnreachable, "%s", detail).WithRetryAfter(unreachableRetryAfter)
}
