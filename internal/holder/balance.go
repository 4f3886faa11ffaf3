package holder

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// requestBalance asks other regions to return escrow, and routers of this region to
// release unused amounts of their lots, for requests that the account could not grant.
func (m *Manager) requestBalance(ctx context.Context, a *account) {
	a.mu.Lock()
	unmet := a.core.UnmetRequests(time.Now())
	a.mu.Unlock()
	if len(unmet) == 0 {
		return
	}
	needs := map[string][]wire.ReturnNeed{}
	routers := map[budget.Incarnation]bool{}
	for _, u := range unmet {
		for _, region := range u.Regions {
			needs[region] = append(needs[region], wire.ReturnNeed{Budget: u.Budget, Need: u.Amount})
		}
		for _, router := range u.Routers {
			routers[router] = true
		}
	}
	m.requestExchanges(ctx, routers, a.key)
	group := new(errgroup.Group)
	for region, list := range needs {
		group.Go(func() error { m.requestReturn(ctx, a, region, list); return nil })
	}
	_ = group.Wait()
}

// requestReturn asks another region's holder of the same shard to return escrow.
func (m *Manager) requestReturn(ctx context.Context, a *account, region string, needs []wire.ReturnNeed) {
	args := wire.ReturnArgs{Account: budget.Account{Shard: a.key.Shard, Region: region}, Needs: needs}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply wire.ReturnReply
	record, known := m.opts.Directory.Holder(args.Account)
	reachable := false
	if known {
		address := addressOf(record, m.opts.Directory.Routers(region))
		_, err := m.opts.RPC.Call(ctx, address, "Holder.Return", &args, &reply)
		reachable = err == nil && !reply.NotHolder && len(reply.Returned) == len(needs)
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, need := range needs {
		var returned budget.Tokens
		if reachable {
			returned = reply.Returned[i]
		}
		a.core.HandleReturnReply(now, need.Budget, region, reachable, returned)
	}
}

// requestExchanges asks routers to exchange immediately, so that they release the
// unused amounts of recalled lots before their next periodic exchange.
func (m *Manager) requestExchanges(ctx context.Context, routers map[budget.Incarnation]bool, key budget.Account) {
	if len(routers) == 0 {
		return
	}
	args := wire.LotsArgs{Account: key, Holder: m.opts.Self}
	group := new(errgroup.Group)
	group.SetLimit(maxParallelCalls)
	for _, peer := range m.opts.Directory.Routers(m.opts.Region) {
		for router := range routers {
			if router.Name == peer.Name {
				group.Go(func() error { m.requestExchange(ctx, peer, &args); return nil })
			}
		}
	}
	_ = group.Wait()
}

func (m *Manager) requestExchange(ctx context.Context, peer Peer, args *wire.LotsArgs) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := m.opts.RPC.Call(ctx, peer.Address, "Wallet.Poke", args, &wire.Empty{}); err != nil {
		m.log.Debug("request for an immediate exchange failed", "router", peer.Name, "error", err)
	}
}
