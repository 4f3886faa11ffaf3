package holder

import (
	"context"
	"sync"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// forgetAgentsAfter is how long an agent is remembered after the host list has
// dropped it. It covers the longest recovery.
const forgetAgentsAfter = time.Hour

// liveness remembers which routers answered and which agents were listed.
type liveness struct {
	caller Caller

	mu      sync.Mutex
	routers map[string]*routerLife
	agents  map[string]*agentLife
}

// routerLife is what is known about the process of one name.
type routerLife struct {
	boot      budget.BootID
	lastAlive time.Time
	failedAt  time.Time // first failure since lastAlive; zero if none
}

// agentLife is what is known about an agent of the host list.
type agentLife struct {
	peer       Peer
	lastListed time.Time
	listed     bool
	// lastFailed and failingSince tell how long a vanished agent has been
	// unreachable.
	failingSince time.Time
}

func newLiveness(caller Caller) *liveness {
	return &liveness{caller: caller, routers: map[string]*routerLife{}, agents: map[string]*agentLife{}}
}

// alive records that an incarnation of a router answered or called.
func (l *liveness) alive(router budget.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.routers[router.Name] = &routerLife{boot: router.Boot, lastAlive: time.Now()}
}

// failed records that a process could not be reached and returns for how long it
// has not been.
func (l *liveness) failed(name string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	life := l.routers[name]
	if life == nil {
		life = &routerLife{}
		l.routers[name] = life
	}
	now := time.Now()
	if life.failedAt.IsZero() {
		life.failedAt = now
	}
	return now.Sub(life.failedAt)
}

// ping asks a process whether it is alive. It returns the incarnation that
// answered, or for how long the process could not be reached.
func (l *liveness) ping(ctx context.Context, peer Peer) (budget.Incarnation, time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply wire.PingReply
	who, err := l.caller.Call(ctx, peer.Address, "Holder.Ping", &wire.Empty{}, &reply)
	if err != nil || who.Name != peer.Name {
		return budget.Incarnation{}, l.failed(peer.Name), false
	}
	l.alive(who)
	return who, 0, true
}

// dead is unreachable for a router that nobody misses: one that was heard of
// lately is not asked.
func (l *liveness) dead(ctx context.Context, router budget.Incarnation, listed []Peer) bool {
	l.mu.Lock()
	life := l.routers[router.Name]
	recent := life != nil && life.boot == router.Boot && time.Since(life.lastAlive) < silentAfter
	l.mu.Unlock()
	return !recent && l.unreachable(ctx, router, listed)
}

// unreachable reports whether a router incarnation is certainly or presumably
// dead: the host runs another incarnation, is not listed, or cannot be reached.
func (l *liveness) unreachable(ctx context.Context, router budget.Incarnation, listed []Peer) bool {
	for _, peer := range listed {
		if peer.Name != router.Name {
			continue
		}
		who, silence, ok := l.ping(ctx, peer)
		if ok {
			return who.Boot != router.Boot
		}
		return silence >= deadAfter
	}
	return l.failed(router.Name) >= deadAfter
}

// observeAgents updates the memory of listed agents.
func (l *liveness) observeAgents(now time.Time, listed []Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, life := range l.agents {
		life.listed = false
	}
	for _, peer := range listed {
		life := l.agents[peer.Name]
		if life == nil {
			life = &agentLife{}
			l.agents[peer.Name] = life
		}
		life.peer, life.listed, life.lastListed = peer, true, now
	}
	for name, life := range l.agents {
		if now.Sub(life.lastListed) > forgetAgentsAfter {
			delete(l.agents, name)
		}
	}
}

// knownAgents returns the agents that are listed or were listed lately.
func (l *liveness) knownAgents() []agentLife {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]agentLife, 0, len(l.agents))
	for _, life := range l.agents {
		out = append(out, *life)
	}
	return out
}

// agentAnswered records whether an agent answered a collection and reports
// whether its memory counts as lost.
func (l *liveness) agentAnswered(name string, ok bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	life := l.agents[name]
	if life == nil || ok {
		if life != nil {
			life.failingSince = time.Time{}
		}
		return false
	}
	now := time.Now()
	if life.failingSince.IsZero() {
		life.failingSince = now
	}
	return !life.listed && now.Sub(life.failingSince) >= goneAfter
}

// agentAddress returns the address of an agent by name.
func (l *liveness) agentAddress(name string) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if life := l.agents[name]; life != nil {
		return life.peer.Address, true
	}
	return "", false
}
