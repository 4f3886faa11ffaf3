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

// Limits on questions to the fleet.
const (
	// parallelAsks is the number of processes asked at once.
	parallelAsks = 64
	// askTimeout bounds the question to one process.
	askTimeout = 3 * time.Second
)

// Fleet asks the processes of the host list.
type Fleet struct {
	Hosts   *hosts.List
	options wire.Options
}

// OpenFleet reads the host list. secretFile and tls are as in the settings of a
// process; the tool needs what a process of the deployment needs.
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

// OperatorName returns who runs the tool, as "user@host".
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

// CallResult is what one process answered.
type CallResult[T any] struct {
	Host  hosts.Host
	Reply T
	Err   error
}

// CallAll calls a method of all listed processes of a role at once, of all roles if
// role is empty. The answers are in the order of the hosts' names.
func CallAll[T any](ctx context.Context, f *Fleet, role wire.Role, method string, args any) []CallResult[T] {
	var mu sync.Mutex
	var answers []CallResult[T]
	group := new(errgroup.Group)
	group.SetLimit(parallelAsks)
	for _, h := range f.Hosts.All() {
		if role != "" && h.Role != role {
			continue
		}
		group.Go(func() error {
			a := CallResult[T]{Host: h}
			a.Err = f.ask(ctx, h, method, args, &a.Reply)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(answers, func(a, b CallResult[T]) int { return strings.Compare(a.Host.Name, b.Host.Name) })
	return answers
}

func (f *Fleet) ask(ctx context.Context, h hosts.Host, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	session, err := wire.Dial(ctx, h.Address, f.options, wire.Services{})
	if err != nil {
		return err
	}
	defer session.Close()
	return session.Call(ctx, method, args, reply)
}
