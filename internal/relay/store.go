package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/rpc"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

// Figures of the choice between the direct way and relays.
const (
	// directRecheck is how long calls go over relays after the store did not answer
	// directly. Then one call tries the direct way again.
	directRecheck = 1500 * time.Millisecond
	// relayTries is the number of relays that one call is tried at.
	relayTries = 2
	// relayPause is how long a relay is left alone that did not help.
	relayPause = 3 * time.Second
)

// Options configure a Store.
type Options struct {
	// Direct is the store without a relay.
	Direct PollingStore
	// Relays returns the addresses of relays, the preferred ones first.
	Relays  func() []string
	Log     *slog.Logger
	Metrics metrics.Registry
}

// Store reaches the platform's store directly or, while that fails, over relays.
// It implements store.KV and store.Watcher and is safe for concurrent use. Its
// mutex is a leaf.
type Store struct {
	opts    Options
	peers   *ClientPool
	relayed metrics.Counter
	failed  metrics.Counter

	mu          sync.Mutex
	directAfter time.Time // when the direct way is tried again
	indirect    bool
	current     string // the relay that helped last
}

// NewStore returns a store that tries the direct way first.
func NewStore(o Options) *Store {
	return &Store{
		opts: o, peers: NewClientPool(relayPause, TCPDialer()),
		relayed: metrics.GetOrRegisterCounter("monsoon.store.relayed", o.Metrics),
		failed:  metrics.GetOrRegisterCounter("monsoon.store.relay_failures", o.Metrics),
	}
}

// Get implements store.KV.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	var entry store.Entry
	err := s.do(ctx, true, func() (err error) {
		entry, err = s.opts.Direct.Get(ctx, key)
		return err
	}, func(c *rpc.Client) error {
		var reply GetReply
		if err := call(ctx, c, "Get", callTimeout, &GetArgs{Key: key}, &reply); err != nil {
			return err
		}
		entry = reply.Entry
		return reply.Failure.err()
	})
	return entry, err
}

// GetStale implements store.StaleReader. It never goes over a relay: a call that
// only saves a dearer one is not worth a detour.
func (s *Store) GetStale(ctx context.Context, key string) (store.Entry, error) {
	reader, ok := s.opts.Direct.(store.StaleReader)
	s.mu.Lock()
	indirect := s.indirect
	s.mu.Unlock()
	if !ok || indirect {
		return store.Entry{}, fmt.Errorf("%w: no direct way for a stale read", store.ErrUnavailable)
	}
	entry, err := reader.GetStale(ctx, key)
	if err != nil {
		s.noteDirect(err) // the next call need not find out again
	}
	return entry, err
}

// List implements store.KV.
func (s *Store) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	var snapshot store.Snapshot
	err := s.do(ctx, true, func() (err error) {
		snapshot, err = s.opts.Direct.List(ctx, prefix)
		return err
	}, func(c *rpc.Client) error {
		var reply ListReply
		if err := call(ctx, c, "List", callTimeout, &ListArgs{Prefix: prefix}, &reply); err != nil {
			return err
		}
		snapshot = reply.Snapshot
		return reply.Failure.err()
	})
	return snapshot, err
}

// Commit implements store.KV. A transaction whose outcome is unknown is not tried
// another way.
func (s *Store) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	var result store.TxnResult
	err := s.do(ctx, false, func() (err error) {
		result, err = s.opts.Direct.Commit(ctx, txn)
		return err
	}, func(c *rpc.Client) error {
		var reply CommitReply
		if err := call(ctx, c, "Commit", callTimeout, &CommitArgs{Txn: txn}, &reply); err != nil {
			return err
		}
		result = reply.Result
		return reply.Failure.err()
	})
	return result, err
}

// Watch implements store.Watcher with one waiting call at a time.
func (s *Store) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	return store.WatchByPolling(ctx, from, func(ctx context.Context, revision int64) store.WatchBatch {
		return s.Next(ctx, prefix, revision)
	}), nil
}

