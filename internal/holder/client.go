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

// ErrNoHolder means that no holder of an account could be reached.
var ErrNoHolder = errors.New("no holder of the account was reached")

// candidates returns the routers that may hold an account, best first: the
// rendezvous order of those that are not leaving.
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
	text := fmt.Sprintf("%d/%s", key.Shard, key.Region)
	for len(names) > 0 {
		r := rendezvous.New(names, xxhash.Sum64String)
		best := r.Lookup(text)
		out = append(out, byName[best])
		names = deleteName(names, best)
	}
	return out
}

func deleteName(names []string, name string) []string {
	return slices.DeleteFunc(names, func(n string) bool { return n == name })
}

// Client reaches the holders of accounts for a router.
type Client struct {
	directory Directory
	caller    Caller
}

// NewClient returns a client.
func NewClient(directory Directory, caller Caller) *Client {
	return &Client{directory: directory, caller: caller}
}

// Exchange sends a request to the account's holder. If it is not known or does
// not answer, the candidates are asked, one of which takes the account over.
func (c *Client) Exchange(ctx context.Context, req *budget.ExchangeRequest) (*budget.ExchangeReply, error) {
	var last error = ErrNoHolder
	for _, address := range c.addresses(req.Account) {
		reply := new(budget.ExchangeReply)
		callCtx, cancel := context.WithTimeout(ctx, callTimeout/2)
		_, err := c.caller.Call(callCtx, address, "Holder.Exchange", req, reply)
		cancel()
		switch {
		case err != nil:
			last = err
		case !reply.NotHolder || reply.Epoch > req.Epoch:
			return reply, nil
		default:
			last = ErrNoHolder
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	return nil, last
}

// Claim asks the home of an idempotency key for the right to run a request.
func (c *Client) Claim(ctx context.Context, args *wire.ClaimArgs) (wire.ClaimReply, error) {
	var last error = ErrNoHolder
	for _, address := range c.addresses(args.Account) {
		var reply wire.ClaimReply
		callCtx, cancel := context.WithTimeout(ctx, callTimeout/2)
		_, err := c.caller.Call(callCtx, address, "Holder.Claim", args, &reply)
		cancel()
		switch {
		case err != nil:
			last = err
		case reply.Outcome != wire.ClaimUnavailable:
			return reply, nil
		default:
			last = ErrNoHolder
		}
		if ctx.Err() != nil {
			return wire.ClaimReply{}, ctx.Err()
		}
	}
	return wire.ClaimReply{}, last
}

// maxAsked bounds how many processes are asked for one question.
const maxAsked = 3

// addresses lists whom to ask about an account, the known holder first.
func (c *Client) addresses(key budget.Account) []string {
	var out []string
	routers := c.directory.Routers(key.Region)
	record, ok := c.directory.Holder(key)
	if ok && !record.Released {
		out = append(out, addressOf(record, routers))
	}
	for _, peer := range candidates(key, routers) {
		if len(out) >= maxAsked {
			break
		}
		if len(out) == 0 || out[0] != peer.Address {
			out = append(out, peer.Address)
		}
	}
	return out
}

// AckBills tells an agent which bills are durable.
func (c *Client) AckBills(ctx context.Context, address string, attempts []uuid.UUID) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.caller.Call(ctx, address, "Agent.AckBills", &wire.AckBillsArgs{Attempts: attempts}, &wire.Empty{})
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

// addressOf returns the address of a holder. The host list goes before the
// record, because a host can have different addresses for different regions.
func addressOf(record Record, routers []Peer) string {
	for _, peer := range routers {
		if peer.Name == record.Name {
			return peer.Address
		}
	}
	return record.Address
}
