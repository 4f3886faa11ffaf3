package budget

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
)

// ErrLotDropped means that the wallet no longer has the hold's lot, because its
// holder closed it or gave the router up. The agent's bill reaches the holder
// without the router.
var ErrLotDropped = errors.New("lot is gone")

// Reservation is a reservation in a lot for one request.
type Reservation struct {
	Budget ID
	Lot    LotID
	Slot   Slot
	Amount Tokens
}

// WalletCounters counts events that a wallet has seen since it started.
type WalletCounters struct {
	// OverReservationBills were cut to their reservation. Each is a fault of an agent.
	OverReservationBills int64
	// IgnoredReplies were late, or came from a replaced holder.
	IgnoredReplies int64
	// DroppedLots were closed by their holder while they had reservations.
	DroppedLots int64
	// Violations counts invariant errors; LastViolation is the latest.
	Violations    int64
	LastViolation error
}

// walletBill is a bill that is not known to be durable.
type walletBill struct {
	bill  Bill
	agent string // empty if no agent has a copy
	// charge is what the bill counts for in the lot. It is the whole
	// reservation of an estimated bill: a holder may have collected another
	// amount from the agent, and the first bill that it accepts counts.
	charge Tokens
	// epoch is the epoch of the holder that has the bill, 0 if none has.
	epoch uint64
}

// unackedBill is a durable bill of which an agent may still have a copy.
type unackedBill struct {
	agent string
	lot   *walletLot
}

// walletLot is a lot at its router.
type walletLot struct {
	id            LotID
	budget        *walletBudget
	limit         Tokens
	billed        Tokens // sum of the charges of all bills
	durableBilled Tokens // sum of the charges of the bills known to be durable
	reserved      Tokens
	lastSlot      Slot
	holds         map[Slot]Tokens
	bills         map[Slot]*walletBill
	unused        []Slot // not reported with success
	unacked       int    // durable bills that an agent may still have
	renewedAt     time.Time
	epoch         uint64 // of the holder that confirmed the lot last
	lastUse       time.Time
	dirtyAt       time.Time // the oldest bill or unused slot to report; zero if none
}

func (l *walletLot) free() Tokens { return l.limit - l.billed - l.reserved }

// walletBudget is a budget that the router uses or waits for.
type walletBudget struct {
	id          ID
	account     *walletAccount
	lot         *walletLot
	old         []*walletLot // abandoned, reported until they are closed
	demand      rate
	bound       Tokens // largest recent reservation
	boundAt     time.Time
	waiting     Tokens
	missing     ShortfallReason
	scarceUntil time.Time
	recalled    bool
	keys        [][]byte
	keysAt      time.Time
	wantKeys    bool
	lastUse     time.Time
}

// walletAccount is an account that the router deals with.
type walletAccount struct {
	account  Account
	epoch    uint64
	seq      uint64
	budgets  []*walletBudget // in the order of their first use
	inFlight *sentExchange
	urgent   bool
	lastSent time.Time
	retryAt  time.Time
}

// Wallet decides for one router incarnation, over all budgets. It is not safe
// for concurrent use.
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

// NewWallet returns an empty wallet. shards is the deployment's number of
// shards, and region the router's own.
func NewWallet(self Incarnation, region string, shards uint32, policy Policy) *Wallet {
	return &Wallet{
		self: self, region: region, shards: shards, policy: policy,
		budgets: map[ID]*walletBudget{}, accounts: map[Account]*walletAccount{},
		lots: map[LotID]*walletLot{}, unacked: map[uuid.UUID]unackedBill{},
	}
}

// SetPolicy changes the policy, after a change of configuration.
func (w *Wallet) SetPolicy(policy Policy) { w.policy = policy }

// Counters returns what was counted so far.
func (w *Wallet) Counters() WalletCounters { return w.counters }

// AccountOf returns the account that a budget is drawn on in the router's
// region.
func (w *Wallet) AccountOf(id ID) Account {
	return Account{Shard: ShardOf(id, w.shards), Region: w.region}
}

// Epoch returns the highest epoch of an account that the wallet has adopted.
func (w *Wallet) Epoch(account Account) uint64 {
	if a := w.accounts[account]; a != nil {
		return a.epoch
	}
	return 0
}

func (w *Wallet) account(account Account) *walletAccount {
	a := w.accounts[account]
	if a == nil {
		a = &walletAccount{account: account}
		w.accounts[account] = a
	}
	return a
}

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

