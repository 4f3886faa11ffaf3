package admin

import (
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// ErrNoMemory means that the process does not remember requests: it is an agent
// or a router without a configuration.
var ErrNoMemory = errors.New("this process does not remember requests")

// Service is the receiver of the calls "Admin.Status" and so on.
type Service struct {
	status func() wire.AdminStatus
	memory *Memory
}

// NewService returns a receiver. status describes the process; memory is nil for
// an agent.
func NewService(status func() wire.AdminStatus, memory *Memory) *Service {
	return &Service{status: status, memory: memory}
}

// Status describes the process.
func (s *Service) Status(_ *wire.Empty, reply *wire.AdminStatus) error {
	*reply = s.status()
	return nil
}

// Explain returns what the router remembers about a request.
func (s *Service) Explain(args *wire.AdminExplainArgs, reply *wire.AdminExplainReply) error {
	if s.memory == nil {
		return ErrNoMemory
	}
	if args.Request != uuid.Nil {
		reply.Records = s.memory.Explain(args.Request)
	}
	reply.Retention = s.memory.Reach()
	return nil
}

// Refusals counts how the requests of a workspace ended.
func (s *Service) Refusals(args *wire.AdminRefusalsArgs, reply *wire.AdminRefusalsReply) error {
	if s.memory == nil {
		return ErrNoMemory
	}
	since := time.Duration(min(max(args.SinceMillis, 0), MaxAge.Milliseconds())) * time.Millisecond
	*reply = s.memory.Refusals(args.Workspace, time.Now().Add(-since))
	return nil
}
