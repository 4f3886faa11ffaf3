package admin

import (
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// ErrNoHistory is returned by Explain and Refusals if the process is an agent, which has
// no history of requests.
var ErrNoHistory = errors.New("this process does not remember requests")

// Service is the receiver of the RPC methods "Admin.Status", "Admin.Explain" and
// "Admin.Refusals".
type Service struct {
	status  func() wire.AdminStatus
	history *History
}

// NewService returns a receiver. status returns the status of the process; history is
// nil for an agent.
func NewService(status func() wire.AdminStatus, history *History) *Service {
	return &Service{status: status, history: history}
}

// Status returns the status of the process.
func (s *Service) Status(_ *wire.Empty, reply *wire.AdminStatus) error {
	*reply = s.status()
	return nil
}

// Explain returns the records of a request.
func (s *Service) Explain(args *wire.AdminExplainArgs, reply *wire.AdminExplainReply) error {
	if s.history == nil {
		return ErrNoHistory
	}
	if args.Request != uuid.Nil {
		reply.Records = s.history.Explain(args.Request)
	}
	reply.Retention = s.history.Retention()
	return nil
}

// Refusals counts the requests of a workspace that have ended in a period until now, at
// most MaxAge, by code.
func (s *Service) Refusals(args *wire.AdminRefusalsArgs, reply *wire.AdminRefusalsReply) error {
	if s.history == nil {
		return ErrNoHistory
	}
	period := time.Duration(min(max(args.SinceMillis, 0), MaxAge.Milliseconds())) * time.Millisecond
	*reply = s.history.Refusals(args.Workspace, time.Now().Add(-period))
	return nil
}
