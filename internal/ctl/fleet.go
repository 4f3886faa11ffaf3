package ctl

import (
	"context"
	"os"
	"os/user"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonworks/monsoonworks/internal/certs"
	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/settings"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// maxConcurrentCalls is the maximum number of processes that CallAll calls at once.
	maxConcurrentCalls = 64
	// callTimeout limits the call to one process, connection setup included. An
	// unresponsive process must not use up the timeout of the whole command.
	callTimeout = 3 * time.Second
)

// Fleet calls the processes on the host list.
type Fleet struct {
	Hosts   *hosts.List
	options wire.Options
}

// OpenFleet reads the host list from hostsURL. The tool authenticates to routers and
// agents as a process of the deployment does, so secretFile and tls are what a process
// has in its settings. It fails with ErrInput if hostsURL is missing, if both secretFile and
// tls are missing, or if their files cannot be used.
func OpenFleet(ctx context.Context, hostsURL, secretFile string, tls settings.TLS) (*Fleet, error) {
	if hostsURL == "" {
		return nil, InputErrorf("--hosts is needed for this command")
	}
	if secretFile == "" && !tls.Enabled() {
		return nil, InputErrorf("--secret-file or --tls-cert is needed for this command")
	}
	f := &Fleet{options: wire.Options{Hello: wire.Hello{Role: wire.RoleTool, Name: OperatorName(), Boot: uuid.New()}}}
	var err error
	if f.options.Secret, err = certs.LoadSecret(secretFile); err != nil {
		return nil, InputErrorf("%v", err)
	}
	if f.options.TLS, err = certs.PeerConfig(tls); err != nil {
		return nil, InputErrorf("%v", err)
	}
	f.Hosts, err = hosts.NewClient(hostsURL, nil).Fetch(ctx)
	return f, err
}

// OperatorName returns the user who runs the tool as "user@host".
func OperatorName() string {
	name := "operator"
	if u, err := user.Current(); err == nil && u.Username != "" {
		name = u.Username
	}
	if host, err := os.Hostname(); err == nil {
		name += "@" + host
	}
	return name
}

// CallResult is the outcome of a call to one process: its reply, or Err.
type CallResult[T any] struct {
	Host  hosts.Host
	Reply T
	Err   error
}

// CallAll concurrently calls an RPC method of all processes with the given role on
// the host list, or of all roles if role is empty. The results are sorted by host
// name. An error of one call does not affect the others.
func CallAll[T any](ctx context.Context, f *Fleet, role wire.Role, method string, args any) []CallResult[T] {
	var mu sync.Mutex
	var results []CallResult[T]
	group := new(errgroup.Group)
	group.SetLimit(maxConcurrentCalls)
	for _, h := range f.Hosts.All() {
		if role != "" && h.Role != role {
			continue
		}
		group.Go(func() error {
			result := CallResult[T]{Host: h}
			result.Err = f.call(ctx, h, method, args, &result.Reply)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result)
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(results, func(a, b CallResult[T]) int { return strings.Compare(a.Host.Name, b.Host.Name) })
	return results
}

func (f *Fleet) call(ctx context.Context, h hosts.Host, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	session, err := wire.Dial(ctx, h.Address, f.options, wire.Services{})
	if err != nil {
		return err
	}
	defer session.Close()
	return session.Call(ctx, method, args, reply)
}
