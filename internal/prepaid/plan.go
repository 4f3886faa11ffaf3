package prepaid

import "time"

// Policy holds the figures by which a gate sizes its share.
type Policy struct {
	// Horizon is the demand that a share covers, so that a gate goes on without the
	// store for that long.
	Horizon time.Duration
	// FirstShare is the part of what was paid that a gate takes before it knows its
	// demand, as one in FirstShare.
	FirstShare Tokens
	// LargestPart bounds a share's window to one in LargestPart of what is left.
	LargestPart Tokens
}

// DefaultPolicy returns the figures for gates that must bear an outage of the store
// of some seconds.
func DefaultPolicy() Policy {
	return Policy{Horizon: 8 * time.Second, FirstShare: 64, LargestPart: 2}
}

// position is a gate's own view of its share.
type position struct {
	holder string
	// spent is settled, reserved is held by requests in progress.
	spent, reserved Tokens
	demand          Tokens
	// wanted is the sum of the bounds that wait for the share to grow.
	wanted Tokens
}

// plan returns the account with the share that the gate should have, given what
// the workspace paid.
func (p Policy) plan(a Account, self position, paid Tokens) Account {
	next := a
	next.Shares = append([]Share(nil), a.Shares...)
	next.closeShares(func(holder string) bool {
		return holder != self.holder && sameHost(holder, self.holder)
	})
	next.put(Share{Holder: self.holder, Spent: self.spent, Demand: self.demand, Limit: self.spent + self.reserved})
	free := max(paid-next.limits(), 0)
	window := p.window(&next, self, paid)
	share := next.share(self.holder)
	share.Limit += min(max(window-self.reserved, 0), free)
	next.put(share)
	return next
}

// window returns how much more than it has spent a gate should be able to spend:
// its demand over the horizon, at most its fair part of what is left.
func (p Policy) window(a *Account, self position, paid Tokens) Tokens {
	left := max(paid-a.spent()-(a.Closed-a.ClosedSpent), 0)
	target := self.demand * p.Horizon.Milliseconds() / 1000
	target = max(target, paid/p.FirstShare)
	fair := left / p.LargestPart
	if total := a.demand(); total > 0 {
		fair = min(fair, left*self.demand/total)
	}
	return max(min(target, fair), self.wanted+self.reserved)
}

// mayCover reports whether what is left of paid may cover an amount. What other
// gates have spent since they wrote the record is not known, so true is no proof.
func (a *Account) mayCover(self position, paid, amount Tokens) bool {
	known := a.spent() - a.share(self.holder).Spent + self.spent + self.reserved
	return paid-known >= amount
}
