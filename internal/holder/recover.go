package holder

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// flushClockTolerance is the largest difference assumed between the clocks of
// two holders of an account, when an agent's start is compared with the former
// holder's last flush.
const flushClockTolerance = 10 * time.Second

// recover does one round of what dead processes make necessary: fences of dead
// routers and the reconciliation after a takeover.
func (m *Manager) recover(ctx context.Context, a *account) {
	listed := m.o.Directory.Routers(m.o.Region)
	m.beginFences(ctx, a, listed)
	a.mu.Lock()
	fences, reconciling := a.core.Fences(), a.core.Reconciling() || a.claims.rebuilding
	a.mu.Unlock()
	if reconciling {
		m.askRouters(ctx, a, listed)
		m.reconcile(ctx, a)
	}
	for _, fence := range fences {
		m.fence(ctx, a, fence)
	}
	a.mu.Lock()
	m.reportFaults(a)
	a.mu.Unlock()
}

// beginFences gives up routers with lots that are dead.
func (m *Manager) beginFences(ctx context.Context, a *account, listed []Peer) {
	a.mu.Lock()
	routers := a.core.Routers()
	a.mu.Unlock()
	for _, router := range routers {
		if router == m.o.Self || router.Name == "" || !m.live.dead(ctx, router, listed) {
			continue
		}
		a.mu.Lock()
		_, fenced := a.core.BeginFence(router)
		a.mu.Unlock()
		if fenced {
			m.stats.fences.Inc(1)
		}
	}
}

// fence collects what agents know about a dead router and settles its lots.
func (m *Manager) fence(ctx context.Context, a *account, order budget.FenceOrder) {
	args := wire.CollectArgs{Account: a.key, FenceRouter: &order.Router, FenceBefore: order.Before}
	round := m.collect(ctx, a, &args)
	a.mu.Lock()
	defer a.mu.Unlock()
	err := a.core.FinishFence(time.Now(), order.Router, round.agents, round.lost)
	if err == nil {
		m.log.Info("lots of a dead router settled", "router", order.Router.Name,
			"shard", a.key.Shard, "region", a.key.Region)
	}
}

// askRouters asks the region's routers for their lots after a takeover.
func (m *Manager) askRouters(ctx context.Context, a *account, listed []Peer) {
	a.mu.Lock()
	args := wire.LotsArgs{Account: a.key, Epoch: a.core.Epoch(), Holder: m.o.Self}
	a.mu.Unlock()
	group := new(errgroup.Group)
	group.SetLimit(parallelCalls)
	for _, peer := range listed {
		group.Go(func() error { m.askRouter(ctx, a, peer, &args); return nil })
	}
	_ = group.Wait()
}

func (m *Manager) askRouter(ctx context.Context, a *account, peer Peer, args *wire.LotsArgs) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply wire.LotsReply
	router, err := m.o.Caller.Call(ctx, peer.Address, "Wallet.Lots", args, &reply)
	if err != nil {
		return
	}
	m.live.alive(router)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !reply.Adopted {
		a.core.ObserveEpoch(reply.Epoch)
		return
	}
	a.core.ApplyRouterLots(time.Now(), router, reply.Lots)
}

// reconcile collects from all agents after a takeover.
func (m *Manager) reconcile(ctx context.Context, a *account) {
	a.mu.Lock()
	epoch := a.core.Epoch()
	a.mu.Unlock()
	args := wire.CollectArgs{Account: a.key, MinAccountEpoch: epoch, MinClaimEpoch: epoch, WithClaims: true}
	round := m.collect(ctx, a, &args)
	a.mu.Lock()
	defer a.mu.Unlock()
	m.finishClaims(a, round)
	if !a.core.Reconciling() {
		return
	}
	lost := round.lostSince(a.lastFlush)
	if !a.lastFlush.IsZero() && m.started.After(a.lastFlush.Add(-flushClockTolerance)) {
		// Agents that vanished before this process started are not known here.
		lost = append(lost, budget.LostAgent{Agent: budget.Incarnation{Name: "unknown"}})
	}
	if err := a.core.FinishReconcile(time.Now(), round.agents, lost, false); err == nil {
		m.log.Info("account reconciled", "shard", a.key.Shard, "region", a.key.Region, "epoch", epoch)
	}
}

