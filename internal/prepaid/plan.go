package prepaid

import "time"

// Policy holds the figures by which a holder sizes its share.
type Policy struct {
	// Horizon is the demand that a share covers, so that a holder goes on without the
	// store for that long.
	Horizon time.Duration
	// InitialShareDivisor is the part of what was paid that a holder takes before it knows its
	// demand, as one in InitialShareDivisor.
	InitialShareDivisor Tokens
	// MinHeadroom is what a holder with any demand should be able to spend, a few
	// requests.
	MinHeadroom Tokens
	// FairShareDivisor bounds a share's window to one in FairShareDivisor of its holder's part of
	// what is left.
	FairShareDivisor Tokens
	// BurstDuration is the demand that a holder may spend at once after it wrote its
	// statement, and RatePercent what it may spend over time, in percent of its demand.
	BurstDuration time.Duration
	RatePercent   Tokens
	// MinBurst and MinRate let a holder with little demand serve a large request.
	MinBurst Tokens
	MinRate  Tokens
}

// DefaultPolicy returns the figures for holders that must bear an outage of the store
// of some seconds, and requests of up to some ten thousand tokens.
func DefaultPolicy() Policy {
	return Policy{
		Horizon: 12 * time.Second, InitialShareDivisor: 32, MinHeadroom: 30000, FairShareDivisor: 10,
		BurstDuration: 800 * time.Millisecond, RatePercent: 150, MinBurst: 24000, MinRate: 4000,
	}
}

// position is a holder's own view of its share.
type position struct {
	holder, workspace string
	// start is when the holder's process started, and last the statement of the
	// process before it on the same host.
	start Instant
	last  *Checkpoint
	// spent is settled, reserved is held by requests in progress.
	spent, reserved Tokens
	demand          Tokens
	// idle is set if no request has asked for a while.
	idle bool
	// wanted is the sum of the bounds that wait for the share to grow.
	wanted Tokens
}

// plan returns the account with the share that the holder should have, given what
// the workspace paid.
func (p Policy) plan(a QuotaRecord, self position, paid Tokens) QuotaRecord {
	next := a
	next.Shares = append([]Share(nil), a.Shares...)
	next.closeBefore(self.holder, self.start, self.workspace, self.last)
	next.put(Share{
		QuotaServer: self.holder, Spent: self.spent, Reserved: self.reserved, Demand: self.demand,
		Limit: self.spent + self.reserved,
	})
	free := max(paid-next.limits(), 0)
	window := p.window(&next, self, paid)
	had := max(a.share(self.holder).Limit-self.spent-self.reserved, 0)
	if !self.idle && free-had > paid/plentyParts {
		window = max(window, had) // nobody is short of it
	}
	most := max(free/freeParts, min(max(self.wanted, had), free))
	share := next.share(self.holder)
	share.Limit += min(window, most)
	next.put(share)
	return next
}

// plentyParts is the part of what was paid, as one in plentyParts, above which what
// nobody has is plenty, and no holder that is asked gives any back.
const plentyParts = 8

// freeParts bounds what a holder takes at once to one in freeParts of what nobody has,
// so that after many holders took some there is some left for others.
const freeParts = 6

// window returns how much more than it has spent and reserved a holder should be able
// to spend: its demand over the horizon, but only a part of what would be its own if what is
// left were divided by demand. So shares are large while there is plenty, and little
// is out of reach when it runs out.
func (p Policy) window(a *QuotaRecord, self position, paid Tokens) Tokens {
	if self.idle {
		return self.wanted
	}
	left := max(paid-a.spent()-(a.Closed-a.ClosedSpent)-a.reservedByOthers(self.holder)-self.reserved, 0)
	total := a.demand()
	if total == 0 {
		return max(min(paid/p.InitialShareDivisor, left/p.FairShareDivisor), self.wanted)
	}
	fair := Tokens(float64(left) * float64(self.demand) / float64(total))
	window := min(self.demand*p.Horizon.Milliseconds()/1000, fair/p.FairShareDivisor)
	return max(window, p.least(self, left), self.wanted)
}

// least returns the window of a holder whose part of the demand is small.
func (p Policy) least(self position, left Tokens) Tokens {
	if self.demand == 0 {
		return 0
	}
	return min(p.MinHeadroom, left/leastParts)
}

// leastParts bounds the windows of holders with little demand to one in leastParts of
// what is left each.
const leastParts = 48

// row returns what the holder states: what it may spend over time until it writes
// again.
func (p Policy) row(self position) UsageBound {
	burst := max(self.demand*p.BurstDuration.Milliseconds()/1000, p.MinBurst)
	return UsageBound{
		Spent: self.spent, Burst: self.reserved + self.wanted + burst,
		Rate: max(self.demand*p.RatePercent/100, p.MinRate),
	}
}

// restParts is the part of what was paid, as one in restParts, below which a rest
// that nobody has free counts as used up: it lies in small pieces at several holders,
// or with holders that ended. Callers are owed 97 in 100.
const restParts = 33

// mayCover reports whether what is left of paid may cover an amount. What other
// holders have spent since they wrote the record is not known, so true is no proof.
func (a *QuotaRecord) mayCover(self position, paid, amount Tokens) bool {
	known := a.spent() - a.share(self.holder).Spent + self.spent
	held := known + a.reservedByOthers(self.holder) + self.reserved
	left := paid - held
	return left >= amount && (left > paid/restParts || a.limits() < paid)
}
