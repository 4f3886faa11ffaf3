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
	// maxParallelCalls limits the number of concurrent RPCs to the fleet.
	maxParallelCalls = 64
	// callTimeout limits connecting to one process and its reply together.
	callTimeout = 3 * time.Second
)

// Fleet calls the processes of the host list.
type Fleet struct {
	Hosts   *hosts.List
	options wire.Options
}

// OpenFleet fetches the host list from hostsURL. The tool authenticates as a
// process of the deployment does: secretFile and tls are as in its settings, and
// at least one of them is required.
func OpenFleet(ctx context.Context, hostsURL, secretFile string, tls settings.TLS) (*Fleet, error) {
	if hostsURL == "" {
		return nil, Input("--hosts is needed for this command")
	}
	if secretFile == "" && !tls.Enabled() {
		return nil, Input("--secret-file or --tls-cert is needed for this command")
	}
	f := &Fleet{options: wire.Options{Hello: wire.Hello{Role: wire.RoleTool, Name: OperatorName(), Boot: uuid.New()}}}
	var err error
	if f.options.Secret, err = certs.Secret(secretFile); err != nil {
		return nil, Input("%v", err)
	}
	if f.options.TLS, err = certs.Peers(tls); err != nil {
		return nil, Input("%v", err)
	}
	f.Hosts, err = hosts.NewClient(hostsURL, nil).Fetch(ctx)
	return f, err
}

// OperatorName returns "user@host" of the user who runs the tool. The user is
// "operator" if it cannot be determined; without a host name "@host" is omitted.
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

// CallResult is the reply of one process, or the error of the call.
type CallResult[T any] struct {
	Host  hosts.Host
	Reply T
	Err   error
}

// CallAll concurrently calls an RPC method of every listed process of a role, or
// of all roles if role is empty. The results are sorted by host name.
func CallAll[T any](ctx context.Context, f *Fleet, role wire.Role, method string, args any) []CallResult[T] {
	var mu sync.Mutex
	var results []CallResult[T]
	group := new(errgroup.Group)
	group.SetLimit(maxParallelCalls)
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
	slices.SortFunc(results, func(result, b CallResult[T]) int { return strings.Compare(result.Host.Name, b.Host.Name) })
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
