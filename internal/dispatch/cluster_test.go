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

// cluster is a small deployment: fake agents, and routers with a real
// dispatcher and a real suspect registry over fake wallets, choosers and
// claims.
type cluster struct {
	network           *wiretest.Network
	agents            map[string]*fakeAgent
	routers           []*Dispatcher
	pools             []*wire.Pool
	suspectRegistries map[string]*suspect.Registry

	mu               sync.Mutex
	nextSlot         budget.Slot
	openReservations map[budget.Slot]bool
	bills            []budget.Bill
	violations       []string
	claims           map[[32]byte]wire.ClaimArgs
	holderDown       bool
	retriesLeft      int
	crashCount       int
}

func newCluster(t *testing.T, agents, routers int) *cluster {
	cl := &cluster{
		network: wiretest.NewNetwork(), agents: map[string]*fakeAgent{}, suspectRegistries: map[string]*suspect.Registry{},
		openReservations: map[budget.Slot]bool{}, claims: map[[32]byte]wire.ClaimArgs{}, retriesLeft: 100,
	}
	for n := range agents {
		a := &fakeAgent{cl: cl, name: fmt.Sprintf("s%d", n+1), runs: map[uuid.UUID]int{}}
		a.restart()
		cl.agents[a.name] = a
		cl.network.Listen(a.name, a.accept)
	}
	for n := range routers {
		cl.addRouter(fmt.Sprintf("r%d", n+1))
	}
	t.Cleanup(func() {
		for _, p := range cl.pools {
			p.Close()
		}
		for _, r := range cl.suspectRegistries {
			r.Close()
		}
		for _, a := range cl.agents {
			a.kill()
		}
		time.Sleep(time.Minute) // virtual time; lets the timers of canceled streams end
	})
	return cl
}

func (cl *cluster) addRouter(name string) {
	boot := uuid.Must(uuid.NewV7())
	pool := wire.NewPoolWithDialer(func(ctx context.Context, address string) (*wire.Session, error) {
		conn, err := cl.network.Dial(address)
		if err != nil {
			return nil, err
		}
		return wire.Connect(ctx, conn, wire.Options{Hello: wire.Hello{Role: wire.RoleRouter, Name: name, Boot: boot}}, wire.Services{})
	})
	registry := metrics.NewRegistry()
	cl.suspectRegistries[name] = suspect.New(suspect.Options{Name: name, Region: "north", Peers: peers{cl}, Metrics: registry})
	cl.pools = append(cl.pools, pool)
	cl.routers = append(cl.routers, New(Options{
		Self: budget.Incarnation{Name: name, Boot: boot}, Region: "north",
		Shards: func() uint32 { return 4 }, Wallet: cl, Chooser: &chooser{cl, pool}, Sessions: pool,
		Servers: cl, Claims: cl, Retries: cl, Suspects: cl.suspectRegistries[name], Metrics: registry,
	}))
}

func (cl *cluster) host(name string) hosts.Host {
	return hosts.Host{Name: name, Address: name, Role: "agent", Region: "north", Pool: "large"}
}

func (cl *cluster) Server(name string) (hosts.Host, bool) {
	return cl.host(name), cl.agents[name] != nil
}

func (cl *cluster) Allow() bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.retriesLeft--
	return cl.retriesLeft >= 0
}

func (cl *cluster) crashed(string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.crashCount++
}

func (cl *cluster) Reserve(_ context.Context, id budget.ID, amount budget.Tokens) (budget.Reservation, error) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.nextSlot++
	cl.openReservations[cl.nextSlot] = true
	return budget.Reservation{Budget: id, Lot: budget.LotID{Epoch: 1, Num: 1}, Slot: cl.nextSlot, Amount: amount}, nil
}

func (cl *cluster) ConfirmLot(context.Context, budget.Reservation, time.Time) (uint64, error) {
	return 1, nil
}

