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

// maxFlushClockSkew is the largest clock difference assumed between two holders of
// an account. It applies when this holder compares a time of its own clock with the
// previous holder's last flush: an event counts as later than the flush unless it was
// earlier by at least this time.
const maxFlushClockSkew = 10 * time.Second

// recover runs one recovery round of an account: it fences dead routers and, after a
// takeover, reconciles the account.
func (m *Manager) recover(ctx context.Context, a *account) {
	listed := m.opts.Directory.Routers(m.opts.Region)
	m.beginFences(ctx, a, listed)
	a.mu.Lock()
	fences, reconciling := a.core.Fences(), a.core.Reconciling() || a.claims.rebuilding
	a.mu.Unlock()
	if reconciling {
		m.fetchLots(ctx, a, listed)
		m.reconcile(ctx, a)
	}
	for _, fence := range fences {
		m.settleFence(ctx, a, fence)
	}
	a.mu.Lock()
	m.logViolations(a)
	a.mu.Unlock()
}

// beginFences begins to fence the dead routers that have lots.
func (m *Manager) beginFences(ctx context.Context, a *account, listed []Peer) {
	a.mu.Lock()
	routers := a.core.Routers()
	a.mu.Unlock()
	for _, router := range routers {
		if router == m.opts.Self || router.Name == "" || !m.live.isDeadCached(ctx, router, listed) {
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

// settleFence orders the agents to refuse the lots of a dead router, collects the bills
// and running attempts of the account from them, and settles the lots if the collection
// is complete.
func (m *Manager) settleFence(ctx context.Context, a *account, order budget.FenceOrder) {
	args := wire.CollectArgs{Account: a.key, FenceRouter: &order.Router, FenceBefore: order.Before}
	result := m.collect(ctx, a, &args)
	a.mu.Lock()
	defer a.mu.Unlock()
	err := a.core.FinishFence(time.Now(), order.Router, result.agents, result.lost)
	if err == nil {
		m.log.Info("lots of a dead router settled", "router", order.Router.Name,
			"shard", a.key.Shard, "region", a.key.Region)
	}
}

// fetchLots fetches the lots of the region's routers after a takeover.
func (m *Manager) fetchLots(ctx context.Context, a *account, listed []Peer) {
	a.mu.Lock()
	args := wire.LotsArgs{Account: a.key, Epoch: a.core.Epoch(), Holder: m.opts.Self}
	a.mu.Unlock()
	group := new(errgroup.Group)
	group.SetLimit(maxParallelCalls)
	for _, peer := range listed {
		group.Go(func() error { m.fetchLotsFrom(ctx, a, peer, &args); return nil })
	}
	_ = group.Wait()
}

func (m *Manager) fetchLotsFrom(ctx context.Context, a *account, peer Peer, args *wire.LotsArgs) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply wire.LotsReply
	router, err := m.opts.RPC.Call(ctx, peer.Address, "Wallet.Lots", args, &reply)
	if err != nil {
		return
	}
	m.live.markAlive(router)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !reply.Adopted {
		a.core.ObserveEpoch(reply.Epoch)
		return
	}
	a.core.ApplyRouterLots(time.Now(), router, reply.Lots)
}

// reconcile runs one round of the reconciliation after a takeover: it collects
// claims and bills from all agents and finishes if nothing is missing.
func (m *Manager) reconcile(ctx context.Context, a *account) {
	a.mu.Lock()
	epoch := a.core.Epoch()
	a.mu.Unlock()
	args := wire.CollectArgs{Account: a.key, MinAccountEpoch: epoch, MinClaimEpoch: epoch, WithClaims: true}
	result := m.collect(ctx, a, &args)
	a.mu.Lock()
	defer a.mu.Unlock()
	m.finishClaimRebuild(a, result)
	if !a.core.Reconciling() {
		return
	}
	lost := result.lostSince(a.previousHolderFlush)
	if !a.previousHolderFlush.IsZero() && m.started.After(a.previousHolderFlush.Add(-maxFlushClockSkew)) {
		// Agents that were removed from the host list before this process started are
		// unknown to it. One of them may have run requests after the previous holder's
		// last flush.
		lost = append(lost, budget.LostAgent{Agent: budget.Incarnation{Name: "unknown"}})
	}
	if err := a.core.FinishReconcile(time.Now(), result.agents, lost, false); err == nil {
		m.log.Info("account reconciled", "shard", a.key.Shard, "region", a.key.Region, "epoch", epoch)
	}
}

// finishClaimRebuild ends the rebuild of the claims when all agents have replied or
// count as lost, or after claimRebuildTimeout. It sets the deduplication horizon to the
// latest time at which claims may have been lost. That is never before the start of
// this process, to which agents that were removed from the host list earlier are unknown.
// The caller holds a.mu.
func (m *Manager) finishClaimRebuild(a *account, result *collectResult) {
	if !a.claims.rebuilding {
		return
	}
	timedOut := time.Since(a.takenOver) > claimRebuildTimeout
	if len(result.unresponsive) > 0 && !timedOut {
		return
	}
	horizon := m.started
	if len(result.unresponsive) > 0 {
		horizon = a.takenOver
	}
	for _, agent := range result.lost {
		if agent.LatestUse.After(horizon) {
			horizon = agent.LatestUse
		}
	}
	a.claims.finishRebuild(horizon)
}

// collectResult is the result of one collection from all agents.
type collectResult struct {
	mu sync.Mutex
	// agents holds the incarnations that replied, and the agents that did not reply
	// and do not count as lost, the latter with a zero boot ID.
	agents []budget.Incarnation
	// lost holds the incarnations whose memory is lost, with a zero boot ID: for each
	// agent that replied, one entry for all its former incarnations, and one for each
	// agent that counts as lost.
	lost         []budget.LostAgent
	unresponsive []string // names of the agents that did not reply and do not count as lost
}

// lostSince returns the agents whose memory may have been lost after the given flush
// of the account. Bills in memory that was lost earlier are durable.
func (r *collectResult) lostSince(flush time.Time) []budget.LostAgent {
	out := make([]budget.LostAgent, 0, len(r.lost))
	for _, agent := range r.lost {
		if agent.LatestUse.IsZero() || flush.IsZero() || agent.LatestUse.After(flush.Add(-maxFlushClockSkew)) {
			out = append(out, agent)
		}
	}
	return out
}

// collect collects the bills and claims of an account from all known agents and
// applies them to the account.
func (m *Manager) collect(ctx context.Context, a *account, args *wire.CollectArgs) *collectResult {
	result := new(collectResult)
	group := new(errgroup.Group)
	group.SetLimit(maxParallelCalls)
	for _, agent := range m.live.knownAgents() {
		group.Go(func() error { m.collectFrom(ctx, a, args, agent, result); return nil })
	}
	_ = group.Wait()
	return result
}

func (m *Manager) collectFrom(ctx context.Context, a *account, args *wire.CollectArgs, agent agentState, result *collectResult) {
	name := agent.peer.Name
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply wire.CollectReply
	responder, err := m.opts.RPC.Call(callCtx, agent.peer.Address, "Agent.Collect", args, &reply)
	ok := err == nil && responder.Name == name
	memoryLost := m.live.recordCollect(name, ok)
	unknownBoot := budget.Incarnation{Name: name}
	result.mu.Lock()
	switch {
	case ok:
		agentStarted := time.Now().Add(-time.Duration(reply.UptimeMillis) * time.Millisecond)
		result.agents = append(result.agents, reply.Agent)
		result.lost = append(result.lost, budget.LostAgent{Agent: unknownBoot, LatestUse: agentStarted})
	case memoryLost:
		result.lost = append(result.lost, budget.LostAgent{Agent: unknownBoot, LatestUse: agent.lastListed})
	default:
		result.agents = append(result.agents, unknownBoot)
		result.unresponsive = append(result.unresponsive, name)
	}
	result.mu.Unlock()
	if ok {
		m.applyCollected(ctx, a, args, &reply)
	}
}

// applyCollected applies the bills and claims that an agent returned, and
// acknowledges the bills that the agent can delete at once.
func (m *Manager) applyCollected(ctx context.Context, a *account, args *wire.CollectArgs, reply *wire.CollectReply) {
	collected := budget.CollectResult{
		Agent: reply.Agent, Bills: reply.Bills, RouterBoots: reply.RouterBoots, Running: reply.Running,
		AccountEpoch: reply.AccountEpoch, FencedRouter: args.FenceRouter, FencedBefore: args.FenceBefore,
	}
	now := time.Now()
	a.mu.Lock()
	acks := a.core.ApplyCollectResult(now, collected)
	for _, c := range reply.Claims {
		a.claims.restore(now, reply.Agent, c)
	}
	a.mu.Unlock()
	m.sendAcks(ctx, acks)
}

func (m *Manager) ackBills(ctx context.Context, address string, attempts []uuid.UUID) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply wire.Empty
	if _, err := m.opts.RPC.Call(ctx, address, "Agent.AckBills", &wire.AckBillsArgs{Attempts: attempts}, &reply); err != nil {
		m.log.Debug("acknowledgement of durable bills to the agent failed", "address", address, "error", err)
	}
}
