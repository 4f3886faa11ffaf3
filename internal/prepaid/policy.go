package prepaid

import (
	"time"

	"github.com/monsoonworks/monsoonworks/internal/bootclock"
)

// Policy determines the size of shares and the bounds in checkpoints. The headroom of a share
// is the part of its limit that is neither spent nor reserved.
type Policy struct {
	// Horizon is the time for which a share covers the demand, so that its owner can go on
	// without the store for that long.
	Horizon time.Duration
	// InitialShareDivisor limits the headroom of the first share, before there is any demand,
	// to the paid amount divided by it.
	InitialShareDivisor Tokens
	// MinHeadroom is the headroom of an owner with little demand, in tokens, enough for a few
	// requests.
	MinHeadroom Tokens
	// FairShareDivisor limits the headroom to the owner's fair share of the balance
	// divided by it. The fair share is in proportion to the demand.
	FairShareDivisor Tokens
	// After a checkpoint, the demand over BurstDuration may be spent at once. RatePercent is
	// the rate at which more may be spent, as a percentage of the demand.
	BurstDuration time.Duration
	RatePercent   Tokens
	// MinBurst, in tokens, and MinRate, in tokens per second, let an owner with little
	// demand serve a large request.
	MinBurst Tokens
	MinRate  Tokens
}

// DefaultPolicy returns a policy for store outages of several seconds and requests of up to
// tens of thousands of tokens.
func DefaultPolicy() Policy {
	return Policy{
		Horizon: 12 * time.Second, InitialShareDivisor: 32, MinHeadroom: 30000, FairShareDivisor: 10,
		BurstDuration: 800 * time.Millisecond, RatePercent: 150, MinBurst: 24000, MinRate: 4000,
	}
}

// localState is what an owner knows about its own share. Amounts are in tokens.
type localState struct {
	owner, workspace string
	// start is when the process started. prev is the checkpoint of the host's previous
	// process, nil if there is none.
	start bootclock.Instant
	prev  *Checkpoint
	// spent is the settled amount, reserved the amount of requests in progress.
	spent, reserved Tokens
	demand          Tokens // tokens per second
	// idle is set if there was no request for idleTimeout.
	idle bool
	// waiting is the sum of the amounts of requests that wait for the share to grow.
	waiting Tokens
}

// plan returns the record with the share that the owner should have, given what the
// workspace has paid.
func (p Policy) plan(record QuotaRecord, self localState, paid Tokens) QuotaRecord {
	next := record
	next.Shares = append([]Share(nil), record.Shares...)
	next.closePredecessors(self.owner, self.start, self.workspace, self.prev)
	next.setShare(Share{
		Owner: self.owner, Spent: self.spent, Reserved: self.reserved, Demand: self.demand,
		Limit: self.spent + self.reserved,
	})
	unallocated := max(paid-next.totalAllocated(), 0) // next has no headroom for this owner yet
	headroom := p.headroom(&next, self, paid)
	currentHeadroom := max(record.shareOf(self.owner).Limit-self.spent-self.reserved, 0)
	if !self.idle && unallocated-currentHeadroom > paid/keepHeadroomDivisor {
		headroom = max(headroom, currentHeadroom) // enough is left for other owners
	}
	maxHeadroom := max(unallocated/maxHeadroomDivisor, min(max(self.waiting, currentHeadroom), unallocated))
	share := next.shareOf(self.owner)
	share.Limit += min(headroom, maxHeadroom)
	next.setShare(share)
	return next
}

// keepHeadroomDivisor determines when an owner that is not idle keeps headroom that it does not
// need: while more than the paid amount divided by it is left unallocated.
const keepHeadroomDivisor = 8

// maxHeadroomDivisor limits an owner's headroom to the amount that would be unallocated without
// any, divided by maxHeadroomDivisor, so that some is left for others after many owners have
// increased their shares. Headroom that the share has already, or that waiting requests need,
// is not limited by it.
const maxHeadroomDivisor = 6

// headroom returns the headroom that an owner should have: its demand over the horizon, limited
// to a part of its fair share. The fair share is the balance, divided among the owners in
// proportion to their demand; all that ended processes may have spent counts as spent. Headroom
// therefore shrinks with the balance, and when the balance runs out, each owner has little of it.
func (p Policy) headroom(record *QuotaRecord, self localState, paid Tokens) Tokens {
	if self.idle {
		return self.waiting
	}
	remaining := max(paid-record.totalSpent()-record.reservedByOthers(self.owner)-self.reserved, 0)
	totalDemand := record.totalDemand()
	if totalDemand == 0 {
		return max(min(paid/p.InitialShareDivisor, remaining/p.FairShareDivisor), self.waiting)
	}
	fairShare := Tokens(float64(remaining) * float64(self.demand) / float64(totalDemand))
	headroom := min(self.demand*p.Horizon.Milliseconds()/1000, fairShare/p.FairShareDivisor)
	return max(headroom, p.minHeadroom(self, remaining), self.waiting)
}

// minHeadroom returns the least headroom of an owner that has any demand. It matters for one
// with a small part of the demand.
func (p Policy) minHeadroom(self localState, remaining Tokens) Tokens {
	if self.demand == 0 {
		return 0
	}
	return min(p.MinHeadroom, remaining/minHeadroomDivisor)
}

// minHeadroomDivisor limits the least headroom of an owner to the balance divided by it.
const minHeadroomDivisor = 48

// usageBound returns the bound for the next checkpoint on what may be spent until another
// one is written.
func (p Policy) usageBound(self localState) UsageBound {
	return UsageBound{
		Spent: self.spent, Burst: self.reserved + self.waiting + p.burst(self),
		Rate: max(self.demand*p.RatePercent/100, p.MinRate),
	}
}

// burst returns what may be spent at once after a checkpoint, in addition to what was reserved
// or waiting then.
func (p Policy) burst(self localState) Tokens {
	return max(self.demand*p.BurstDuration.Milliseconds()/1000, p.MinBurst)
}

// negligibleDivisor determines when a balance counts as used up: if it is at most the paid
// amount divided by negligibleDivisor and no tokens are unallocated. It is then spread over the
// shares of several owners or may have been spent by ended processes. Workspaces must be
// able to use at least 97% of what they paid.
const negligibleDivisor = 33

// mayCover reports whether the balance may cover an amount. It is no guarantee: what other owners
// have spent since they last wrote the record is not known. All that ended processes may have
// spent counts as spent: it stays out of reach until the workspace pays again, so a caller that
// waited for it would wait in vain.
func (r *QuotaRecord) mayCover(self localState, paid, amount Tokens) bool {
	spent := r.totalSpent() - r.shareOf(self.owner).Spent + self.spent
	spentOrReserved := spent + r.reservedByOthers(self.owner) + self.reserved
	remaining := paid - spentOrReserved
	return remaining >= amount && (remaining > paid/negligibleDivisor || r.totalAllocated() < paid)
}
