package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/engine"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// orderTimeout bounds one order; loading a model can take minutes.
const orderTimeout = 10 * time.Minute

// orderGate lets orders through one at a time and refuses old fence numbers.
type orderGate struct {
	// turn has room for the one order that is carried out.
	turn chan struct{}
	// mu guards fence and known. It is a leaf.
	mu    sync.Mutex
	fence int64
	known bool
}

// SetFencingToken tells the agent the rollout leader's current fence number, as
// read from the store. Until the first call the agent refuses all orders, because
// it cannot tell an old leader from the current one. A lower number than one seen
// before changes nothing.
func (a *Agent) SetFencingToken(fence int64) {
	g := &a.orders
	g.mu.Lock()
	defer g.mu.Unlock()
	g.known = true
	g.fence = max(g.fence, fence)
}

// pass checks an order's fence number and remembers it.
func (g *orderGate) pass(fence int64) (reply wire.OrderReply, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.known:
		return wire.OrderReply{Detail: "the current fence number is not known yet"}, false
	case fence < g.fence:
		return wire.OrderReply{Fenced: true, Detail: "a higher fence number is known"}, false
	}
	g.fence = fence
	return wire.OrderReply{}, true
}

// order carries out one order. The fence number is checked before the wait for
// the order in progress, so that an old leader learns at once, and again after
// it.
func (a *Agent) order(args *wire.OrderArgs) wire.OrderReply {
	if a.model == nil {
		return wire.OrderReply{Detail: "a plain service takes no orders"}
	}
	if reply, ok := a.orders.pass(args.Fence); !ok {
		a.metrics.fencedOrders.Inc(1)
		return reply
	}
	a.orders.turn <- struct{}{}
	defer func() { <-a.orders.turn }()
	if reply, ok := a.orders.pass(args.Fence); !ok {
		a.metrics.fencedOrders.Inc(1)
		return reply
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	err := a.model.SendCommand(ctx, engine.Command{Fence: args.Fence, Kind: args.Kind, Model: args.Model, Value: args.Value})
	switch {
	case err == nil:
		return wire.OrderReply{Done: true}
	case errors.Is(err, engine.ErrFenced):
		a.metrics.fencedOrders.Inc(1)
		return wire.OrderReply{Fenced: true, Detail: err.Error()}
	default:
		return wire.OrderReply{Detail: err.Error()}
	}
}
