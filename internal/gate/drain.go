package gate

import (
	"context"
	"errors"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/admission"
	"github.com/monsoonworks/monsoonworks/internal/catalog"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// errDrainEnds is the cause with which the context of a request ends shortly before the end of a
// drain.
var errDrainEnds = errors.New("the drain ends")

// Drain makes the gate close callers' connections after the responses to all requests
// that arrive from now on, and refuse those that might be cut off at the end of the drain.
// Requests in progress whose responses have not begun shortly before the end are answered then.
func (g *Gate) Drain(ends time.Time) {
	drain := admission.Drain{Began: time.Now(), Ends: ends}
	g.drain.Store(&drain)
	time.AfterFunc(time.Until(drain.AnswerBy()), g.endDrain)
}

// Draining reports whether Drain was called.
func (g *Gate) Draining() bool { return g.drain.Load() != nil }

// drained reports whether a drain has ended, which closes all callers' connections.
func (g *Gate) drained() bool {
	drain := g.drain.Load()
	return drain != nil && !time.Now().Before(drain.Ends)
}

// watchDrain sets the context of the request: it ends when the caller disconnects, and shortly before
// the end of a drain unless the response has begun. The returned function releases its resources.
func (p *proxyRequest) watchDrain() (release func()) {
	ctx, cancel := context.WithCancelCause(p.r.Context())
	p.ctx = ctx
	p.unwatchDrain = context.AfterFunc(p.gate.drainEnds, func() { cancel(errDrainEnds) })
	return func() {
		p.unwatchDrain()
		cancel(nil)
	}
}

// beginStream reports whether the stream may begin. A begun stream goes on until the end of a drain.
func (p *proxyRequest) beginStream() bool {
	if p.unwatchDrain() {
		return true
	}
	<-p.ctx.Done()
	return false
}

// declaredEvents returns the least number of events that hold the declared output tokens, 0 if none
// are declared.
func (p *proxyRequest) declaredEvents() int64 {
	if !p.requestInfo.TokensDeclared || p.service.Engine == nil {
		return 0
	}
	perEvent := int64(max(p.service.Engine.MaxTokensPerEvent, 1))
	return (p.requestInfo.MaxOutputTokens + perEvent - 1) / perEvent
}

// expectedTime returns the time that the response is expected to take, 0 if unknown.
func (p *proxyRequest) expectedTime() time.Duration {
	if p.route.Kind != catalog.Stream || p.requestInfo.LastEventID != "" {
		return 0
	}
	return p.gate.opts.Servers.ExpectedStreamTime(p.service.Name, p.promptClass(), p.declaredEvents())
}

// drainEnds reports whether the request must be answered now because of the end of a drain.
func (p *proxyRequest) drainEnds() bool { return errors.Is(context.Cause(p.ctx), errDrainEnds) }

// drainRefusal returns the refusal of a request that another gate can serve.
func drainRefusal(detail string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeDraining, "%s", detail).WithRetryAfter(retryAfterDraining)
}
