package daemon

import (
	"context"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/admission"
	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/config"
	"github.com/monsoonworks/monsoonworks/internal/gateway"
	"github.com/monsoonworks/monsoonworks/internal/holder"
	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/syncer"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// view gives access to the syncer's local copy of the configuration, host list and holder
// records. *syncer.Syncer implements it.
type view interface {
	Config() *config.Snapshot
	Hosts() *hosts.List
	Holder(budget.Account) (config.HolderRecord, bool)
	Changed() <-chan struct{}
	Status() syncer.Status
}

// fleetView adapts the view to the interfaces of the router's components. It adds self to
// the routers, because the host list can lag behind the start of this process.
type fleetView struct {
	view
	self hosts.Host
}

// Routers implements holder.Directory.
func (f fleetView) Routers(region string) []holder.Peer {
	var out []holder.Peer
	for _, h := range f.routerHosts() {
		if h.Region == region {
			out = append(out, holder.Peer{Name: h.Name, Address: h.Address, Leaving: h.Leaving})
		}
	}
	return out
}

// routerHosts returns the routers of all regions, including this one.
func (f fleetView) routerHosts() []hosts.Host {
	listed := f.Hosts().ByRole(wire.RoleRouter)
	if _, ok := f.Hosts().Get(f.self.Name); ok {
		return listed
	}
	return append([]hosts.Host{f.self}, listed...)
}

// liveRouters returns the number of routers that are not leaving.
func (f fleetView) liveRouters() int {
	n := 0
	for _, h := range f.routerHosts() {
		if !h.Leaving {
			n++
		}
	}
	return n
}

// Agents implements holder.Directory.
func (f fleetView) Agents() []holder.Peer {
	var out []holder.Peer
	for _, h := range f.Hosts().ByRole(wire.RoleAgent) {
		out = append(out, holder.Peer{Name: h.Name, Address: h.Address, Leaving: h.Leaving})
	}
	return out
}

// Servers implements route.Fleet.
func (f fleetView) Servers(kind wire.TargetKind, target string) []hosts.Host {
	want := config.PoolModel
	if kind == wire.KindService {
		want = config.PoolService
	}
	var out []hosts.Host
	for _, pool := range f.Config().Pools {
		if pool.Kind != want {
			continue
		}
		for _, served := range pool.Targets {
			if served == target {
				out = append(out, f.Hosts().ByPool(pool.Name)...)
			}
		}
	}
	return out
}

// All implements route.Fleet.
func (f fleetView) All() []hosts.Host { return f.Hosts().ByRole(wire.RoleAgent) }

// Server implements dispatch.Servers.
func (f fleetView) Server(name string) (hosts.Host, bool) { return f.Hosts().Get(name) }

// linkBytesPerSecond returns this router's share of the link to other regions, which is
// divided equally among the routers of the region that are not leaving.
func (f fleetView) linkBytesPerSecond() int64 {
	routers := 0
	for _, h := range f.routerHosts() {
		if h.Region == f.self.Region && !h.Leaving {
			routers++
		}
	}
	return f.Config().Deployment.LinkBytesPerSecond / int64(max(1, routers))
}

// limits returns the admission limits of a workspace.
func (f fleetView) limits(workspace string) admission.Limits {
	w := f.Config().Workspaces[workspace]
	return admission.Limits{Concurrent: w.MaxConcurrent, PerSecond: w.RequestsPerSecond}
}

// policy returns the policy of the budgets, from the deployment's configuration.
func (f fleetView) policy() budget.Policy {
	d := f.Config().Deployment
	return budget.Policy{RefusalWeight: d.RefusalWeight, Accounts: int(d.Shards) * len(d.Regions)}
}

// gatewayDirectory implements gateway.Directory on the configuration.
type gatewayDirectory struct {
	fleetView
	ready func() bool
}

// Workspace implements gateway.Directory.
func (d gatewayDirectory) Workspace(name string) (gateway.Workspace, bool) {
	w, ok := d.Config().Workspaces[name]
	return gateway.Workspace{
		Name: w.Name, HomeRegion: w.HomeRegion, Models: w.Models, Services: w.Services, Priority: w.Priority,
	}, ok
}

// Model implements gateway.Directory.
func (d gatewayDirectory) Model(name string) (gateway.Model, bool) {
	m, ok := d.Config().Models[name]
	return gateway.Model{
		Name: m.Name, PromptTokensPerByte: m.PromptTokensPerByte,
		MessageOverheadTokens: m.MessageOverheadTokens, MaxOutputTokens: m.MaxOutputTokens,
		Deadline: time.Duration(m.DeadlineMillis) * time.Millisecond,
	}, ok
}

// Service implements gateway.Directory.
func (d gatewayDirectory) Service(name string) (gateway.Service, bool) {
	s, ok := d.Config().Services[name]
	return gateway.Service{
		Name: s.Name, Price: s.PriceTokens, IdempotentMethods: s.IdempotentMethods,
		Deadline: time.Duration(s.DeadlineMillis) * time.Millisecond, MaxBodyBytes: s.MaxBodyBytes,
	}, ok
}

// Ready implements gateway.Directory.
func (d gatewayDirectory) Ready() bool { return d.ready() }

// claims implements dispatch.Claims: it claims idempotency keys at the holders of accounts.
type claims struct {
	client *holder.Client
	shards uint32
}

// Claim implements dispatch.Claims.
func (c claims) Claim(ctx context.Context, home string, id budget.ID, args *wire.ClaimArgs) (wire.ClaimReply, error) {
	args.Account = budget.Account{Shard: budget.ShardOf(id, c.shards), Region: home}
	return c.client.Claim(ctx, args)
}

// suspectPeers implements suspect.Peers on the host list and the RPC client.
type suspectPeers struct {
	fleetView
	client peerClient
}

// Routers implements suspect.Peers.
func (p suspectPeers) Routers() []hosts.Host {
	var out []hosts.Host
	for _, h := range p.routerHosts() {
		if !h.Leaving {
			out = append(out, h)
		}
	}
	return out
}

// Call implements suspect.Peers.
func (p suspectPeers) Call(ctx context.Context, address, method string, args, reply any) error {
	_, err := p.client.Call(ctx, address, method, args, reply)
	return err
}
