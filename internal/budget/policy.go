package budget

import (
	"math"
	"time"
)

const (
	// IdleTimeout is the time without use after which a lot is closed and a region
	// returns its escrow of a budget.
	IdleTimeout = 30 * time.Second
	// MaxFlushInterval is the longest time between periodic flushes of an active
	// account.
	MaxFlushInterval = 60 * time.Second
	// MinFlushInterval is the shortest time between periodic flushes of an active
	// account.
	MinFlushInterval = 5 * time.Second
	// periodicFlushesPerSecond is the rate of periodic flushes of all accounts
	// together. It is a third of the 100 writes/s that the store allows for
	// budgets; the remainder is for urgent flushes.
	periodicFlushesPerSecond = 33
	// UrgentFlushInterval is the mean time between urgent flushes of an account
	// that always has a reason for one. It bounds the store calls of an account.
	UrgentFlushInterval = time.Second
	// urgentFlushGap is the shortest time between two flushes while the account
	// has flush credit, so that the first requests of several budgets need not
	// wait. An account gains a flush credit of one per UrgentFlushInterval, and
	// each flush uses one up.
	urgentFlushGap = 50 * time.Millisecond
	// urgentFlushBurst is the largest flush credit, in flushes.
	urgentFlushBurst = 4
	// conflictRetryDelay is the longest time for which a flush that failed with
	// FlushConflict is held back. With flush credit it is retried at once.
	conflictRetryDelay = 100 * time.Millisecond
	// exhaustedRetryDelay is the time until a holder reads the treasury again for
	// an exhausted budget, which would otherwise cost a store call per second. It
	// is also how long a holder relies on a draw that found nothing, on replies of
	// other regions, and on a treasury that lacks the budget.
	exhaustedRetryDelay = 5 * time.Second
	// recallDuration is how long lots are recalled after an unmet request, and how
	// long such a request counts as recent.
	recallDuration = 2 * time.Second
	// returnRequestTTL is how long another region's request for a return counts.
	returnRequestTTL = 5 * time.Second
	// demandWindow is the time constant of the demand estimate.
	demandWindow = 10 * time.Second
	// maxReservationTTL is how long the largest reservation of a budget counts,
	// and how long a wallet keeps the state of an unused budget.
	maxReservationTTL = time.Minute
	// returnKeepSeconds is what a region keeps when another one requests a return,
	// in seconds of its own demand.
	returnKeepSeconds = 10
	// minHeadroomReservations is the least headroom of a lot (see
	// Policy.HeadroomSeconds), in multiples of the largest recent reservation.
	minHeadroomReservations = 4
)

// Intervals between a wallet's exchanges.
const (
	// maxBillDelay is the longest time until a router reports a bill. If the router
	// fails before, the holder collects the agent's copy.
	maxBillDelay = 5 * time.Second
	// pendingInterval is the longest time between two exchanges that ask whether
	// bills are durable; the interval is shorter if flushes are more frequent.
	pendingInterval = 15 * time.Second
	// shortfallRetryDelay is the time until a request that was not met is retried.
	shortfallRetryDelay = 100 * time.Millisecond
	// exchangeRetryDelay is the time until a failed exchange is retried.
	exchangeRetryDelay = 200 * time.Millisecond
	// refillInterval is the shortest time between two exchanges that only enlarge
	// a lot in advance.
	refillInterval = 100 * time.Millisecond
	// scarceDuration is how long a wallet keeps no headroom after a recall or a
	// request that was not met, so that other routers can get the amount.
	scarceDuration = 2 * time.Second
)

// Policy holds the deployment's settings for budgets. The zero value has refusal
// weight 0.
type Policy struct {
	// RefusalWeight, from 0 to 100, balances two risks. With a higher weight fewer
	// requests are refused although balance is left, because callers wait longer
	// and more is granted in advance, but a failure puts larger amounts out of
	// reach. It never changes what may be spent.
	RefusalWeight int
	// Accounts is the number of accounts of the deployment, shards times regions.
	// 0 means unknown and gives the longest flush interval.
	Accounts int
}

// FlushInterval returns the time between periodic flushes of an active account.
// It grows with the number of accounts, so that the store's load does not.
func (p Policy) FlushInterval() time.Duration {
	if p.Accounts <= 0 {
		return MaxFlushInterval
	}
	interval := time.Duration(p.Accounts) * time.Second / periodicFlushesPerSecond
	return min(max(interval, MinFlushInterval), MaxFlushInterval)
}

func (p Policy) weight() float64 { return float64(min(max(p.RefusalWeight, 0), 100)) / 100 }

// HeadroomSeconds returns the headroom of a lot, the free amount that it should
// have, in seconds of demand, 3 to 10.
func (p Policy) HeadroomSeconds() float64 { return 3 + 7*p.weight() }

// GrantTimeout returns how long a caller waits for a grant, 1,200 ms to 3,000 ms.
// A shorter timeout would end before an urgent flush that is delayed by
// UrgentFlushInterval.
func (p Policy) GrantTimeout() time.Duration {
	return 1200*time.Millisecond + time.Duration(1800*p.weight())*time.Millisecond
}

// MinUnallocated returns the part of a balance that the regions' shares leave
// unallocated: 10% of it at refusal weight 0, falling to 0 at 100. A request that
// the shares do not cover can draw it.
func (p Policy) MinUnallocated(balance Tokens) Tokens {
	return scale(balance, (1-p.weight())/10)
}

// scale multiplies an amount and rounds down. The result is never negative and is
// capped at MaxInt64/4, so that the conversion to Tokens cannot overflow.
func scale(amount Tokens, factor float64) Tokens {
	v := math.Floor(float64(amount) * factor)
	if v <= 0 || math.IsNaN(v) {
		return 0
	}
	if v >= math.MaxInt64/4 {
		return math.MaxInt64 / 4
	}
	return Tokens(v)
}

// demandRate is an exponentially weighted moving average of tokens per second. A
// reservation counts at once; when it ends, the average is corrected to its bill.
type demandRate struct {
	value     float64
	updatedAt time.Time
}

// add counts an amount, which is negative for a correction.
func (r *demandRate) add(now time.Time, amount Tokens) {
	r.value = r.decayed(now) + float64(amount)/demandWindow.Seconds()
	r.updatedAt = now
}

// decayed returns the average at now, in tokens/s.
func (r *demandRate) decayed(now time.Time) float64 {
	dt := now.Sub(r.updatedAt)
	if r.value == 0 || dt <= 0 {
		return r.value
	}
	return r.value * math.Exp(-dt.Seconds()/demandWindow.Seconds())
}

// perSecond returns the average in tokens/s, 0 below one token per minute.
func (r *demandRate) perSecond(now time.Time) float64 {
	if v := r.decayed(now); v > 1.0/60 {
		return v
	}
	return 0
}
