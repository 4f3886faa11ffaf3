// Package daemon builds a router, agent, gate or relay process from its components and
// runs it until it has been drained. It is called by cmd/monsoond and by package testbed. It
// implements no request handling of its own.
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

// wireOptions returns the identity and the credentials of this process for its sessions.
func wireOptions(s settings.Settings, boot budget.BootID) (wire.Options, error) {
	o := wire.Options{Hello: wire.Hello{
		Role: s.Role, Name: s.Name, Region: s.Region, Domain: s.Domain, Boot: boot,
	}}
	var err error
	if o.Secret, err = certs.LoadSecret(s.Inner.SecretFile); err != nil {
		return o, err
	}
	o.TLS, err = certs.PeerConfig(s.Inner.TLS)
	return o, err
}

// peerClient calls RPC methods of other processes over pooled sessions.
type peerClient struct{ pool *wire.Pool }

// Call implements holder.RPCClient.
func (c peerClient) Call(ctx context.Context, address, method string, args, reply any) (budget.Incarnation, error) {
	session, err := c.pool.Get(ctx, address)
	if err != nil {
		return budget.Incarnation{}, err
	}
	peer := budget.Incarnation{Name: session.Peer.Name, Boot: session.Peer.Boot}
	return peer, session.Call(ctx, method, args, reply)
}

// dial implements syncer.Options.Dial.
func (c peerClient) dial(ctx context.Context, address string) (syncer.RPCClient, error) {
	return c.pool.Get(ctx, address)
}

// newBootID returns a unique identifier for this run of the process.
func newBootID() (budget.BootID, error) {
	boot, err := uuid.NewV7()
	if err != nil {
		return budget.BootID{}, fmt.Errorf("creating the boot ID: %w", err)
	}
	return boot, nil
}
