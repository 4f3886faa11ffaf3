package budget

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
)

// chooser picks one of n actions; it is a rapid draw or a seeded generator.
type chooser func(n int) int

// faults are deliberate errors that the checks must catch.
type faults struct {
	skipFence, skipEpoch, skipConfirm, skipRenewal bool
	settleTwice, reuseReleased, trustTakeover      bool
	unknownIsFailed, grantBeforeFlush, ignoreEpoch bool
	forgetSettled, ignoreLostMemory                bool
	adoptUnconfirmed                               bool
}

const (
	worldShard = Shard(0)
	budgetA    = ID("armor/main")
	budgetB    = ID("yukimi/main")
)

// request is the ground truth about one request.
type request struct {
	id, attempt uuid.UUID
	budget      ID
	hold        Reservation
	router      *routerProc
	agent       *agentProc
	agentRun    Incarnation
	ran, est    *Tokens // what it used, and what its router billed without the agent
	admitted    bool
	done        bool // the router has settled or released it
}

// cost is what the request counts as used.
func (r *request) cost() Tokens {
	switch {
	case r.est != nil:
		return *r.est
	case r.ran != nil:
		return *r.ran
	}
	return 0
}

type routerProc struct {
	name, region string
	inc          Incarnation
	alive        bool
	wallet       *Wallet
	sessions     map[Incarnation]time.Time
	open         []*request
}

type agentProc struct {
	name, region string
	inc          Incarnation
	alive        bool
	book         *Ledger
	ended        map[uuid.UUID]*Bill // nil for an attempt that cost nothing
	running      []*request
}

// holderProc is a holder in a router; several of one account may live at once.
type holderProc struct {
	h      *Holder
	router *routerProc
	inc    Incarnation
	region string
	rev    int
}

type message struct {
	from, to string
	fn       func()
}

type record struct {
	data []byte
	rev  int
}

// world is a deployment with one shard, driven step by step. It keeps the ground
// truth and stops at the first failed check.
type world struct {
	pick    chooser
	bug     faults
	now     time.Time
	seq     uint64
	store   map[string]record
	rev     int
	cut     map[[2]string]bool
	msgs    []message
	routers []*routerProc
	agents  []*agentProc
	dead    []LostAgent
	epochs  map[string]uint64 // of the accounts in the store
	holders []*holderProc
	reqs    []*request
	paid    map[ID]Tokens
	regions []string
	names   []string // of all parties
	err     error
	healing bool
	// checkedRev is the store revision that was checked last.
	checkedRev int
}

func newWorld(pick chooser, bug faults) *world {
	w := &world{pick: pick, bug: bug, now: time.Unix(1_800_000_000, 0), store: map[string]record{},
		cut: map[[2]string]bool{}, epochs: map[string]uint64{}, paid: map[ID]Tokens{}, regions: []string{"east", "west"}, names: []string{"store"}}
	t := NewTreasury(worldShard)
	for _, id := range []ID{budgetA, budgetB} {
		w.check(t.CreateBudget(id))
	}
	data, err := t.Encode()
	w.check(err)
	w.commit(nil, map[string][]byte{"treasury": data})
	for _, region := range w.regions {
		for i := range 2 {
			r := &routerProc{name: fmt.Sprintf("%s-router%d", region, i), region: region}
			w.routers = append(w.routers, r)
			w.startRouter(r)
			a := &agentProc{name: fmt.Sprintf("%s-agent%d", region, i), region: region}
			w.agents = append(w.agents, a)
			w.startAgent(a)
			w.names = append(w.names, r.name, a.name)
		}
	}
	return w
}

func (w *world) check(err error) {
	if err != nil && w.err == nil {
		w.err = err
	}
}

func (w *world) failf(format string, args ...any) { w.check(fmt.Errorf(format, args...)) }

// uuid returns ids in a fixed sequence, so that a seed gives the same run.
func (w *world) uuid() uuid.UUID {
	w.seq++
	var id uuid.UUID
	for i := range 8 {
		id[15-i] = byte(w.seq >> (8 * i))
	}
	return id
}

