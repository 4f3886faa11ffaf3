package budget

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
)

// ErrLotDropped means that the wallet no longer has the reservation's lot, because
// the holder closed the lot or fenced the router, or that the reservation has ended
// already. For a dropped lot, the holder collects the bill from the agent.
var ErrLotDropped = errors.New("lot was dropped")

// Reservation is an amount of a lot that is kept for one request.
type Reservation struct {
	Budget ID
	Lot    LotID
	Slot   Slot
	Amount Tokens
}

// WalletCounters holds a wallet's event counts since it started.
type WalletCounters struct {
	// OverReservationBills counts bills cut to their reservation. Each shows a bug
	// of an agent.
	OverReservationBills int64
	// IgnoredReplies counts replies that were late or came from a replaced holder.
	IgnoredReplies int64
	// DroppedLots counts lots dropped while they had reservations or bills.
	DroppedLots int64
	// Violations counts invariant errors.
	Violations int64
	// LastViolation is the latest invariant error, nil if there was none.
	LastViolation error
}

// walletBill is a bill that is not known to be durable.
type walletBill struct {
	bill  Bill
	agent string // empty if no agent has a copy
	// charge is the amount that the bill uses up in the lot. For an estimated bill
	// it is the whole reservation: the holder may have collected another amount
	// from the agent, and only the first bill that it accepts counts.
	charge Tokens
	// epoch is the epoch of the holder that has the bill, 0 if none has it.
	epoch uint64
}

// unackedBill is a durable bill of which an agent may still have a copy.
type unackedBill struct {
	agent string
	lot   *walletLot
}

// walletLot is a router's state of a lot.
type walletLot struct {
	id              LotID
	budget          *walletBudget
	limit           Tokens
	billed          Tokens // sum of the charges of all bills
	durableBilled   Tokens // sum of the charges of the bills known to be durable
	reserved        Tokens
	lastSlot        Slot
	reservations    map[Slot]Tokens
	bills           map[Slot]*walletBill
	unused          []Slot    // slots without a bill that are not reported yet
	unackedCount    int       // durable bills of which an agent may still have a copy
	confirmedAsOf   time.Time // when the last exchange that confirmed the lot was sent
	epoch           uint64    // of the holder that confirmed the lot last
	lastUse         time.Time
	unreportedSince time.Time // time of the oldest bill or unused slot to report, zero if none
}

// free returns what can be reserved in the lot.
func (l *walletLot) free() Tokens { return l.limit - l.billed - l.reserved }

// walletBudget is a router's state of a budget that it uses or waits for.
type walletBudget struct {
	id               ID
	account          *walletAccount
	lot              *walletLot
	abandoned        []*walletLot // reported until they are closed
	demand           demandRate
	maxReservation   Tokens // largest recent reservation
	maxReservationAt time.Time
	waiting          Tokens // sum of the reservations that callers wait for
	shortfallReason  ShortfallReason
	scarceUntil      time.Time // no headroom until then (see scarceDuration)
	recalled         bool      // the holder asked to release what is not needed
	keyHashes        [][]byte
	keyHashesAt      time.Time
	needKeyHashes    bool
	lastUse          time.Time
}

// walletAccount is a router's state of an account.
type walletAccount struct {
	account  Account
	epoch    uint64          // the highest known; replies with a lower one are ignored
	seq      uint64          // of the last exchange
	budgets  []*walletBudget // in the order of their first use
	inFlight *sentExchange   // nil if none
	urgent   bool            // an exchange is due at once
	lastSent time.Time
	retryAt  time.Time // no exchange is due before then
}

// Wallet is the state of one router incarnation for all budgets. It grants
// reservations in the router's lots and plans the exchanges. It is not safe for
// concurrent use.
type Wallet struct {
	self     Incarnation
	region   string
	shards   uint32
	policy   Policy
	budgets  map[ID]*walletBudget
	accounts map[Account]*walletAccount
	lots     map[LotID]*walletLot
	unacked  map[uuid.UUID]unackedBill
	counters WalletCounters
}

// NewWallet returns a wallet without lots for the router incarnation self. region
// is the router's region, and shards the deployment's number of shards.
func NewWallet(self Incarnation, region string, shards uint32, policy Policy) *Wallet {
	return &Wallet{
		self: self, region: region, shards: shards, policy: policy,
		budgets: map[ID]*walletBudget{}, accounts: map[Account]*walletAccount{},
		lots: map[LotID]*walletLot{}, unacked: map[uuid.UUID]unackedBill{},
	}
}

// SetPolicy sets the policy after a change of configuration.
func (w *Wallet) SetPolicy(policy Policy) { w.policy = policy }

// Counters returns the event counts since the wallet was created.
func (w *Wallet) Counters() WalletCounters { return w.counters }

// AccountOf returns the account of a budget in the router's region.
func (w *Wallet) AccountOf(id ID) Account {
	return Account{Shard: ShardOf(id, w.shards), Region: w.region}
}

// Epoch returns the highest epoch of an account that the wallet knows, 0 if none.
func (w *Wallet) Epoch(account Account) uint64 {
	if a := w.accounts[account]; a != nil {
		return a.epoch
	}
	return 0
}