func (cl *cluster) closeReservation(r budget.Reservation) {
	if !cl.openReservations[r.Slot] {
		cl.violations = append(cl.violations, fmt.Sprintf("reservation %d closed twice", r.Slot))
	}
	delete(cl.openReservations, r.Slot)
}

func (cl *cluster) Settle(r budget.Reservation, bill budget.Bill, _ string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.closeReservation(r)
	if bill.Slot != r.Slot || bill.Amount > r.Amount || bill.Amount < 0 {
		cl.violations = append(cl.violations, fmt.Sprintf("bill %+v of reservation %+v", bill, r))
	}
	cl.bills = append(cl.bills, bill)
}

func (cl *cluster) Release(r budget.Reservation) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.closeReservation(r)
}

// billed returns the bills of a request with an amount above 0.
func (cl *cluster) billed(request uuid.UUID) (bills []budget.Bill) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, bill := range cl.bills {
		if bill.Request == request && bill.Amount > 0 {
			bills = append(bills, bill)
		}
	}
	return bills
}

func (cl *cluster) Claim(_ context.Context, _ string, _ budget.ID, args *wire.ClaimArgs) (wire.ClaimReply, error) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	old, known := cl.claims[args.KeyHash]
	switch {
	case cl.holderDown:
		return wire.ClaimReply{}, context.DeadlineExceeded
	case known && old.RequestHash != args.RequestHash:
		return wire.ClaimReply{Outcome: wire.ClaimMismatch}, nil
	case known && old.Attempt != args.Replaces:
		return wire.ClaimReply{Outcome: wire.ClaimExists, Attempt: old.Attempt, Server: old.Server, AgentBoot: old.AgentBoot}, nil
	}
	cl.claims[args.KeyHash] = *args
	return wire.ClaimReply{Outcome: wire.ClaimNew, Epoch: 3}, nil
}

// runs returns how often a request began to run.
func (cl *cluster) runs(request uuid.UUID) (n int) {
	for _, a := range cl.agents {
		a.mu.Lock()
		n += a.runs[request]
		a.mu.Unlock()
	}
	return n
}

// chooser chooses the first server by name that is not excluded and to which a
// session can be opened.
type chooser struct {
	cl   *cluster
	pool *wire.Pool
}

func (c *chooser) Choose(ctx context.Context, q route.Query) (route.Choice, error) {
	for n := range len(c.cl.agents) {
		name := fmt.Sprintf("s%d", n+1)
		if slices.Contains(q.Exclude, name) {
			continue
		}
		if s, err := c.pool.Get(ctx, name); err == nil {
			return route.Choice{Server: c.cl.host(name), Session: s, Done: func(route.Result) {}}, nil
		}
	}
	return route.Choice{}, verdict.New(verdict.NotRun, verdict.CodeNoServer, "no server")
}

// peers connects the suspect registries of the routers directly.
type peers struct{ cl *cluster }

func (p peers) Routers() (all []hosts.Host) {
	for name := range p.cl.suspectRegistries {
		all = append(all, hosts.Host{Name: name, Address: name, Region: "north"})
	}
	return all
}

func (p peers) Call(_ context.Context, address, method string, args, reply any) error {
	service := p.cl.suspectRegistries[address].Service()
	if method == "Suspect.Report" {
		return service.Report(args.(*wire.CrashReport), reply.(*wire.Empty))
	}
	return service.Permit(args.(*wire.PermitArgs), reply.(*wire.PermitReply))
}

func newCall() *Call {
	return &Call{
		Request: uuid.Must(uuid.NewV7()), Workspace: "cafe", Budget: "cafe/main", Kind: wire.KindModel,
		Target: "large", Method: "POST", Path: "/v1/completions", Body: []byte("{}"), MaxCost: 100,
		MaxPromptCost: 20, PromptTokens: promptTokens, Deadline: time.Now().Add(time.Minute), HomeRegion: "north",
	}
}
