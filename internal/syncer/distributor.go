package syncer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/config"
	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/wait"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// maxAcceptedWait is the maximum wait of a poll, whatever the follower asks for.
	maxAcceptedWait = 30 * time.Second
	// maxPendingPolls is the maximum number of pending polls at a distributor; it
	// replies to further polls without waiting.
	maxPendingPolls = 1024
	// maxKeyPatterns limits the work that a poll can cause per key.
	maxKeyPatterns = 64
	// watchCheckInterval is the interval at which a distributor checks its watch.
	watchCheckInterval = 500 * time.Millisecond
	// headCheckAge is the age of the last contact above which a distributor reads the
	// configuration's head. The sum of headCheckAge, watchCheckInterval and
	// headReadTimeout does not exceed maxContactAge, above which followers change to
	// another distributor.
	headCheckAge = 1500 * time.Millisecond
	// watchIdleTimeout is the time without a batch after which a distributor
	// replaces its watch.
	watchIdleTimeout = 10 * time.Second
	// headReadTimeout is the timeout of a read of the configuration's head.
	headReadTimeout = time.Second
)

var errTooManyKeyPatterns = errors.New("too many interests")

// PollService serves the polls of followers. It is registered under the RPC name
// "Sync".
type PollService struct{ s *Syncer }

// PollService returns the service for the polls of followers. Every router must
// serve it: followers with a newer host list than the router's can already treat
// the router as a distributor.
func (s *Syncer) PollService() *PollService { return &PollService{s: s} }

// Poll replies with the changes after the follower's revision. Without changes it
// waits for at most args.MaxWaitMillis. It replies at once if args.Connected is out of
// date, so that the follower can change to another distributor.
func (p *PollService) Poll(args *wire.SyncPollArgs, reply *wire.SyncPollReply) error {
	s := p.s
	s.counters.servedPolls.Inc(1)
	if len(args.KeyPatterns) > maxKeyPatterns {
		return errTooManyKeyPatterns
	}
	maxWait := time.Duration(min(max(args.MaxWaitMillis, 0), maxAcceptedWait.Milliseconds())) * time.Millisecond
	if s.pendingPolls.Add(1) > maxPendingPolls {
		maxWait = 0
	}
	defer s.pendingPolls.Add(-1)
	deadline := time.NewTimer(maxWait)
	defer deadline.Stop()
	for expired := maxWait == 0; ; {
		wake, done, err := s.tryReply(args, reply, expired)
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

// tryReply fills in the reply if there are changes or the poll must end. Otherwise
// it returns a channel that is closed when the poll has to check again.
func (s *Syncer) tryReply(args *wire.SyncPollArgs, reply *wire.SyncPollReply, expired bool) (<-chan struct{}, bool, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	hasChanges := s.hasEntries(args) || (s.connected && !s.unverified) != args.Connected ||
		(s.Hosts().Len() > 0 && s.Hosts().Version != args.HostsVersion)
	if !hasChanges && !expired && !s.stopped {
		return s.wake, false, nil
	}
	reply.LastContactMillis = -1
	if !s.lastDirectContact.IsZero() && !s.unverified {
		reply.LastContactMillis = time.Since(s.lastDirectContact).Milliseconds()
	}
	s.fillHosts(args.HostsVersion, reply)
	return nil, true, s.fillEntries(args, reply)
}

// hasEntries reports whether a reply would contain entries. A node that may have
// missed a deletion sends none. The caller holds mu.
func (s *Syncer) hasEntries(args *wire.SyncPollArgs) bool {
	switch {
	case s.unverified:
		return false
	case args.After < 0: // a request for a snapshot at revision -After-1 or above
		return s.table.revision >= -args.After-1
	}
	return s.table.hasChangesAfter(args.After, args.KeyPatterns)
}

// fillEntries fills in the entries of a reply. The caller holds mu.
func (s *Syncer) fillEntries(args *wire.SyncPollArgs, reply *wire.SyncPollReply) error {
	if s.unverified || (args.After < 0 && !s.hasEntries(args)) {
		return nil
	}
	var err error
	if args.After < 0 {
		s.counters.snapshotReplies.Inc(1)
		reply.IsSnapshot, reply.Revision = true, s.table.revision
		reply.Entries, err = s.table.snapshot(args.KeyPatterns)
		return err
	}
	reply.Entries, reply.Revision = s.table.changesAfter(args.After, args.KeyPatterns, maxDeltaBytes)
	reply.More = reply.Revision < s.table.revision
	if args.After < s.table.tombstoneHorizon {
		reply.TombstoneHorizon = s.table.tombstoneHorizon
		if !reply.More {
			reply.KeySetHash = s.table.keySetHash(args.KeyPatterns)
		}
	}
	return nil
}

// isStoreConnected reports whether this node is connected to the store.
func (s *Syncer) isStoreConnected() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.connected
}

// runContactCheck detects when the connection to the store is lost.
func (s *Syncer) runContactCheck(ctx context.Context) error {
	for wait.Sleep(ctx, maxContactAge/10) {
		s.mu.Lock()
		s.updateConnected()
		s.mu.Unlock()
	}
	return nil
}

// updateConnected updates connected and wakes pending polls if it has changed. The
// caller holds mu.
func (s *Syncer) updateConnected() {
	connected := !s.lastDirectContact.IsZero() && time.Since(s.lastDirectContact) <= maxContactAge
	if connected == s.connected {
		return
	}
	s.connected = connected
	if s.topology.distributor {
		s.log.Info("state of the store connection changed", "contact", connected)
	}
	s.wakePolls()
}

// recordContact records a direct contact with the store. The caller holds mu.
func (s *Syncer) recordContact() {
	s.lastDirectContact = time.Now()
	s.updateConnected()
}

// readStore reads and publishes a snapshot of all keys under Prefix.
func (s *Syncer) readStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
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
	s.publishSnapshot(entries, read.Revision)
	s.lastSnapshot = time.Now()
	s.recordContact()
	return nil
}

