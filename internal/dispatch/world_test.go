package dispatch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/route"
	"github.com/monsoonworks/monsoonworks/internal/suspect"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
	"github.com/monsoonworks/monsoonworks/internal/wire/wiretest"
)

// world is a small deployment: fake agents, and routers with a real dispatcher
// and real suspects over fake wallets, choices and claims.
type world struct {
	network *wiretest.Network
	agents  map[string]*fakeAgent
	routers []*Dispatcher
	pools   []*wire.Pool
	peers   map[string]*suspect.Registry

	mu         sync.Mutex
	nextSlot   budget.Slot
	openHolds  map[budget.Slot]bool
	bills      []budget.Bill
	faults     []string
	claims     map[[32]byte]wire.ClaimArgs
	noHome     bool
	retries    int // retries left
	crashCount int
}

func newWorld(t *testing.T, agents, routers int) *world {
	w := &world{
		network: wiretest.NewNetwork(), agents: map[string]*fakeAgent{}, peers: map[string]*suspect.Registry{},
		openHolds: map[budget.Slot]bool{}, claims: map[[32]byte]wire.ClaimArgs{}, retries: 100,
	}
	for n := range agents {
		a := &fakeAgent{w: w, name: fmt.Sprintf("s%d", n+1), started: map[uuid.UUID]int{}}
		a.restart()
		w.agents[a.name] = a
		w.network.Listen(a.name, a.accept)
	}
	for n := range routers {
		w.addRouter(fmt.Sprintf("r%d", n+1))
	}
	t.Cleanup(func() {
		for _, p := range w.pools {
			p.Close()
		}
		for _, p := range w.peers {
			p.Close()
		}
		for _, a := range w.agents {
			a.die()
		}
		time.Sleep(time.Minute) // virtual; lets the timers of cancelled streams end
	})
	return w
}

func (w *world) addRouter(name string) {
	boot := uuid.Must(uuid.NewV7())
	pool := wire.NewPoolWithDialer(func(ctx context.Context, address string) (*wire.Session, error) {
		conn, err := w.network.Dial(address)
		if err != nil {
			return nil, err
		}
		return wire.Connect(ctx, conn, wire.Options{Hello: wire.Hello{Role: wire.RoleRouter, Name: name, Boot: boot}}, wire.Services{})
	})
	registry := metrics.NewRegistry()
	w.peers[name] = suspect.New(suspect.Options{Name: name, Region: "north", Peers: peers{w}, Metrics: registry})
	w.pools = append(w.pools, pool)
	w.routers = append(w.routers, New(Options{
		Self: budget.Incarnation{Name: name, Boot: boot}, Region: "north",
		Shards: func() uint32 { return 4 }, Wallet: w, Chooser: &chooser{w, pool}, Sessions: pool,
		Servers: w, Claims: w, Retries: w, Suspects: w.peers[name], Metrics: registry,
	}))
}

func (w *world) host(name string) hosts.Host {
	return hosts.Host{Name: name, Address: name, Role: "agent", Region: "north", Pool: "large"}
}

func (w *world) Server(name string) (hosts.Host, bool) { return w.host(name), w.agents[name] != nil }

func (w *world) Allow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retries--
	return w.retries >= 0
}

func (w *world) crashed(string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashCount++
}

func (w *world) Reserve(_ context.Context, id budget.ID, amount budget.Tokens) (budget.Reservation, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextSlot++
	w.openHolds[w.nextSlot] = true
	return budget.Reservation{Budget: id, Lot: budget.LotID{Epoch: 1, Num: 1}, Slot: w.nextSlot, Amount: amount}, nil
}

func (w *world) ConfirmLot(context.Context, budget.Reservation, time.Time) (uint64, error) {
	return 1, nil
}

func (w *world) end(hold budget.Reservation) {
	if !w.openHolds[hold.Slot] {
		w.faults = append(w.faults, fmt.Sprintf("slot %d ended twice", hold.Slot))
	}
	delete(w.openHolds, hold.Slot)
}

func (w *world) Settle(hold budget.Reservation, bill budget.Bill, _ string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end(hold)
	if bill.Slot != hold.Slot || bill.Amount > hold.Amount || bill.Amount < 0 {
		w.faults = append(w.faults, fmt.Sprintf("bill %+v of hold %+v", bill, hold))
	}
	w.bills = append(w.bills, bill)
}

func (w *world) Release(hold budget.Reservation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end(hold)
}

// billed returns the bills above 0 of a request.
func (w *world) billed(request uuid.UUID) (bills []budget.Bill) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, bill := range w.bills {
		if bill.Request == request && bill.Amount > 0 {
			bills = append(bills, bill)
		}
	}
	return bills
}

func (w *world) Claim(_ context.Context, _ string, _ budget.ID, args *wire.ClaimArgs) (wire.ClaimReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old, known := w.claims[args.KeyHash]
	switch {
	case w.noHome:
		return wire.ClaimReply{}, context.DeadlineExceeded
	case known && old.RequestHash != args.RequestHash:
		return wire.ClaimReply{Outcome: wire.ClaimMismatch}, nil
	case known && old.Attempt != args.Replaces:
		return wire.ClaimReply{Outcome: wire.ClaimExists, Attempt: old.Attempt, Server: old.Server, ServerBoot: old.ServerBoot}, nil
	}
	w.claims[args.KeyHash] = *args
	return wire.ClaimReply{Outcome: wire.ClaimNew, Epoch: 3}, nil
}

// runs returns how often a request began to run.
func (w *world) runs(request uuid.UUID) (n int) {
	for _, a := range w.agents {
		a.mu.Lock()
		n += a.started[request]
		a.mu.Unlock()
	}
	return n
}

// chooser takes the servers in order of their names.
type chooser struct {
	w    *world
	pool *wire.Pool
}

func (c *chooser) Choose(ctx context.Context, q route.Query) (route.Choice, error) {
	for n := range len(c.w.agents) {
		name := fmt.Sprintf("s%d", n+1)
		if slices.Contains(q.Exclude, name) {
			continue
		}
		if s, err := c.pool.Get(ctx, name); err == nil {
			return route.Choice{Server: c.w.host(name), Session: s, Done: func(route.Result) {}}, nil
		}
	}
	return route.Choice{}, verdict.New(verdict.NotRun, verdict.CodeNoServer, "no server")
}

// peers connects the routers' suspects directly.
type peers struct{ w *world }

func (p peers) Routers() (all []hosts.Host) {
	for name := range p.w.peers {
		all = append(all, hosts.Host{Name: name, Address: name, Region: "north"})
	}
	return all
}

func (p peers) Call(_ context.Context, address, method string, args, reply any) error {
	service := p.w.peers[address].Service()
	if method == "Suspect.Report" {
		return service.Report(args.(*wire.CrashReport), reply.(*wire.Empty))
	}
	return service.Permit(args.(*wire.PermitArgs), reply.(*wire.PermitReply))
}

func newCall() *Call {
	return &Call{
		Request: uuid.Must(uuid.NewV7()), Workspace: "cafe", Budget: "cafe/main", Kind: wire.KindModel,
		Target: "large", Method: "POST", Path: "/v1/completions", Body: []byte("{}"), Reserve: 100,
		PromptBound: 20, PromptTokens: promptBill, Deadline: time.Now().Add(time.Minute), HomeRegion: "north",
	}
}
