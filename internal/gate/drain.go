package gate

import (
	"context"
	"errors"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/admission"
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

// drainEnds reports whether the request must be answered now because of the end of a drain.
func (p *proxyRequest) drainEnds() bool { return errors.Is(context.Cause(p.ctx), errDrainEnds) }

// drainRefusal returns the refusal of a request that another gate can serve.
func drainRefusal(detail string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeDraining, "%s", detail).WithRetryAfter(retryAfterDraining)
}