// Reserve takes a slot of amount tokens, or returns how much is missing. The
// caller then calls SetWaiting and exchanges.
func (w *Wallet) Reserve(now time.Time, id ID, amount Tokens) (hold Reservation, missing Tokens, ok bool) {
	b := w.budget(id)
	b.lastUse = now
	if amount >= b.bound || now.Sub(b.boundAt) > boundMemory {
		b.bound, b.boundAt = amount, now
	}
	l := b.lot
	if amount < 0 || l == nil || l.free() < amount {
		missing = max(amount, 1)
		if l != nil {
			missing = max(1, amount-l.free())
		}
		return Reservation{}, missing, false
	}
	l.lastSlot++
	l.holds[l.lastSlot] = amount
	l.reserved += amount
	l.lastUse = now
	b.demand.add(now, amount)
	return Reservation{Budget: id, Lot: l.id, Slot: l.lastSlot, Amount: amount}, 0, true
}

// SetWaiting tells the wallet the sum of the reservations that callers wait for
// now; 0 if none waits.
func (w *Wallet) SetWaiting(now time.Time, id ID, sum Tokens) {
	b := w.budget(id)
	b.waiting = sum
	if sum > 0 {
		b.lastUse = now
	}
}

// Shortfall says why the last wish for a budget was not met.
func (w *Wallet) Shortfall(id ID) ShortfallReason {
	if b := w.budgets[id]; b != nil {
		return b.missing
	}
	return ShortfallNone
}

// take ends a hold and returns its lot.
func (w *Wallet) take(now time.Time, hold Reservation) (*walletLot, error) {
	l := w.lots[hold.Lot]
	if l == nil {
		return nil, ErrLotDropped
	}
	amount, ok := l.holds[hold.Slot]
	if !ok {
		return nil, fmt.Errorf("%w: slot %d was settled or released", ErrLotDropped, hold.Slot)
	}
	delete(l.holds, hold.Slot)
	l.reserved -= amount
	l.lastUse, l.budget.lastUse = now, now
	if l.dirtyAt.IsZero() {
		l.dirtyAt = now
	}
	return l, nil
}

// Settle replaces a hold by its bill. agent is the address of the agent that has
// a copy of the bill or may still make one, empty if none can. A bill above the
// reservation is cut to it. It fails with ErrLotDropped if the lot was dropped, and
// then nothing is left to do.
func (w *Wallet) Settle(now time.Time, hold Reservation, bill Bill, agent string) error {
	l, err := w.take(now, hold)
	if err != nil {
		return err
	}
	if bill.Amount > hold.Amount || bill.Amount < 0 {
		w.counters.OverReservationBills++
		bill.Amount = min(max(bill.Amount, 0), hold.Amount)
	}
	bill.Lot, bill.Slot, bill.Budget = hold.Lot, hold.Slot, hold.Budget
	l.budget.demand.add(now, bill.Amount-hold.Amount)
	if bill.Amount == 0 && !bill.Estimated {
		l.unused = append(l.unused, hold.Slot)
		return nil
	}
	charge := bill.Amount
	if bill.Estimated {
		charge = hold.Amount
	}
	l.billed += charge
	l.bills[hold.Slot] = &walletBill{bill: bill, agent: agent, charge: charge}
	return nil
}

// Release gives a hold back. It is allowed only if the attempts certainly did
// not run and never will.
func (w *Wallet) Release(now time.Time, hold Reservation) error {
	l, err := w.take(now, hold)
	if err != nil {
		return err
	}
	l.budget.demand.add(now, -hold.Amount)
	l.unused = append(l.unused, hold.Slot)
	return nil
}

// Ready reports whether the hold's lot may be used on an agent session that was
// established at the given time: the lot must have been renewed by an exchange
// that began later. Otherwise the caller calls Renew and exchanges. It fails
// with ErrLotDropped.
func (w *Wallet) Ready(hold Reservation, established time.Time) (bool, error) {
	l := w.lots[hold.Lot]
	if l == nil {
		return false, ErrLotDropped
	}
	return l.renewedAt.After(established), nil
}

// LotEpoch returns the epoch of the holder that confirmed the hold's lot last. It
// goes into ExecRequest.MinAccountEpoch. It is lower than Epoch until the holder of
// a new epoch has confirmed the lot.
func (w *Wallet) LotEpoch(hold Reservation) uint64 {
	if l := w.lots[hold.Lot]; l != nil {
		return l.epoch
	}
	return 0
}

// RequestExchange makes an exchange for the account due at once.
func (w *Wallet) RequestExchange(account Account) { w.account(account).urgent = true }