// Next implements Backend.
func (s *Store) Next(ctx context.Context, prefix string, revision int64) store.WatchBatch {
	var batch store.WatchBatch
	err := s.do(ctx, true, func() error {
		batch = s.opts.Direct.Next(ctx, prefix, revision)
		return batch.Err
	}, func(c *rpc.Client) error {
		var reply NextReply
		if err := call(ctx, c, "Next", nextTimeout, &NextArgs{Prefix: prefix, Revision: revision}, &reply); err != nil {
			return err
		}
		batch = store.WatchBatch{Events: reply.Events, Revision: reply.Revision}
		return reply.Failure.err()
	})
	if err != nil {
		return store.WatchBatch{Err: err}
	}
	return batch
}

// do makes a call directly or over relays. A call that may be repeated goes another
// way whenever the store was not reached or its answer was lost, any other only if
// it certainly had no effect.
func (s *Store) do(ctx context.Context, repeatable bool, direct func() error, over func(*rpc.Client) error) error {
	var err error
	if s.tryDirect() {
		if err = direct(); !another(err, repeatable) {
			s.noteDirect(err)
			return err
		}
		s.noteDirect(err)
	}
	for _, address := range s.candidates() {
		if ctx.Err() != nil {
			return errors.Join(store.ErrUnavailable, ctx.Err())
		}
		client, dialErr := s.peers.Client(ctx, address)
		if dialErr != nil {
			s.pause(address)
			err = fmt.Errorf("%w: relay %s: %w", store.ErrUnavailable, address, dialErr)
			continue
		}
		s.relayed.Inc(1)
		if err = over(client); !another(err, repeatable) {
			s.note(address, err)
			return err
		}
		s.failed.Inc(1)
		s.pause(address)
	}
	if err == nil {
		err = fmt.Errorf("%w: no direct answer and no relay", store.ErrUnavailable)
	}
	return err
}

// another reports whether a call that failed may be made another way.
func another(err error, repeatable bool) bool {
	return errors.Is(err, store.ErrUnavailable) || repeatable && errors.Is(err, store.ErrUnknownOutcome)
}

// tryDirect reports whether a call should be made directly.
func (s *Store) tryDirect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.indirect {
		return true
	}
	now := time.Now()
	if now.Before(s.directAfter) {
		return false
	}
	s.directAfter = now.Add(directRecheck)
	return true
}

// noteDirect notes how a direct call ended.
func (s *Store) noteDirect(err error) {
	failed := errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknownOutcome)
	s.mu.Lock()
	defer s.mu.Unlock()
	if failed != s.indirect {
		s.opts.Log.Info("way to the store changed", "over_relays", failed, "error", err)
	}
	s.indirect = failed
	if failed {
		s.directAfter = time.Now().Add(directRecheck)
	}
}

// note notes how a relayed call ended that is not made again.
func (s *Store) note(address string, err error) {
	if errors.Is(err, store.ErrUnknownOutcome) {
		s.pause(address)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = address
}

// candidates returns the relays to try: the one that helped last, then others.
func (s *Store) candidates() []string {
	addresses := append([]string(nil), s.opts.Relays()...)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	s.mu.Lock()
	current := s.current
	s.mu.Unlock()
	var chosen []string
	if current != "" && s.peers.Available(current) {
		chosen = append(chosen, current)
	}
	for _, address := range addresses {
		if len(chosen) == relayTries {
			break
		}
		if address != current && s.peers.Available(address) {
			chosen = append(chosen, address)
		}
	}
	return chosen
}

// pause leaves a relay alone that did not help.
func (s *Store) pause(address string) {
	s.mu.Lock()
	if s.current == address {
		s.current = ""
	}
	s.mu.Unlock()
	s.peers.MarkFailed(address)
}

// call makes one call over a relay. If the relay does not answer, it is not known
// whether the call was carried out.
func call(ctx context.Context, c *rpc.Client, method string, timeout time.Duration, args, reply any) error {
	pending := c.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-pending.Done:
		if errors.Is(pending.Error, rpc.ErrShutdown) {
			return fmt.Errorf("%w: the connection to the relay is closed", store.ErrUnknownOutcome)
		}
		if pending.Error != nil {
			return fmt.Errorf("%w: relay: %w", store.ErrUnknownOutcome, pending.Error)
		}
		return nil
	case <-timer.C:
		return fmt.Errorf("%w: the relay does not answer", store.ErrUnknownOutcome)
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", store.ErrUnknownOutcome, ctx.Err())
	}
}