// account returns the state of an account and creates it if it is missing.
func (w *Wallet) account(account Account) *walletAccount {
	a := w.accounts[account]
	if a == nil {
		a = &walletAccount{account: account}
		w.accounts[account] = a
	}
	return a
}

// budget returns the state of a budget and creates it if it is missing.
func (w *Wallet) budget(id ID) *walletBudget {
	b := w.budgets[id]
	if b == nil {
		a := w.account(w.AccountOf(id))
		b = &walletBudget{id: id, account: a}
		w.budgets[id] = b
		a.budgets = append(a.budgets, b)
	}
	return b
}

// Reserve reserves amount tokens in a lot of the budget. If ok is false, shortfall
// is the amount by which the lot is too small, at least 1; the caller then calls
// SetWaiting and makes an exchange.
func (w *Wallet) Reserve(now time.Time, id ID, amount Tokens) (r Reservation, shortfall Tokens, ok bool) {
	b := w.budget(id)
	b.lastUse = now
	if amount >= b.maxReservation || now.Sub(b.maxReservationAt) > maxReservationTTL {
		b.maxReservation, b.maxReservationAt = amount, now
	}
	l := b.lot
	if amount < 0 || l == nil || l.free() < amount {
		shortfall = max(amount, 1)
		if l != nil {
			shortfall = max(1, amount-l.free())
		}
		return Reservation{}, shortfall, false
	}
	l.lastSlot++
	l.reservations[l.lastSlot] = amount
	l.reserved += amount
	l.lastUse = now
	b.demand.add(now, amount)
	return Reservation{Budget: id, Lot: l.id, Slot: l.lastSlot, Amount: amount}, 0, true
}

// SetWaiting sets the sum of the reservations that callers of the budget wait for,
// 0 if none waits.
func (w *Wallet) SetWaiting(now time.Time, id ID, sum Tokens) {
	b := w.budget(id)
	b.waiting = sum
	if sum > 0 {
		b.lastUse = now
	}
}

// ShortfallReason returns why the last request for a limit of the budget was not met.
func (w *Wallet) ShortfallReason(id ID) ShortfallReason {
	if b := w.budgets[id]; b != nil {
		return b.shortfallReason
	}
	return ShortfallNone
}

// endReservation removes a reservation from its lot and returns the lot. It fails
// with ErrLotDropped, also if the reservation has ended.
func (w *Wallet) endReservation(now time.Time, r Reservation) (*walletLot, error) {
	l := w.lots[r.Lot]
	if l == nil {
		return nil, ErrLotDropped
	}
	amount, ok := l.reservations[r.Slot]
	if !ok {
		return nil, fmt.Errorf("%w: slot %d was settled or released", ErrLotDropped, r.Slot)
	}
	delete(l.reservations, r.Slot)
	l.reserved -= amount
	l.lastUse, l.budget.lastUse = now, now
	if l.unreportedSince.IsZero() {
		l.unreportedSince = now
	}
	return l, nil
}

// Settle ends a reservation with its bill. agent is the address of the agent that
// has a copy of the bill or may still make one, empty if none can. A bill above
// the reservation is cut to it. It fails with ErrLotDropped, which needs no
// further action, if the lot was dropped or the reservation has ended.
func (w *Wallet) Settle(now time.Time, r Reservation, bill Bill, agent string) error {
	l, err := w.endReservation(now, r)
	if err != nil {
		return err
	}
	if bill.Amount > r.Amount || bill.Amount < 0 {
		w.counters.OverReservationBills++
		bill.Amount = min(max(bill.Amount, 0), r.Amount)
	}
	bill.Lot, bill.Slot, bill.Budget = r.Lot, r.Slot, r.Budget
	l.budget.demand.add(now, bill.Amount-r.Amount)
	if bill.Amount == 0 && !bill.Estimated {
		l.unused = append(l.unused, r.Slot)
		return nil
	}
	charge := bill.Amount
	if bill.Estimated {
		charge = r.Amount
	}
	l.billed += charge
	l.bills[r.Slot] = &walletBill{bill: bill, agent: agent, charge: charge}
	return nil
}

// Release ends a reservation without a bill. The caller must be certain that its
// attempts did not run and never will. It fails with ErrLotDropped, like Settle.
func (w *Wallet) Release(now time.Time, r Reservation) error {
	l, err := w.endReservation(now, r)
	if err != nil {
		return err
	}
	l.budget.demand.add(now, -r.Amount)
	l.unused = append(l.unused, r.Slot)
	return nil
}

// ConfirmedSince reports whether the reservation's lot may be used on an agent
// session that was established at the given time: an exchange that began later must
// have confirmed the lot. The agent has no fences from before it started, so only
// such an exchange shows that the router had not been fenced before the session was
// established. If the result is false, the caller calls RequestExchange and makes
// an exchange. It fails with ErrLotDropped.
func (w *Wallet) ConfirmedSince(r Reservation, established time.Time) (bool, error) {
	l := w.lots[r.Lot]
	if l == nil {
		return false, ErrLotDropped
	}
	return l.confirmedAsOf.After(established), nil
}

