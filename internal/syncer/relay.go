package syncer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/config"
	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// maxHold bounds how long a poller can make a relay hold a poll.
	maxHold = 30 * time.Second
	// maxWaitingPolls bounds the polls that a relay holds; further ones are
	// answered at once.
	maxWaitingPolls = 1024
	// maxInterests bounds the work that a poller can cause per key.
	maxInterests = 64
	// watchCheckInterval is how often a relay checks its watch.
	watchCheckInterval = 500 * time.Millisecond
	// contactCheckAge is the age of the last contact at which a relay reads the
	// configuration's head. With the interval above the read ends well before
	// contactLimit, at which followers would look elsewhere.
	contactCheckAge = 1500 * time.Millisecond
	// watchRenewal is how long a watch may be without batches before the relay
	// makes another one.
	watchRenewal = 10 * time.Second
	// headTimeout bounds that read.
	headTimeout = time.Second
)

var errInterests = errors.New("too many interests")

// PollService answers polls. Register it with rpc.Server.RegisterName("Sync", r).
type PollService struct{ s *Syncer }

// PollService returns the receiver for the polls of other nodes. Every router has
// one, because a host list that lags can name a router as a relay before the
// router knows.
func (s *Syncer) PollService() *PollService { return &PollService{s: s} }

// Poll answers with what changed after the poller's revision. Without news it
// waits for at most args.MaxWaitMillis. It answers early when its contact with the
// store is not what the poller believes, so that pollers can look elsewhere.
func (r *PollService) Poll(args *wire.SyncPollArgs, reply *wire.SyncPollReply) error {
	s := r.s
	s.counters.servedPolls.Inc(1)
	if len(args.KeyPatterns) > maxInterests {
		return errInterests
	}
	hold := time.Duration(min(max(args.MaxWaitMillis, 0), maxHold.Milliseconds())) * time.Millisecond
	if s.waiting.Add(1) > maxWaitingPolls {
		hold = 0
	}
	defer s.waiting.Add(-1)
	deadline := time.NewTimer(hold)
	defer deadline.Stop()
	for expired := hold == 0; ; {
		wake, done, err := s.tryAnswer(args, reply, expired)
		if done || err != nil {
			return err
		}
		select {
		case <-wake:
		case <-deadline.C:
			expired = true
		}
	}
}

// tryAnswer fills in the answer if there is news or the poll must end; otherwise
// it returns a channel to wait for.
func (s *Syncer) tryAnswer(args *wire.SyncPollArgs, reply *wire.SyncPollReply, expired bool) (<-chan struct{}, bool, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	news := s.hasEntries(args) || (s.inContact && !s.unverified) != args.Connected ||
		(s.Hosts().Len() > 0 && s.Hosts().Version != args.HostsVersion)
	if !news && !expired && !s.stopped {
		return s.wake, false, nil
	}
	reply.LastContactMillis = -1
	if !s.storeContact.IsZero() && !s.unverified {
		reply.LastContactMillis = time.Since(s.storeContact).Milliseconds()
	}
	s.answerHosts(args.HostsVersion, reply)
	return nil, true, s.answerEntries(args, reply)
}

// hasEntries reports whether an answer would carry entries. A node whose own
// state may lack a deletion claims nothing. The caller holds mu.
func (s *Syncer) hasEntries(args *wire.SyncPollArgs) bool {
	switch {
	case s.unverified:
		return false
	case args.After < 0:
		return s.table.revision >= -args.After-1
	}
	return s.table.newer(args.After, args.KeyPatterns)
}

func (s *Syncer) answerEntries(args *wire.SyncPollArgs, reply *wire.SyncPollReply) error {
	if s.unverified || (args.After < 0 && !s.hasEntries(args)) {
		return nil
	}
	var err error
	if args.After < 0 {
		s.counters.fullAnswers.Inc(1)
		reply.Full, reply.Revision = true, s.table.revision
		reply.Entries, err = s.table.full(args.KeyPatterns)
		return err
	}
	reply.Entries, reply.Revision = s.table.since(args.After, args.KeyPatterns, maxDeltaBytes)
	reply.More = reply.Revision < s.table.revision
	if args.After < s.table.horizon {
		reply.TombstoneHorizon = s.table.horizon
		if !reply.More {
			reply.KeySetHash = s.table.keySet(args.KeyPatterns)
		}
	}
	return nil
}

func (s *Syncer) contactState() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.inContact
}

