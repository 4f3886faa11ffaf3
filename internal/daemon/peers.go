// Package daemon assembles the parts of a router and of an agent into a running
// process.
package daemon

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/certs"
	"github.com/monsoonworks/monsoonworks/internal/settings"
	"github.com/monsoonworks/monsoonworks/internal/syncer"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// wireOptions returns how this process introduces itself to its peers.
func wireOptions(s settings.Settings, boot budget.BootID) (wire.Options, error) {
	o := wire.Options{Hello: wire.Hello{
		Role: s.Role, Name: s.Name, Region: s.Region, Domain: s.Domain, Boot: boot,
	}}
	var err error
	if o.Secret, err = certs.Secret(s.Inner.SecretFile); err != nil {
		return o, err
	}
	o.TLS, err = certs.Peers(s.Inner.TLS)
	return o, err
}

// caller calls methods of other processes over the pool's sessions.
type caller struct{ pool *wire.Pool }

// Call implements holder.Caller.
func (c caller) Call(ctx context.Context, address, method string, args, reply any) (budget.Incarnation, error) {
	session, err := c.pool.Get(ctx, address)
	if err != nil {
		return budget.Incarnation{}, err
	}
	who := budget.Incarnation{Name: session.Peer.Name, Boot: session.Peer.Boot}
	return who, session.Call(ctx, method, args, reply)
}

// dial implements syncer.Options.Dial.
func (c caller) dial(ctx context.Context, address string) (syncer.RPCClient, error) {
	return c.pool.Get(ctx, address)
}

// newBoot returns the identity of this run.
func newBoot() (budget.BootID, error) {
	boot, err := uuid.NewV7()
	if err != nil {
		return budget.BootID{}, fmt.Errorf("boot id: %w", err)
	}
	return boot, nil
}
