package budget

import (
	"math"
	"time"
)

// Times of the design page.
const (
	// IdleTimeout is when an unused lot is closed and an idle region returns its
	// share.
	IdleTimeout = 30 * time.Second
	// MaxFlushInterval and MinFlushInterval bound the time between periodic
	// flushes of an active account.
	MaxFlushInterval = 60 * time.Second
	MinFlushInterval = 5 * time.Second
	// periodicFlushesPerSecond is the store's share for periodic flushes of all
	// accounts. It is a third of the budgets' 100 writes/s; the rest is for
	// urgent ones.
	periodicFlushesPerSecond = 33
	// UrgentFlushInterval is the mean time between urgent flushes of an account
	// that always has a reason for one. It bounds the store calls of an account.
	UrgentFlushInterval = time.Second
	// urgentFlushGap is the least time between two flushes while the account has
	// credit, so that the first requests of several budgets need not wait.
	urgentFlushGap = 50 * time.Millisecond
	// urgentFlushBurst is the largest credit, in flushes.
	urgentFlushBurst = 4
	// conflictRetry is the time until a flush that lost a race is repeated.
	conflictRetry = 100 * time.Millisecond
	// exhaustedRetry is how long a holder waits before it reads the treasury
	// again for a budget that had nothing left. It keeps a budget that is spent
	// from costing a store call per second.
	exhaustedRetry = 5 * time.Second
	// recallDuration is how long a recall stays in force after an unmet request.
	recallDuration = 2 * time.Second
	// returnRequestTTL is how long another region's request for a return counts.
	returnRequestTTL = 5 * time.Second
	// demandWindow is the time constant of the demand estimate.
	demandWindow = 10 * time.Second
	// maxReservationTTL is how long the largest bound of a budget is remembered.
	maxReservationTTL = time.Minute
	// returnKeepSeconds of its own demand stay in a region that another one asks to
	// return balance.
	returnKeepSeconds = 10
	// minLotReservations is the least lot size, in recent largest bounds.
	minLotReservations = 4
)

// Intervals of the wallet's exchanges.
const (
	// maxBillDelay bounds how long a bill waits at a router before it is
	// reported. The agent keeps it meanwhile.
	maxBillDelay = 5 * time.Second
	// pendingInterval is the most time between questions whether bills are
	// durable; it is shorter if flushes are more frequent.
	pendingInterval = 15 * time.Second
	// shortfallRetry is the time until an unmet wish is repeated.
	shortfallRetry = 100 * time.Millisecond
	// exchangeRetry is the time until an exchange that failed is repeated.
	exchangeRetry = 200 * time.Millisecond
	// refillInterval is the least time between two exchanges that only enlarge
	// a lot in advance.
	refillInterval = 100 * time.Millisecond
	// scarceDuration is how long a wallet keeps no more than it needs after a recall
	// or an unmet wish.
	scarceDuration = 2 * time.Second
)

// Policy holds the deployment's choices. The zero value is weight 0.
type Policy struct {
	// RefusalWeight, from 0 to 100, is the weight of false refusals against
	// amounts out of reach. It never changes what may be spent.
	RefusalWeight int
	// Accounts is the number of accounts of the deployment, shards times
	// regions; 0 counts as many.
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

// LotSeconds returns the lot size in seconds of demand: 3 s to 10 s.
func (p Policy) LotSeconds() float64 { return 3 + 7*p.weight() }

// GrantTimeout returns how long a caller waits for a grant: 1,200 ms to 3,000 ms. A
// shorter wait would end before an urgent flush that has to wait for its turn.
func (p Policy) GrantTimeout() time.Duration {
	return 1200*time.Millisecond + time.Duration(1800*p.weight())*time.Millisecond
}

// Reserve returns the part of a balance that stays unallocated: 10% to 0%.
func (p Policy) Reserve(balance Tokens) Tokens {
	return scale(balance, (1-p.weight())/10)
}

// scale multiplies an amount, rounding down and never leaving the range of an
// amount.
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

// demandRate is an exponentially weighted estimate of tokens per second. A
// reservation counts at once and its settlement corrects it to the bill.
type demandRate struct {
	value     float64
	updatedAt time.Time
}

func (r *demandRate) add(now time.Time, amount Tokens) {
	r.value = r.decayed(now) + float64(amount)/demandWindow.Seconds()
	r.updatedAt = now
}

func (r *demandRate) decayed(now time.Time) float64 {
	dt := now.Sub(r.updatedAt)
	if r.value == 0 || dt <= 0 {
		return r.value
	}
	return r.value * math.Exp(-dt.Seconds()/demandWindow.Seconds())
}

// perSecond returns the estimate, 0 once it is below a token per minute.
func (r *demandRate) perSecond(now time.Time) float64 {
	if v := r.decayed(now); v > 1.0/60 {
		return v
	}
	return 0
}
