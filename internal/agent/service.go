package agent

import (
	"context"
	"errors"
	"io"
	"net/http"

	"go.opentelemetry.io/otel/attribute"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/engine"
	"github.com/monsoonworks/monsoonworks/internal/telemetry"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// serviceReadBytes is the maximum size of one read from a service's response,
// which is sent as one frame.
const serviceReadBytes = 32 << 10

// runService executes a call to a plain service. The call costs the whole
// reservation, or nothing if there is no response.
func (a *Agent) runService(ctx context.Context, at *attempt) (*wire.Done, *budget.Bill) {
	ctx, span := telemetry.StartSpan(ctx, "service.call", attribute.String("monsoon.service", at.req.Target))
	defer span.End()
	resp, err := a.service.Call(ctx, &engine.ServiceRequest{
		Method: at.req.Method, Path: at.req.Path, Headers: at.req.Headers, Body: at.body,
		Idempotent: at.req.Idempotent,
	})
	cause := context.Cause(at.ctx)
	switch {
	case errors.Is(err, engine.ErrInvalidRequest):
		return &wire.Done{Verdict: verdict.NotRun, Code: verdict.CodeBadRequest, Detail: err.Error()}, nil
	case errors.Is(err, engine.ErrNotSent) && cause != nil:
		return &wire.Done{Verdict: verdict.NotRun, Code: codeForCause(cause), Detail: cause.Error()}, nil
	case errors.Is(err, engine.ErrNotSent):
		a.setServerDown(true)
		return &wire.Done{Verdict: verdict.NotRun, Code: verdict.CodeNoServer, Detail: "the service cannot be reached"}, nil
	case err != nil:
		return a.serviceFailed(at, err, verdict.Unknown), nil
	}
	defer func() { _ = resp.Body.Close() }()
	at.response.setHead(&wire.Head{
		Attempt: at.id, Status: resp.StatusCode, Headers: engine.ResponseHeaders(resp.Header),
	})
	bill := a.newBill(at, 0, 0, at.req.MaxCost)
	err = a.copyResponse(at, resp)
	a.estimator.recordRun(sinceStart(at), 0, 0)
	if err != nil {
		return a.serviceFailed(at, err, verdict.Ran), bill
	}
	return &wire.Done{Verdict: verdict.Ran}, bill
}

func (a *Agent) copyResponse(at *attempt, resp *http.Response) error {
	buffer := make([]byte, serviceReadBytes)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			if appendErr := at.response.append(at.ctx, 0, string(buffer[:n])); appendErr != nil {
				return appendErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// serviceFailed returns the Done message of a call whose response is incomplete.
// Unless the call was canceled, lost its readers or exceeded its deadline, it
// checks whether the server crashed.
func (a *Agent) serviceFailed(at *attempt, err error, v verdict.Verdict) *wire.Done {
	if cause := context.Cause(at.ctx); cause != nil {
		err = cause
	}
	done := &wire.Done{Verdict: v, Code: codeForCause(err), Detail: err.Error()}
	if errors.Is(err, errCanceled) || errors.Is(err, errRouterGone) || errors.Is(err, errDeadline) {
		return done
	}
	a.handleConnectionLoss(at, err)
	done.Code, done.Detail = verdict.CodeServerLost, "the service was lost while it ran the request"
	return done
}
