package budget

import (
	"time"
)

// lotPhase is the state of a lot at its holder.
type lotPhase uint8

const (
	// lotOpen means that the router can use the lot up to its limit.
	lotOpen lotPhase = iota
	// lotOrphaned means that the lot is of a former epoch, and that its router has
	// not reported it or a former holder had closed it. Its unbilled part belongs to
	// the unreconciled escrow.
	lotOrphaned
	// lotClosed means that the lot is closed. It stays listed until its last bills
	// are durable and while mustStayListed requires it.
	lotClosed
)

// pendingBill is an accepted bill that is not durable yet.
type pendingBill struct {
	bill Bill
	// agent is the agent from which the holder collected the bill and to which it
	// must acknowledge it. It is empty if a router reported the bill.
	agent string
}

// lotState is a holder's state of a lot.
type lotState struct {
	id                  LotID
	router              Incarnation
	budget              *budgetState
	phase               lotPhase
	knownToRouter       bool // the router has reported the lot
	closedByPredecessor bool // a former holder closed it, so its router must not use it
	limit               Tokens
	billed              Tokens      // sum of accepted bills
	durableBilled       Tokens      // sum of durable bills
	acceptedSlots       IntervalSet // slots of accepted bills, and unused slots
	durableSlots        IntervalSet // slots of durable bills, and unused slots
	pending             map[Slot]*pendingBill
	reserved            Tokens    // as last reported
	demand              float64   // tokens/s, as last reported
	openedAt            time.Time // zero if a former holder opened it
}

// budgetState is a holder's state of an active budget: one with escrow, lots or
// an unmet request.
type budgetState struct {
	id           ID
	drawn        Tokens // and not returned, by committed flushes
	spent        Tokens // sum of durable bills
	lost         Tokens
	losses       []Loss // not durable yet
	closedBilled Tokens // sum of accepted bills of lots that are not open, also of deleted lots
	unreconciled Tokens // escrow of former epochs that is not reconciled yet
	openLimits   Tokens // sum of the limits of open lots
	// awaitingFlush is what a fence or a reconciliation has freed. It can be
	// granted only after a flush: a successor that does not know of the settlement
	// would accept the lots from their routers again.
	awaitingFlush     Tokens
	pendingReturns    Tokens  // returns of flushes whose outcome is unknown
	lotCount          int     // in all phases
	pendingBills      int     // accepted bills that are not durable
	inTreasury        bool    // the treasury has an entry for this region that this holder wrote
	demand            float64 // tokens/s
	lastUse           time.Time
	unmet             Tokens // the largest part of a recent request that was not granted
	unmetAt           time.Time
	recallUntil       time.Time
	requestedReturn   Tokens // by another region
	returnRequestedAt time.Time
	retryAt           time.Time              // no urgent flush for an unmet request before then
	emptyDrawAt       time.Time              // when a flush last found nothing to draw
	returnReplies     map[string]returnReply // by region
}

// returnReply is the reply of another region's holder to a request for a return.
type returnReply struct {
	at        time.Time
	reachable bool
	returned  Tokens
}

// routerState is a holder's state of a router incarnation.
type routerState struct {
	seq     uint64 // the highest sequence number of an exchange
	adopted bool   // its lots of former epochs are adopted
	lots    map[LotPosition]*lotState
	fence   *fenceState // nil if it is not being fenced
}
