package budget

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
)

// choice returns a number from 0 to n-1: a random one, from rapid or a seeded
// generator, or always 0 in tests of a fixed scenario.
type choice func(n int) int

// injectedBugs selects the bugs that a mutation injects and the checks must find.
type injectedBugs struct {
	ignoreFences, ignoreAccountEpochs, skipInitEpochs, skipConfirmation bool
	settleTwice, reuseReleasedLimit, skipReconciliation                 bool
	unknownFlushIsFailed, grantBeforeFlush, acceptStaleEpoch            bool
	forgetAcceptedSlots, ignoreLostAgents                               bool
	sendUnconfirmedEpoch                                                bool
}

const (
	simulatedShard = Shard(0)
	budgetA        = ID("armor/main")
	budgetB        = ID("yukimi/main")
)

// request records what actually happened to one request. The checks compare it with
// the records in the store.
type request struct {
	id, attempt      uuid.UUID
	budget           ID
	reservation      Reservation
	router           *simulatedRouter
	agent            *simulatedAgent
	agentIncarnation Incarnation
	// used is what the agent counted, nil before the attempt has ended; estimated is
	// what the router billed without the agent, nil if it did not.
	used, estimated *Tokens
	admitted        bool
	ended           bool // the router has settled or released the reservation
}

// usedTokens returns what the router billed without the agent, or else what the agent
// counted.
func (r *request) usedTokens() Tokens {
	switch {
	case r.estimated != nil:
		return *r.estimated
	case r.used != nil:
		return *r.used
	}
	return 0
}

type simulatedRouter struct {
	name, region string
	incarnation  Incarnation
	alive        bool
	wallet       *Wallet
	sessions     map[Incarnation]time.Time // by agent, when the session was established
	openRequests []*request
}

type simulatedAgent struct {
	name, region string
	incarnation  Incarnation
	alive        bool
	ledger       *Ledger
	ended        map[uuid.UUID]*Bill // by attempt; nil if it cost nothing
	running      []*request
}

// simulatedHolder is a holder in a router. Several holders of an account may be
// alive at once.
type simulatedHolder struct {
	core        *Holder
	router      *simulatedRouter
	incarnation Incarnation
	region      string
	rev         int // of the account when the holder last read or wrote it
}

type message struct {
	from, to string
	receive  func()
}

type storedRecord struct {
	data []byte
	rev  int
}

// sim simulates a deployment with one shard, step by step. It records what
// actually happened and stops at the first failed check.
type sim struct {
	choose     choice
	bugs       injectedBugs
	now        time.Time
	seq        uint64
	store      map[string]storedRecord
	rev        int
	down       map[[2]string]bool // links that are down, as pairs of nodes
	messages   []message
	routers    []*simulatedRouter
	agents     []*simulatedAgent
	lostAgents []LostAgent
	epochs     map[string]uint64 // of the accounts in the store, by region
	holders    []*simulatedHolder
	requests   []*request
	paid       map[ID]Tokens
	regions    []string
	nodes      []string // the store, the routers and the agents
	err        error
	quiescing  bool
	// checkedRev is the last store revision that was checked.
	checkedRev int
}

func newSim(choose choice, bugs injectedBugs) *sim {
	s := &sim{choose: choose, bugs: bugs, now: time.Unix(1_800_000_000, 0), store: map[string]storedRecord{},
		down: map[[2]string]bool{}, epochs: map[string]uint64{}, paid: map[ID]Tokens{}, regions: []string{"east", "west"}, nodes: []string{"store"}}
	t := NewTreasury(simulatedShard)
	for _, id := range []ID{budgetA, budgetB} {
		s.check(t.CreateBudget(id))
	}
	data, err := t.Encode()
	s.check(err)
	s.commit(nil, map[string][]byte{"treasury": data})
	for _, region := range s.regions {
		for i := range 2 {
			r := &simulatedRouter{name: fmt.Sprintf("%s-router%d", region, i), region: region}
			s.routers = append(s.routers, r)
			s.startRouter(r)
			a := &simulatedAgent{name: fmt.Sprintf("%s-agent%d", region, i), region: region}
			s.agents = append(s.agents, a)
			s.startAgent(a)
			s.nodes = append(s.nodes, r.name, a.name)
		}
	}
	return s
}

func (s *sim) check(err error) {
	if err != nil && s.err == nil {
		s.err = err
	}
}

func (s *sim) failf(format string, args ...any) { s.check(fmt.Errorf(format, args...)) }