// finishClaims ends the rebuild of the claims once all agents have answered, or
// after a bounded time. The caller holds a.mu.
func (m *Manager) finishClaims(a *account, round *collectRound) {
	if !a.claims.rebuilding {
		return
	}
	waited := time.Since(a.takenOver) > claimRebuildLimit
	if len(round.silent) > 0 && !waited {
		return
	}
	floor := m.started
	if len(round.silent) > 0 {
		floor = a.takenOver
	}
	for _, agent := range round.lost {
		if agent.DetectedAt.After(floor) {
			floor = agent.DetectedAt
		}
	}
	a.claims.finishRebuild(floor)
}

// collectRound is the result of asking all agents once.
type collectRound struct {
	mu sync.Mutex
	// agents lists the present run of each agent, without its boot if it did not
	// answer.
	agents []budget.Incarnation
	// lost lists runs whose memory is gone. The run before the present one is
	// named without a boot.
	lost   []budget.LostAgent
	silent []string // did not answer
}

// lostSince returns the lost agents whose memory was lost after the account's
// last flush. Bills from before are durable.
func (r *collectRound) lostSince(flush time.Time) []budget.LostAgent {
	out := make([]budget.LostAgent, 0, len(r.lost))
	for _, agent := range r.lost {
		if agent.DetectedAt.IsZero() || flush.IsZero() || agent.DetectedAt.After(flush.Add(-flushClockTolerance)) {
			out = append(out, agent)
		}
	}
	return out
}

// collect asks all known agents what they know about an account and gives the
// answers to the holder.
func (m *Manager) collect(ctx context.Context, a *account, args *wire.CollectArgs) *collectRound {
	round := new(collectRound)
	group := new(errgroup.Group)
	group.SetLimit(parallelCalls)
	for _, life := range m.live.knownAgents() {
		group.Go(func() error { m.collectFrom(ctx, a, args, life, round); return nil })
	}
	_ = group.Wait()
	return round
}

func (m *Manager) collectFrom(ctx context.Context, a *account, args *wire.CollectArgs, life agentLife, round *collectRound) {
	name := life.peer.Name
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply wire.CollectReply
	who, err := m.o.Caller.Call(callCtx, life.peer.Address, "Agent.Collect", args, &reply)
	ok := err == nil && who.Name == name
	gone := m.live.agentAnswered(name, ok)
	unnamed := budget.Incarnation{Name: name}
	round.mu.Lock()
	switch {
	case ok:
		start := time.Now().Add(-time.Duration(reply.UptimeMillis) * time.Millisecond)
		round.agents = append(round.agents, reply.Agent)
		round.lost = append(round.lost, budget.LostAgent{Agent: unnamed, DetectedAt: start})
	case gone:
		round.lost = append(round.lost, budget.LostAgent{Agent: unnamed, DetectedAt: life.lastListed})
	default:
		round.agents = append(round.agents, unnamed)
		round.silent = append(round.silent, name)
	}
	round.mu.Unlock()
	if ok {
		m.applyCollected(ctx, a, args, &reply)
	}
}

func (m *Manager) applyCollected(ctx context.Context, a *account, args *wire.CollectArgs, reply *wire.CollectReply) {
	collected := budget.CollectResult{
		Agent: reply.Agent, Bills: reply.Bills, RouterBoots: reply.RouterBoots, Running: reply.Running,
		AccountEpoch: reply.AccountEpoch, Fenced: args.FenceRouter, FencedBefore: args.FenceBefore,
	}
	now := time.Now()
	a.mu.Lock()
	acks := a.core.ApplyCollectResult(now, collected)
	for _, c := range reply.Claims {
		a.claims.restore(now, reply.Agent, c)
	}
	a.mu.Unlock()
	m.acknowledge(ctx, acks)
}

func (m *Manager) ackBills(ctx context.Context, address string, attempts []uuid.UUID) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply wire.Empty
	if _, err := m.o.Caller.Call(ctx, address, "Agent.AckBills", &wire.AckBillsArgs{Attempts: attempts}, &reply); err != nil {
		m.log.Debug("agent not told about durable bills", "address", address, "error", err)
	}
}