// LotEpoch returns the epoch of the holder that confirmed the reservation's lot
// last, for ExecRequest.AccountEpoch. It is lower than Epoch until the holder of a
// new epoch has confirmed the lot.
func (w *Wallet) LotEpoch(r Reservation) uint64 {
	if l := w.lots[r.Lot]; l != nil {
		return l.epoch
	}
	return 0
}

// RequestExchange makes the next exchange for the account due at once.
func (w *Wallet) RequestExchange(account Account) { w.account(account).urgent = true }

// AbandonLot stops reservations in the lot of r and makes the wallet ask for
// another lot. The caller calls it when an agent refuses the lot with ErrFenced:
// an earlier holder had begun to fence the router, and its successor does not
// know that.
func (w *Wallet) AbandonLot(r Reservation) {
	l := w.lots[r.Lot]
	if l == nil || l.budget.lot != l {
		return
	}
	b := l.budget
	b.lot, b.abandoned = nil, append(b.abandoned, l)
	b.account.urgent = true
}

// KeyHashes returns the SHA-256 hashes of a budget's API keys as last received, and
// when that was. If they are missing or stale, the caller calls RequestKeyHashes
// and makes an exchange.
func (w *Wallet) KeyHashes(id ID) (hashes [][]byte, at time.Time) {
	if b := w.budgets[id]; b != nil {
		return b.keyHashes, b.keyHashesAt
	}
	return nil, time.Time{}
}

// RequestKeyHashes makes the next exchange ask for a budget's key hashes.
func (w *Wallet) RequestKeyHashes(now time.Time, id ID) {
	b := w.budget(id)
	b.needKeyHashes, b.lastUse = true, now
}

// MarkAgentAcked records that an agent has deleted or lost its copies of the
// attempts' bills.
func (w *Wallet) MarkAgentAcked(attempts []uuid.UUID) {
	for _, id := range attempts {
		if u, ok := w.unacked[id]; ok {
			u.lot.unackedCount--
			delete(w.unacked, id)
		}
	}
}

// PendingAcks returns the durable bills whose agents have not confirmed the
// deletion. The caller repeats the agents' RPC AckBills for them periodically, and
// calls MarkAgentAcked if an agent no longer exists.
func (w *Wallet) PendingAcks() AckList {
	var acks AckList
	for id, u := range w.unacked {
		acks = acks.add(u.agent, id)
	}
	return acks
}

// Idle reports whether the wallet has no reservations and all bills are durable
// and acknowledged. A router that drains before it stops waits for that.
func (w *Wallet) Idle() bool {
	for _, l := range w.lots {
		if len(l.reservations)+len(l.bills) > 0 {
			return false
		}
	}
	return len(w.unacked) == 0
}

// LotBalance is a router's state of a budget's lot, in tokens.
type LotBalance struct{ Limit, Billed, Reserved Tokens }

// Balance returns the state of a budget's lot, and false if it has none.
func (w *Wallet) Balance(id ID) (LotBalance, bool) {
	b := w.budgets[id]
	if b == nil || b.lot == nil {
		return LotBalance{}, false
	}
	return LotBalance{Limit: b.lot.limit, Billed: b.lot.billed, Reserved: b.lot.reserved}, true
}

// dropLot deletes a lot with its reservations and bills.
func (w *Wallet) dropLot(l *walletLot) {
	if len(l.reservations)+len(l.bills) > 0 {
		w.counters.DroppedLots++
	}
	delete(w.lots, l.id)
	b := l.budget
	if b.lot == l {
		b.lot = nil
	}
	b.abandoned = slices.DeleteFunc(b.abandoned, func(o *walletLot) bool { return o == l })
}

// Prune deletes the state of budgets that have no lot and were not used for a
// minute. The state of an account stays, because it holds the epoch.
func (w *Wallet) Prune(now time.Time) {
	for id, b := range w.budgets {
		if b.lot == nil && len(b.abandoned) == 0 && b.waiting == 0 && now.Sub(b.lastUse) > maxReservationTTL {
			delete(w.budgets, id)
			a := b.account
			a.budgets = slices.DeleteFunc(a.budgets, func(o *walletBudget) bool { return o == b })
		}
	}
}

// Check returns an *InvariantError if the wallet's amounts are inconsistent now or
// were so before.
func (w *Wallet) Check() error {
	for id, l := range w.lots {
		var reserved, bills Tokens
		for _, amount := range l.reservations {
			reserved += amount
		}
		for _, b := range l.bills {
			bills += b.charge
		}
		if l.id != id || l.budget.lot != l && !slices.Contains(l.budget.abandoned, l) {
			return invariantErrorf("wallet", l.budget.id, "lot %s is stored under another id or is not a lot of its budget", id)
		}
		if reserved != l.reserved || l.durableBilled+bills != l.billed || l.free() < 0 {
			return invariantErrorf("wallet", l.budget.id, "limit %d, billed %d, durable %d, reserved %d, sum of reservations %d",
				l.limit, l.billed, l.durableBilled, l.reserved, reserved)
		}
	}
	if w.counters.Violations > 0 {
		return w.counters.LastViolation
	}
	return nil
}