// uuid returns IDs in a fixed sequence, so that runs with a seed are reproducible.
func (s *sim) uuid() uuid.UUID {
	s.seq++
	var id uuid.UUID
	for i := range 8 {
		id[15-i] = byte(s.seq >> (8 * i))
	}
	return id
}

func (s *sim) startRouter(r *simulatedRouter) {
	r.incarnation, r.alive = Incarnation{r.name, s.uuid()}, true
	r.wallet = NewWallet(r.incarnation, r.region, 1, Policy{RefusalWeight: 50})
	r.sessions, r.openRequests = map[Incarnation]time.Time{}, nil
}

func (s *sim) stopRouter(r *simulatedRouter) {
	r.alive = false
	s.holders = slices.DeleteFunc(s.holders, func(holder *simulatedHolder) bool { return holder.incarnation == r.incarnation })
}

func (s *sim) startAgent(a *simulatedAgent) {
	a.incarnation, a.alive = Incarnation{a.name, s.uuid()}, true
	a.ledger, a.ended, a.running = NewLedger(a.incarnation), map[uuid.UUID]*Bill{}, nil
	s.initEpochs(a)
}

// initEpochs gives a restarted agent the epochs of the accounts in the store.
func (s *sim) initEpochs(a *simulatedAgent) {
	if !a.alive || a.ledger.EpochsKnown() || !s.linked(a.name, "store") {
		return
	}
	epochs := map[Account]uint64{}
	for _, region := range s.regions {
		if rec := s.account(region); rec != nil && !s.bugs.skipInitEpochs {
			epochs[rec.Account] = rec.Epoch
		}
	}
	a.ledger.InitEpochs(epochs)
}

func (s *sim) stopAgent(a *simulatedAgent) {
	if !a.alive {
		return
	}
	a.alive = false
	s.lostAgents = append(s.lostAgents, LostAgent{Agent: a.incarnation, LatestUse: s.now})
	s.now = s.now.Add(time.Millisecond)
}

func (s *sim) linked(a, b string) bool { return !s.down[[2]string{a, b}] && !s.down[[2]string{b, a}] }

func (s *sim) send(from, to string, receive func()) {
	s.messages = append(s.messages, message{from, to, receive})
}

// deliver delivers message i, and keeps a copy of it if duplicate is set. Messages
// are delivered in any order.
func (s *sim) deliver(i int, duplicate bool) {
	m := s.messages[i]
	if !duplicate {
		s.messages = slices.Delete(s.messages, i, i+1)
	}
	if s.linked(m.from, m.to) {
		m.receive()
	}
}

// commit is a compare-and-swap of the store. It reports whether the expected
// revisions matched.
func (s *sim) commit(expectedRevs map[string]int, writes map[string][]byte) bool {
	for key, rev := range expectedRevs {
		if s.store[key].rev != rev {
			return false
		}
	}
	s.rev++
	for key, data := range writes {
		s.store[key] = storedRecord{data, s.rev}
	}
	for _, region := range s.regions {
		if writes["account/"+region] != nil {
			s.epochs[region] = s.account(region).Epoch
		}
	}
	return true
}

func (s *sim) treasury() *Treasury {
	t, err := DecodeTreasury(s.store["treasury"].data)
	s.check(err)
	return t
}

func (s *sim) account(region string) *AccountRecord {
	data := s.store["account/"+region].data
	if data == nil {
		return nil
	}
	a, err := DecodeAccount(data)
	s.check(err)
	return a
}

func (s *sim) topUp(id ID, amount Tokens) {
	t := s.treasury()
	topUpID := s.uuid().String()
	for range 2 { // the second has the same ID and must not count
		if s.err == nil {
			_, err := t.TopUp(id, topUpID, amount)
			s.check(err)
		}
	}
	data, err := t.Encode()
	s.check(err)
	s.commit(nil, map[string][]byte{"treasury": data})
	s.paid[id] += amount
}

// takeOver makes the router the holder of its region's account.
func (s *sim) takeOver(r *simulatedRouter) {
	if !r.alive || !s.linked(r.name, "store") {
		return
	}
	key := "account/" + r.region
	previous := s.account(r.region)
	rec := TakeOver(Account{simulatedShard, r.region}, previous, r.incarnation)
	data, err := rec.Encode()
	s.check(err)
	s.commit(map[string]int{key: s.store[key].rev}, map[string][]byte{key: data})
	h, err := NewHolder(s.now, s.account(r.region), Policy{RefusalWeight: 50})
	s.check(err)
	if s.err != nil {
		return
	}
	if s.bugs.skipReconciliation {
		for _, b := range h.budgets {
			b.unreconciled = 0
		}
		h.endReconcile()
	}
	s.holders = append(s.holders, &simulatedHolder{core: h, router: r, incarnation: r.incarnation, region: r.region, rev: s.store[key].rev})
}

