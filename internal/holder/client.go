package holder

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// ErrNoHolder means that no holder of an account could be reached, or that the
// router that was asked does not hold it.
var ErrNoHolder = errors.New("no holder of the account was reached")

// candidates returns the routers that may take an account over, in rendezvous
// order. Routers that are leaving are omitted.
func candidates(key budget.Account, routers []Peer) []Peer {
	byName := make(map[string]Peer, len(routers))
	names := make([]string, 0, len(routers))
	for _, peer := range routers {
		if !peer.Leaving {
			byName[peer.Name] = peer
			names = append(names, peer.Name)
		}
	}
	out := make([]Peer, 0, len(names))
	hashKey := fmt.Sprintf("%d/%s", key.Shard, key.Region)
	for len(names) > 0 {
		r := rendezvous.New(names, xxhash.Sum64String)
		best := r.Lookup(hashKey)
		out = append(out, byName[best])
		names = deleteName(names, best)
	}
	return out
}

func deleteName(names []string, name string) []string {
	return slices.DeleteFunc(names, func(n string) bool { return n == name })
}

// Client calls the holders of accounts, and agents, on behalf of a router.
type Client struct {
	directory Directory
	rpc       RPCClient
}

// NewClient returns a client that finds holders in directory and calls them through
// rpc.
func NewClient(directory Directory, rpc RPCClient) *Client {
	return &Client{directory: directory, rpc: rpc}
}

// Exchange sends a request to the account's holder. If the holder is unknown, does
// not reply or no longer holds the account, it tries the takeover candidates, one of
// which then takes the account over. It returns a NotHolder reply only if the epoch of
// the reply is above req.Epoch. It fails with ErrNoHolder, the error of the last call
// or the error of ctx.
func (c *Client) Exchange(ctx context.Context, req *budget.ExchangeRequest) (*budget.ExchangeReply, error) {
	var lastErr error = ErrNoHolder
	for _, address := range c.addresses(req.Account) {
		reply := new(budget.ExchangeReply)
		callCtx, cancel := context.WithTimeout(ctx, callTimeout/2)
		_, err := c.rpc.Call(callCtx, address, "Holder.Exchange", req, reply)
		cancel()
		switch {
		case err != nil:
			lastErr = err
		case !reply.NotHolder || reply.Epoch > req.Epoch:
			return reply, nil
		default:
			lastErr = ErrNoHolder
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	return nil, lastErr
}

// Claim claims an idempotency key at the holder of args.Account. It chooses the
// routers to call and reports errors like Exchange.
func (c *Client) Claim(ctx context.Context, args *wire.ClaimArgs) (wire.ClaimReply, error) {
	var lastErr error = ErrNoHolder
	for _, address := range c.addresses(args.Account) {
		var reply wire.ClaimReply
		callCtx, cancel := context.WithTimeout(ctx, callTimeout/2)
		_, err := c.rpc.Call(callCtx, address, "Holder.Claim", args, &reply)
		cancel()
		switch {
		case err != nil:
			lastErr = err
		case reply.Outcome != wire.ClaimUnavailable:
			return reply, nil
		default:
			lastErr = ErrNoHolder
		}
		if ctx.Err() != nil {
			return wire.ClaimReply{}, ctx.Err()
		}
	}
	return wire.ClaimReply{}, lastErr
}

// maxRoutersPerCall bounds the routers that are tried for one exchange or claim.
const maxRoutersPerCall = 3

// addresses returns the addresses of the routers to call for an account, the known
// holder first.
func (c *Client) addresses(key budget.Account) []string {
	var out []string
	routers := c.directory.Routers(key.Region)
	record, ok := c.directory.Holder(key)
	if ok && !record.Released {
		out = append(out, addressOf(record, routers))
	}
	for _, peer := range candidates(key, routers) {
		if len(out) >= maxRoutersPerCall {
			break
		}
		if len(out) == 0 || out[0] != peer.Address {
			out = append(out, peer.Address)
		}
	}
	return out
}

// AckBills tells an agent that the bills of the attempts are durable, so that it can
// delete its copies.
func (c *Client) AckBills(ctx context.Context, address string, attempts []uuid.UUID) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.rpc.Call(ctx, address, "Agent.AckBills", &wire.AckBillsArgs{Attempts: attempts}, &wire.Empty{})
	return err
}

// AgentGone reports whether no listed agent has the address.
func (c *Client) AgentGone(address string) bool {
	for _, peer := range c.directory.Agents() {
		if peer.Address == address {
			return false
		}
	}
	return true
}

// addressOf returns the address of a holder. The host list takes precedence over
// the record, because a host can have different addresses for different regions.
func addressOf(record Record, routers []Peer) string {
	for _, peer := range routers {
		if peer.Name == record.Name {
			return peer.Address
		}
	}
	return record.Address
}
