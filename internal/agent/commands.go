package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/engine"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// commandTimeout bounds one command. Loading a model can take minutes.
const commandTimeout = 10 * time.Minute

// commandGuard serializes commands and rejects those with a stale fencing token.
type commandGuard struct {
	// inProgress is a semaphore for the command in progress.
	inProgress chan struct{}
	// mu guards the fields below. No other lock is acquired while it is held.
	mu           sync.Mutex
	highestToken int64
	tokenKnown   bool
}

// SetFencingToken sets the rollout leader's current fencing token, as read from
// the store. Until the first call the agent rejects all commands, because it
// cannot tell a deposed leader from the current one. A token lower than an
// earlier one has no effect.
func (a *Agent) SetFencingToken(fencingToken int64) {
	g := &a.commands
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokenKnown = true
	g.highestToken = max(g.highestToken, fencingToken)
}

// checkFencingToken rejects a command whose fencing token is below the highest
// one seen, and every command until SetFencingToken was called. The token of an
// accepted command becomes the highest one seen.
func (g *commandGuard) checkFencingToken(fencingToken int64) (reply wire.CommandReply, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.tokenKnown:
		return wire.CommandReply{Detail: "the current fence number is not known yet"}, false
	case fencingToken < g.highestToken:
		return wire.CommandReply{Fenced: true, Detail: "a higher fence number is known"}, false
	}
	g.highestToken = fencingToken
	return wire.CommandReply{}, true
}

// runCommand executes one command. The fencing token is checked before waiting
// for the command in progress, so that a deposed leader is rejected
// immediately, and again after the wait.
func (a *Agent) runCommand(args *wire.CommandArgs) wire.CommandReply {
	if a.model == nil {
		return wire.CommandReply{Detail: "a plain service takes no orders"}
	}
	if reply, ok := a.commands.checkFencingToken(args.FencingToken); !ok {
		a.metrics.fencedCommands.Inc(1)
		return reply
	}
	a.commands.inProgress <- struct{}{}
	defer func() { <-a.commands.inProgress }()
	if reply, ok := a.commands.checkFencingToken(args.FencingToken); !ok {
		a.metrics.fencedCommands.Inc(1)
		return reply
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	err := a.model.SendCommand(ctx, engine.Command{FencingToken: args.FencingToken, Kind: args.Kind, Model: args.Model, Value: args.Value})
	switch {
	case err == nil:
		return wire.CommandReply{Done: true}
	case errors.Is(err, engine.ErrFenced):
		a.metrics.fencedCommands.Inc(1)
		return wire.CommandReply{Fenced: true, Detail: err.Error()}
	default:
		return wire.CommandReply{Detail: err.Error()}
	}
}