// currentHolder returns the holder of the region's account in its current epoch,
// nil if there is none.
func (s *sim) currentHolder(region string) *simulatedHolder {
	var current *simulatedHolder
	for _, holder := range s.holders {
		if holder.region == region && (current == nil || holder.core.Epoch() > current.core.Epoch()) {
			current = holder
		}
	}
	if current == nil || s.epochs[region] != current.core.Epoch() {
		return nil
	}
	return current
}

// flush runs one transaction of a holder. outcome selects what happens to it: its
// response is lost (0), it is delayed (1), it fails (2), or it is executed (any other
// number).
func (s *sim) flush(holder *simulatedHolder, outcome int) {
	if !s.linked(holder.router.name, "store") {
		return
	}
	t, treasuryRev := s.treasury(), s.store["treasury"].rev
	holder.core.ObserveTreasury(s.now, t)
	plan, err := holder.core.PrepareFlush(s.now, t)
	if errors.Is(err, ErrUnresolved) || errors.Is(err, ErrDrawnMismatch) {
		s.resolveFlush(holder)
		return
	}
	if plan == nil {
		if err != nil && !errors.Is(err, ErrDeposed) {
			s.check(err)
		}
		return
	}
	apply := s.transaction(holder, plan, treasuryRev)
	switch outcome {
	case 0: // the response is lost
		apply()
		s.flushDone(holder, plan, FlushUnknown)
	case 1: // the transaction is delayed and may never arrive
		s.flushDone(holder, plan, FlushUnknown)
		s.send(holder.router.name, "store", func() { apply() })
	case 2:
		s.flushDone(holder, plan, FlushFailed)
	default:
		if rev, ok := apply(); ok {
			holder.rev = rev
			s.flushDone(holder, plan, FlushCommitted)
		} else {
			s.flushDone(holder, plan, FlushConflict)
		}
	}
}

// transaction returns a function that executes the transaction of a plan. It
// returns the store's revision and whether the transaction took effect.
func (s *sim) transaction(holder *simulatedHolder, plan *FlushPlan, treasuryRev int) func() (int, bool) {
	key := "account/" + holder.region
	expectedRevs := map[string]int{key: holder.rev}
	writes := map[string][]byte{}
	var err error
	writes[key], err = plan.Account.Encode()
	s.check(err)
	if plan.Treasury != nil {
		s.check(plan.Treasury.Check())
		expectedRevs["treasury"] = treasuryRev
		writes["treasury"], err = plan.Treasury.Encode()
		s.check(err)
	}
	if !plan.Bills.Empty() {
		writes[fmt.Sprintf("bills/%s/%d-%d", holder.region, plan.Bills.Epoch, plan.Seq)], err = plan.Bills.Encode()
		s.check(err)
	}
	return func() (int, bool) {
		ok := s.commit(expectedRevs, writes)
		return s.rev, ok
	}
}

func (s *sim) flushDone(holder *simulatedHolder, plan *FlushPlan, outcome FlushOutcome) {
	s.ack(holder.router.name, holder.core.FlushDone(s.now, plan, outcome), nil)
	if s.bugs.unknownFlushIsFailed && outcome == FlushUnknown {
		holder.core.inDoubt, holder.core.unresolved = nil, false
		holder.core.updatePendingReturns()
	}
}

func (s *sim) resolveFlush(holder *simulatedHolder) {
	if rec := s.account(holder.region); rec != nil {
		acks, err := holder.core.ResolveFlush(s.now, rec)
		if err != nil && !errors.Is(err, ErrDeposed) {
			s.check(err)
		}
		holder.rev = s.store["account/"+holder.region].rev
		s.ack(holder.router.name, acks, nil)
	}
}

// ack sends agents the acknowledgements of bills. onReply, unless it is nil, is
// called with the attempts that an agent has acknowledged.
func (s *sim) ack(from string, acks AckList, onReply func([]uuid.UUID)) {
	for _, a := range s.agents {
		attempts := acks[a.name]
		if len(attempts) == 0 {
			continue
		}
		s.send(from, a.name, func() {
			if a.alive {
				a.ledger.Ack(attempts)
			}
			if onReply != nil {
				s.send(a.name, from, func() { onReply(attempts) })
			}
		})
	}
}