// runContact notices when contact with the store is gained or lost.
func (s *Syncer) runContact(ctx context.Context) error {
	for pause(ctx, contactLimit/10) {
		s.mu.Lock()
		s.updateContact()
		s.mu.Unlock()
	}
	return nil
}

// updateContact tells held polls about a change of contact. The caller holds mu.
func (s *Syncer) updateContact() {
	now := !s.storeContact.IsZero() && time.Since(s.storeContact) <= contactLimit
	if now == s.inContact {
		return
	}
	s.inContact = now
	if s.plan.relay {
		s.log.Info("contact with the store changed", "contact", now)
	}
	s.wakePolls()
}

// touchStore records contact with the store. The caller holds mu.
func (s *Syncer) touchStore() {
	s.storeContact = time.Now()
	s.updateContact()
}

// readStore reads the whole prefix.
func (s *Syncer) readStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s.counters.storeReads.Inc(1)
	read, err := s.opts.Store.List(ctx, Prefix)
	if err != nil {
		return err
	}
	entries := make([]wire.SyncEntry, len(read.Entries))
	for i, e := range read.Entries {
		entries[i] = wire.SyncEntry{Key: e.Key, Value: e.Value, ModRevision: e.ModRevision}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takeFull(entries, read.Revision)
	s.lastList = time.Now()
	s.touchStore()
	return nil
}

func (s *Syncer) isRelay() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.plan.relay
}

// runRelay watches the store while this node is a relay.
func (s *Syncer) runRelay(ctx context.Context) error {
	reread := false
	for pause(ctx, 100*time.Millisecond+rand.N(200*time.Millisecond)) {
		if !s.isRelay() {
			continue
		}
		if reread || s.Status().Revision == 0 || s.isUnverified() {
			if s.readStore(ctx) != nil {
				pause(ctx, jitter(time.Second))
				continue
			}
			reread = false
		}
		err := s.watch(ctx)
		// After a lost watch the next one may be lost as well, and a read at least
		// brings what was missed.
		reread = errors.Is(err, errWatchLost) || errors.Is(err, store.ErrCompacted)
		if err != nil && !reread && !errors.Is(err, errWatchQuiet) && ctx.Err() == nil {
			s.log.Warn("watch ended", "error", err)
			pause(ctx, jitter(time.Second))
		}
	}
	return nil
}

var (
	errWatchLost  = errors.New("watch has missed a change")
	errWatchQuiet = errors.New("watch is silent")
)

// watch runs one watch until it ends, seems lost, or this node is no relay any
// more.
func (s *Syncer) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	batches, err := s.opts.Store.Watch(ctx, Prefix, s.Status().Revision)
	if err != nil {
		return err
	}
	check := time.NewTicker(watchCheckInterval)
	defer check.Stop()
	last := time.Now()
	missed := make(chan bool, 1)
	checking := false
	for {
		select {
		case batch, open := <-batches:
			if !open || batch.Err != nil {
				return batch.Err
			}
			last = time.Now()
			s.takeBatch(batch)
		case lost := <-missed:
			if checking = false; lost {
				return errWatchLost
			}
		case <-check.C:
			switch {
			case !s.isRelay():
				return nil
			case s.isUnverified():
				return errWatchLost // the watch cannot bring what was missed before
			case time.Since(last) > watchRenewal:
				return errWatchQuiet
			case !checking && s.contactAge() > contactCheckAge:
				// In the background, because batches must not wait for a slow read.
				checking = true
				go func() { missed <- s.missedHead(ctx) }()
			}
		}
	}
}

// contactAge returns the age of the last direct contact with the store.
func (s *Syncer) contactAge() time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return time.Since(s.storeContact)
}

func (s *Syncer) takeBatch(batch store.WatchBatch) {
	entries := make([]wire.SyncEntry, len(batch.Events))
	for i, e := range batch.Events {
		entries[i] = wire.SyncEntry{Key: e.Key, Value: e.Value, ModRevision: e.ModRevision, Deleted: e.Deleted}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(s.table.applyDelta(entries, batch.Revision), false)
	s.touchStore()
}

// missedHead reads the configuration's head and reports whether the watch has
// failed to deliver it. A successful read is contact with the store.
func (s *Syncer) missedHead(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	s.counters.storeReads.Inc(1)
	head, err := s.opts.Store.Get(ctx, config.HeadKey)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if head.ModRevision > s.table.revision {
		return true
	}
	s.touchStore()
	return false
}
