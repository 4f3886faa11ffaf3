package holder

import (
	"context"
	"sync"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// agentRetention is how long an agent is kept after it was removed from the host
// list. It exceeds the duration of the longest recovery.
const agentRetention = time.Hour

// liveness tracks when routers last called or replied and which agents are in the host
// list. It is safe for concurrent use.
type liveness struct {
	rpc RPCClient

	mu      sync.Mutex
	routers map[string]*routerState
	agents  map[string]*agentState
}

// routerState is the liveness of a router, whose name is the key in liveness.routers.
type routerState struct {
	boot         budget.BootID // of the incarnation that was heard from last
	lastSeen     time.Time     // when it was heard from last, zero if never
	failingSince time.Time     // first failed call since lastSeen; zero if none
}

// agentState is the liveness of an agent that is or was in the host list.
type agentState struct {
	peer       Peer
	lastListed time.Time // when the host list last had the agent
	listed     bool      // the host list has the agent now
	// failingSince is the time of the first failed collection since the last
	// successful one; zero if none has failed.
	failingSince time.Time
}

func newLiveness(rpc RPCClient) *liveness {
	return &liveness{rpc: rpc, routers: map[string]*routerState{}, agents: map[string]*agentState{}}
}

// markAlive records a call from an incarnation of a router, or a reply by it.
func (l *liveness) markAlive(router budget.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.routers[router.Name] = &routerState{boot: router.Boot, lastSeen: time.Now()}
}

// markFailed records a failed call to a router and returns for how long calls to it
// have been failing.
func (l *liveness) markFailed(name string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.routers[name]
	if state == nil {
		state = &routerState{}
		l.routers[name] = state
	}
	now := time.Now()
	if state.failingSince.IsZero() {
		state.failingSince = now
	}
	return now.Sub(state.failingSince)
}

// ping calls a router. It returns true and the incarnation that replied, or false and
// for how long calls to the router have been failing. A reply by a process with another
// name counts as a failure.
func (l *liveness) ping(ctx context.Context, peer Peer) (budget.Incarnation, time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply wire.PingReply
	responder, err := l.rpc.Call(ctx, peer.Address, "Holder.Ping", &wire.Empty{}, &reply)
	if err != nil || responder.Name != peer.Name {
		return budget.Incarnation{}, l.markFailed(peer.Name), false
	}
	l.markAlive(responder)
	return responder, 0, true
}

// isDeadCached is like isDead, but does not call a router that was heard from within
// the last pingAfter.
func (l *liveness) isDeadCached(ctx context.Context, router budget.Incarnation, listed []Peer) bool {
	l.mu.Lock()
	state := l.routers[router.Name]
	recent := state != nil && state.boot == router.Boot && time.Since(state.lastSeen) < pingAfter
	l.mu.Unlock()
	return !recent && l.isDead(ctx, router, listed)
}

// isDead pings a router and reports whether the given incarnation of it is dead:
// another incarnation replied, or the router has been unreachable or missing from
// the host list for deadAfter.
func (l *liveness) isDead(ctx context.Context, router budget.Incarnation, listed []Peer) bool {
	for _, peer := range listed {
		if peer.Name != router.Name {
			continue
		}
		responder, failing, ok := l.ping(ctx, peer)
		if ok {
			return responder.Boot != router.Boot
		}
		return failing >= deadAfter
	}
	return l.markFailed(router.Name) >= deadAfter
}

// updateAgents applies the current agents of the host list and deletes those that
// were removed from it more than agentRetention ago.
func (l *liveness) updateAgents(now time.Time, listed []Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, state := range l.agents {
		state.listed = false
	}
	for _, peer := range listed {
		state := l.agents[peer.Name]
		if state == nil {
			state = &agentState{}
			l.agents[peer.Name] = state
		}
		state.peer, state.listed, state.lastListed = peer, true, now
	}
	for name, state := range l.agents {
		if now.Sub(state.lastListed) > agentRetention {
			delete(l.agents, name)
		}
	}
}

// knownAgents returns the agents that are in the host list or were in it within
// agentRetention.
func (l *liveness) knownAgents() []agentState {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]agentState, 0, len(l.agents))
	for _, state := range l.agents {
		out = append(out, *state)
	}
	return out
}

// recordCollect records whether a collection from an agent succeeded. It reports
// whether the agent's memory counts as lost: the agent is not in the host list, and
// collections from it have been failing for agentLostAfter.
func (l *liveness) recordCollect(name string, ok bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.agents[name]
	if state == nil || ok {
		if state != nil {
			state.failingSince = time.Time{}
		}
		return false
	}
	now := time.Now()
	if state.failingSince.IsZero() {
		state.failingSince = now
	}
	return !state.listed && now.Sub(state.failingSince) >= agentLostAfter
}

// agentAddress returns the address of the agent with the given name.
func (l *liveness) agentAddress(name string) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state := l.agents[name]; state != nil {
		return state.peer.Address, true
	}
	return "", false
}