func (s *Syncer) isDistributor() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.topology.distributor
}

// runDistributor watches the store while this node is a distributor.
func (s *Syncer) runDistributor(ctx context.Context) error {
	mustRead := false
	for wait.Sleep(ctx, 100*time.Millisecond+rand.N(200*time.Millisecond)) {
		if !s.isDistributor() {
			continue
		}
		if mustRead || s.Status().Revision == 0 || s.isUnverified() {
			if s.readStore(ctx) != nil {
				wait.Sleep(ctx, jitter(time.Second))
				continue
			}
			mustRead = false
		}
		err := s.watch(ctx)
		// Another watch from the same revision could miss the same changes, so the
		// store is read first.
		mustRead = errors.Is(err, errChangeMissed) || errors.Is(err, store.ErrCompacted)
		if err != nil && !mustRead && !errors.Is(err, errWatchIdle) && ctx.Err() == nil {
			s.log.Warn("watch of the store failed, starting another", "error", err)
			wait.Sleep(ctx, jitter(time.Second))
		}
	}
	return nil
}

var (
	errChangeMissed = errors.New("watch missed a change")
	errWatchIdle    = errors.New("watch timed out without a batch")
)

// watch runs one watch until it ends, has missed a change or timed out, or this
// node is no longer a distributor.
func (s *Syncer) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	batches, err := s.opts.Store.Watch(ctx, Prefix, s.Status().Revision)
	if err != nil {
		return err
	}
	check := time.NewTicker(watchCheckInterval)
	defer check.Stop()
	lastBatch := time.Now()
	missed := make(chan bool, 1)
	checking := false
	for {
		select {
		case batch, open := <-batches:
			if !open || batch.Err != nil {
				return batch.Err
			}
			lastBatch = time.Now()
			s.applyBatch(batch)
		case wasMissed := <-missed:
			if checking = false; wasMissed {
				return errChangeMissed
			}
		case <-check.C:
			switch {
			case !s.isDistributor():
				return nil
			case s.isUnverified():
				return errChangeMissed // the watch does not deliver what was missed before
			case time.Since(lastBatch) > watchIdleTimeout:
				return errWatchIdle
			case !checking && s.contactAge() > headCheckAge:
				// In a separate goroutine, because batches must not wait for a slow read.
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
	return time.Since(s.lastDirectContact)
}

// applyBatch applies and publishes the events of a watch.
func (s *Syncer) applyBatch(batch store.WatchBatch) {
	entries := make([]wire.SyncEntry, len(batch.Events))
	for i, e := range batch.Events {
		entries[i] = wire.SyncEntry{Key: e.Key, Value: e.Value, ModRevision: e.ModRevision, Deleted: e.Deleted}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(s.table.applyDelta(entries, batch.Revision), false)
	s.recordContact()
}

// missedHead reads the configuration's head and reports whether it is newer than
// the table. If not, the read counts as contact with the store.
func (s *Syncer) missedHead(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, headReadTimeout)
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
	s.recordContact()
	return false
}