func (w *world) startRouter(r *routerProc) {
	r.inc, r.alive = Incarnation{r.name, w.uuid()}, true
	r.wallet = NewWallet(r.inc, r.region, 1, Policy{RefusalWeight: 50})
	r.sessions, r.open = map[Incarnation]time.Time{}, nil
}

func (w *world) stopRouter(r *routerProc) {
	r.alive = false
	w.holders = slices.DeleteFunc(w.holders, func(p *holderProc) bool { return p.inc == r.inc })
}

func (w *world) startAgent(a *agentProc) {
	a.inc, a.alive = Incarnation{a.name, w.uuid()}, true
	a.book, a.ended, a.running = NewLedger(a.inc), map[uuid.UUID]*Bill{}, nil
	w.confirm(a)
}

// confirm gives a restarted agent the epochs in the store.
func (w *world) confirm(a *agentProc) {
	if !a.alive || a.book.EpochsKnown() || !w.linked(a.name, "store") {
		return
	}
	epochs := map[Account]uint64{}
	for _, region := range w.regions {
		if rec := w.account(region); rec != nil && !w.bug.skipConfirm {
			epochs[rec.Account] = rec.Epoch
		}
	}
	a.book.InitEpochs(epochs)
}

func (w *world) stopAgent(a *agentProc) {
	if !a.alive {
		return
	}
	a.alive = false
	w.dead = append(w.dead, LostAgent{Agent: a.inc, DetectedAt: w.now})
	w.now = w.now.Add(time.Millisecond)
}

func (w *world) linked(a, b string) bool { return !w.cut[[2]string{a, b}] && !w.cut[[2]string{b, a}] }

func (w *world) send(from, to string, fn func()) {
	w.msgs = append(w.msgs, message{from, to, fn})
}

// deliver hands over message i. Messages overtake each other freely.
func (w *world) deliver(i int, keep bool) {
	m := w.msgs[i]
	if !keep {
		w.msgs = slices.Delete(w.msgs, i, i+1)
	}
	if w.linked(m.from, m.to) {
		m.fn()
	}
}

// commit is the store's compare-and-swap. A nil value deletes nothing here.
func (w *world) commit(compare map[string]int, writes map[string][]byte) bool {
	for key, rev := range compare {
		if w.store[key].rev != rev {
			return false
		}
	}
	w.rev++
	for key, data := range writes {
		w.store[key] = record{data, w.rev}
	}
	for _, region := range w.regions {
		if writes["account/"+region] != nil {
			w.epochs[region] = w.account(region).Epoch
		}
	}
	return true
}

func (w *world) treasury() *Treasury {
	t, err := DecodeTreasury(w.store["treasury"].data)
	w.check(err)
	return t
}

func (w *world) account(region string) *AccountRecord {
	data := w.store["account/"+region].data
	if data == nil {
		return nil
	}
	a, err := DecodeAccount(data)
	w.check(err)
	return a
}

func (w *world) topUp(id ID, amount Tokens) {
	t := w.treasury()
	name := w.uuid().String()
	for range 2 { // repeated with the same id
		if w.err == nil {
			_, err := t.TopUp(id, name, amount)
			w.check(err)
		}
	}
	data, err := t.Encode()
	w.check(err)
	w.commit(nil, map[string][]byte{"treasury": data})
	w.paid[id] += amount
}

// takeOver makes the router the holder of its region's account.
func (w *world) takeOver(r *routerProc) {
	if !r.alive || !w.linked(r.name, "store") {
		return
	}
	key := "account/" + r.region
	old := w.account(r.region)
	rec := TakeOver(Account{worldShard, r.region}, old, r.inc)
	data, err := rec.Encode()
	w.check(err)
	w.commit(map[string]int{key: w.store[key].rev}, map[string][]byte{key: data})
	h, err := NewHolder(w.now, w.account(r.region), Policy{RefusalWeight: 50})
	w.check(err)
	if w.err != nil {
		return
	}
	if w.bug.trustTakeover {
		for _, b := range h.budgets {
			b.unreconciled = 0
		}
		h.endReconcile()
	}
	w.holders = append(w.holders, &holderProc{h: h, router: r, inc: r.inc, region: r.region, rev: w.store[key].rev})
}

