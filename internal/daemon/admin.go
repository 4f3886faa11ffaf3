package daemon

import (
	"net/rpc"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/admin"
	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/syncer"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// toolServer returns what the operators' tool may call at a router.
func (r *Router) toolServer() *rpc.Server {
	return newRPCServer(map[string]any{"Admin": admin.NewService(r.adminStatus, r.memory)})
}

func (r *Router) adminStatus() wire.AdminStatus {
	s := newStatus(r.self, r.boot, r.started, r.sync.Status())
	s.Ready, s.Draining, s.InProgress = r.ready.Load(), r.draining.Load(), r.InProgress()
	r.mu.Lock()
	parts := r.parts
	r.mu.Unlock()
	if parts != nil {
		s.Accounts = parts.manager.Status()
	}
	return s
}

// services returns what an agent offers on its sessions. The operators' tool
// can only ask for the status: attempts, bills and orders are for routers.
func (a *Agent) services() wire.Services {
	services := a.agent.Services()
	forRouters := services.RPC
	forTools := newRPCServer(map[string]any{"Admin": admin.NewService(a.adminStatus, nil)})
	services.RPC = func(peer wire.Hello) *rpc.Server {
		switch peer.Role {
		case wire.RoleRouter:
			return forRouters(peer)
		case wire.RoleTool:
			return forTools
		}
		return nil
	}
	return services
}

func (a *Agent) adminStatus() wire.AdminStatus {
	s := newStatus(a.self, a.boot, a.started, a.sync.Status())
	server := a.agent.Status()
	s.Server, s.Draining = &server, a.draining.Load()
	s.Ready = s.Synced && !server.Down && !s.Draining
	s.InProgress = int(server.Running + server.Queued)
	return s
}

// newStatus returns what the status of both roles has in common.
func newStatus(self hosts.Host, boot [16]byte, started time.Time, view syncer.Status) wire.AdminStatus {
	contact := view.LastContactAge.Milliseconds()
	if view.LastContactAge < 0 {
		contact = -1
	}
	return wire.AdminStatus{
		Name: self.Name, Role: self.Role, Region: self.Region, Domain: self.Domain, Boot: boot,
		UptimeMillis: time.Since(started).Milliseconds(), ConfigVersion: view.Version,
		Synced: view.Synced, LastContactMillis: contact, Distributor: view.Distributor,
	}
}
