package daemon

import (
	"net/rpc"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/admin"
	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/syncer"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// toolServer returns the RPC server for sessions of the operators' tool.
func (r *Router) toolServer() *rpc.Server {
	return newRPCServer(map[string]any{"Admin": admin.NewService(r.adminStatus, r.recentRequests)})
}

func (r *Router) adminStatus() wire.AdminStatus {
	s := newAdminStatus(r.self, r.boot, r.started, r.sync.Status())
	s.Ready, s.Draining, s.InProgress = r.ready.Load(), r.draining.Load(), r.InProgress()
	r.mu.Lock()
	components := r.components
	r.mu.Unlock()
	if components != nil {
		s.Accounts = components.manager.Status()
	}
	return s
}

// services returns the RPC services of the agent's sessions. The operators' tool
// can only read the status: attempts, bills and engine commands are for routers.
func (a *Agent) services() wire.Services {
	services := a.agent.Services()
	routerServer := services.RPC
	toolServer := newRPCServer(map[string]any{"Admin": admin.NewService(a.adminStatus, nil)})
	services.RPC = func(peer wire.Hello) *rpc.Server {
		switch peer.Role {
		case wire.RoleRouter:
			return routerServer(peer)
		case wire.RoleTool:
			return toolServer
		}
		return nil
	}
	return services
}

func (a *Agent) adminStatus() wire.AdminStatus {
	s := newAdminStatus(a.self, a.boot, a.started, a.sync.Status())
	server := a.agent.Status()
	s.Server, s.Draining = &server, a.draining.Load()
	s.Ready = s.Synced && !server.Down && !s.Draining
	s.InProgress = int(server.Running + server.Queued)
	return s
}

// newAdminStatus returns the fields that the status of routers and agents share.
func newAdminStatus(self hosts.Host, boot [16]byte, started time.Time, syncStatus syncer.Status) wire.AdminStatus {
	lastContactMillis := syncStatus.LastContactAge.Milliseconds()
	if syncStatus.LastContactAge < 0 {
		lastContactMillis = -1
	}
	return wire.AdminStatus{
		Name: self.Name, Role: self.Role, Region: self.Region, Domain: self.Domain, Boot: boot,
		UptimeMillis: time.Since(started).Milliseconds(), ConfigVersion: syncStatus.Version,
		Synced: syncStatus.Synced, LastContactMillis: lastContactMillis, Distributor: syncStatus.Distributor,
	}
}