// AbandonLot takes no more reservations from the hold's lot, and asks for another
// one. It is called when an agent refuses the lot with ErrFenced: an earlier
// holder had begun to give the router up, and its successor does not know.
func (w *Wallet) AbandonLot(hold Reservation) {
	l := w.lots[hold.Lot]
	if l == nil || l.budget.lot != l {
		return
	}
	b := l.budget
	b.lot, b.old = nil, append(b.old, l)
	b.account.urgent = true
}

// KeyHashes returns the SHA-256 hashes of a budget's API keys as last heard, and when
// that was. If they are missing or too old the caller calls RequestKeyHashes and
// exchanges.
func (w *Wallet) KeyHashes(id ID) (hashes [][]byte, at time.Time) {
	if b := w.budgets[id]; b != nil {
		return b.keys, b.keysAt
	}
	return nil, time.Time{}
}

// RequestKeyHashes makes the next exchange ask for a budget's key hashes.
func (w *Wallet) RequestKeyHashes(now time.Time, id ID) {
	b := w.budget(id)
	b.wantKeys, b.lastUse = true, now
}

// MarkAgentAcked records that an agent has deleted its copies of the attempts'
// bills, or has lost its memory of them.
func (w *Wallet) MarkAgentAcked(attempts []uuid.UUID) {
	for _, id := range attempts {
		if u, ok := w.unacked[id]; ok {
			u.lot.unacked--
			delete(w.unacked, id)
		}
	}
}

// PendingAcks lists the durable bills whose agents have not confirmed that they
// deleted them. The caller repeats AckBills for them now and then, and calls
// MarkAgentAcked for an agent that is gone.
func (w *Wallet) PendingAcks() AckList {
	var acks AckList
	for id, u := range w.unacked {
		acks = acks.add(u.agent, id)
	}
	return acks
}

// Idle reports whether nothing is left to report: no reservations, all bills
// durable and acknowledged. A drain waits for it.
func (w *Wallet) Idle() bool {
	for _, l := range w.lots {
		if len(l.holds)+len(l.bills) > 0 {
			return false
		}
	}
	return len(w.unacked) == 0
}

// LotBalance is the state of a budget's lot at its router, in tokens.
type LotBalance struct{ Limit, Billed, Reserved Tokens }

// Balance returns the state of a budget's lot, and false if it has none.
func (w *Wallet) Balance(id ID) (LotBalance, bool) {
	b := w.budgets[id]
	if b == nil || b.lot == nil {
		return LotBalance{}, false
	}
	return LotBalance{Limit: b.lot.limit, Billed: b.lot.billed, Reserved: b.lot.reserved}, true
}

// dropLot forgets a lot with its reservations and bills.
func (w *Wallet) dropLot(l *walletLot) {
	if len(l.holds)+len(l.bills) > 0 {
		w.counters.DroppedLots++
	}
	delete(w.lots, l.id)
	b := l.budget
	if b.lot == l {
		b.lot = nil
	}
	b.old = slices.DeleteFunc(b.old, func(o *walletLot) bool { return o == l })
}

// Prune forgets budgets that were not used for a minute and accounts without
// budgets keep only their epoch.
func (w *Wallet) Prune(now time.Time) {
	for id, b := range w.budgets {
		if b.lot == nil && len(b.old) == 0 && b.waiting == 0 && now.Sub(b.lastUse) > boundMemory {
			delete(w.budgets, id)
			a := b.account
			a.budgets = slices.DeleteFunc(a.budgets, func(o *walletBudget) bool { return o == b })
		}
	}
}

// Check returns an InvariantError if the wallet's amounts contradict each other.
func (w *Wallet) Check() error {
	for id, l := range w.lots {
		var reserved, bills Tokens
		for _, amount := range l.holds {
			reserved += amount
		}
		for _, b := range l.bills {
			bills += b.charge
		}
		if l.id != id || l.budget.lot != l && !slices.Contains(l.budget.old, l) {
			return violated("wallet", l.budget.id, "lot %s is filed wrongly", id)
		}
		if reserved != l.reserved || l.durableBilled+bills != l.billed || l.free() < 0 {
			return violated("wallet", l.budget.id, "limit %d, billed %d, durable %d, reserved %d and %d",
				l.limit, l.billed, l.durableBilled, l.reserved, reserved)
		}
	}
	if w.counters.Violations > 0 {
		return w.counters.LastViolation
	}
	return nil
}