// newest returns the holder of the region's account, or nil.
func (w *world) newest(region string) *holderProc {
	var best *holderProc
	for _, p := range w.holders {
		if p.region == region && (best == nil || p.h.Epoch() > best.h.Epoch()) {
			best = p
		}
	}
	if best == nil || w.epochs[region] != best.h.Epoch() {
		return nil
	}
	return best
}

// flush runs one transaction of a holder, with a chosen outcome.
func (w *world) flush(p *holderProc, outcome int) {
	if !w.linked(p.router.name, "store") {
		return
	}
	t, trev := w.treasury(), w.store["treasury"].rev
	p.h.ObserveTreasury(w.now, t)
	plan, err := p.h.PrepareFlush(w.now, t)
	if errors.Is(err, ErrUnresolved) || errors.Is(err, ErrDrawnMismatch) {
		w.resolve(p)
		return
	}
	if plan == nil {
		if err != nil && !errors.Is(err, ErrDeposed) {
			w.check(err)
		}
		return
	}
	apply := w.txn(p, plan, trev)
	switch outcome {
	case 0: // the answer is lost
		apply()
		w.flushDone(p, plan, FlushUnknown)
	case 1: // the transaction is delayed, and may never arrive
		w.flushDone(p, plan, FlushUnknown)
		w.send(p.router.name, "store", func() { apply() })
	case 2:
		w.flushDone(p, plan, FlushFailed)
	default:
		if rev, ok := apply(); ok {
			p.rev = rev
			w.flushDone(p, plan, FlushCommitted)
		} else {
			w.flushDone(p, plan, FlushConflict)
		}
	}
}

// txn returns the transaction of a plan.
func (w *world) txn(p *holderProc, plan *FlushPlan, trev int) func() (int, bool) {
	key := "account/" + p.region
	compare := map[string]int{key: p.rev}
	writes := map[string][]byte{}
	var err error
	writes[key], err = plan.Account.Encode()
	w.check(err)
	if plan.Treasury != nil {
		w.check(plan.Treasury.Check())
		compare["treasury"] = trev
		writes["treasury"], err = plan.Treasury.Encode()
		w.check(err)
	}
	if !plan.Bills.Empty() {
		writes[fmt.Sprintf("bills/%s/%d-%d", p.region, plan.Bills.Epoch, plan.Seq)], err = plan.Bills.Encode()
		w.check(err)
	}
	return func() (int, bool) {
		ok := w.commit(compare, writes)
		return w.rev, ok
	}
}

func (w *world) flushDone(p *holderProc, plan *FlushPlan, outcome FlushOutcome) {
	w.ack(p.router.name, p.h.FlushDone(w.now, plan, outcome), nil)
	if w.bug.unknownIsFailed && outcome == FlushUnknown {
		p.h.candidates, p.h.unresolved = nil, false
		p.h.updateHeld()
	}
}

func (w *world) resolve(p *holderProc) {
	if rec := w.account(p.region); rec != nil {
		acks, err := p.h.ResolveFlush(w.now, rec)
		if err != nil && !errors.Is(err, ErrDeposed) {
			w.check(err)
		}
		p.rev = w.store["account/"+p.region].rev
		w.ack(p.router.name, acks, nil)
	}
}

// ack tells agents that bills are durable; done runs when an agent has answered.
func (w *world) ack(from string, acks AckList, done func([]uuid.UUID)) {
	for _, a := range w.agents {
		attempts := acks[a.name]
		if len(attempts) == 0 {
			continue
		}
		w.send(from, a.name, func() {
			if a.alive {
				a.book.Ack(attempts)
			}
			if done != nil {
				w.send(a.name, from, func() { done(attempts) })
			}
		})
	}
}
