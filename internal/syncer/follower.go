package syncer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/wait"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// pollerCount is the number of distributors that a follower polls concurrently.
	// With two, the failure or lag of one distributor does not delay a change.
	pollerCount = 2
	// dialTimeout is the timeout of connecting to a distributor.
	dialTimeout = time.Second
	// minFailureBackoff is the backoff after a poll failed. It doubles with each
	// further failure. A distributor of this region is polled earlier if no other can
	// be polled.
	minFailureBackoff = 2 * time.Second
	// maxFailureBackoff is the maximum backoff after failed polls.
	maxFailureBackoff = 30 * time.Second
	// staleBackoff is the time for which a distributor of this region without a
	// connection to the store is polled only if there is no other.
	staleBackoff = 10 * time.Second
	// remoteStaleBackoff is the time for which a distributor of another region
	// without a connection to the store is not polled at all. It is long because
	// traffic between regions is paid by volume and an outage of the store can take
	// long.
	remoteStaleBackoff = 5 * time.Minute
	// minPollInterval is the delay after a reply that came at once and without new
	// entries, so that a faulty distributor cannot cause a busy loop.
	minPollInterval = 200 * time.Millisecond
	// idlePollerInterval is the interval at which a poller without a distributor to
	// poll checks again.
	idlePollerInterval = 300 * time.Millisecond
	// minSnapshotRequestInterval is the minimum time between two requests for a
	// snapshot.
	minSnapshotRequestInterval = 2 * time.Second
	// fallbackCheckInterval is the minimum time between two checks whether the node
	// has to read the store directly. The time is random, up to twice this.
	fallbackCheckInterval = 300 * time.Millisecond
	// minFallbackBackoff is the initial backoff between direct reads of the store.
	minFallbackBackoff = 2 * time.Second
	// maxFallbackBackoff is the maximum backoff between direct reads, and the age at
	// which a read includes all keys even if the head has not changed.
	maxFallbackBackoff = time.Minute
	// isolatedFallbackBackoff is the maximum backoff of an isolated node, so that it
	// has the newest version within 5 s after the store is reachable again.
	isolatedFallbackBackoff = 3 * time.Second
	// isolatedAfter is the time without a reply of any distributor after which a
	// node is isolated.
	isolatedAfter = 10 * time.Second
	// maxFormerDistributors is the number of former distributors whose state a node
	// retains.
	maxFormerDistributors = 64
)

// distributorState is the state of a distributor as seen by a follower. It is
// guarded by distributorTable.mu.
type distributorState struct {
	failures    int       // consecutive failed polls
	failedUntil time.Time // end of the backoff after failed polls
	staleUntil  time.Time // end of the backoff after a reply without connection to the store
	lastPolled  time.Time
	// connected is set if the last poll was successful and the distributor was
	// connected to the store when it replied.
	connected bool
	remote    bool // in another region
	// hostsVersion is the version of the host list that the next poll sends, 0 for the
	// version that this node has.
	hostsVersion uint64
}

// distributorTable holds the known distributors and the polls in progress. It is
// safe for concurrent use.
type distributorTable struct {
	region string // of this node

	mu                  sync.Mutex
	byAddr              map[string]*distributorState
	polled              [pollerCount]string // address that each poller polls
	pollStarted         [pollerCount]time.Time
	nextSnapshotRequest time.Time
	lastReply           time.Time // last reply of any distributor
}

// get returns the state of a distributor and adds it if it is new. The caller
// holds mu.
func (t *distributorTable) get(address string) *distributorState {
	if t.byAddr == nil {
		t.byAddr = make(map[string]*distributorState)
	}
	d := t.byAddr[address]
	if d == nil {
		d = &distributorState{}
		t.byAddr[address] = d
	}
	return d
}

// pick selects the distributor that a poller polls next, and for how long the
// distributor may wait before it replies. Distributors that are not in a backoff are
// preferred. If there are none, poller 0 stays at the nearest distributor of this
// region without a connection to the store, which replies when it is connected again,
// and the other poller rotates through the rest of these. If there are none of these
// either, pick selects a distributor of this region whose polls failed.
func (t *distributorTable) pick(poller int, candidates []hosts.Host) (address string, maxWait time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.polled[poller] = ""
	t.prune(candidates)
	var staleAddress, failedAddress string
	for _, h := range candidates {
		d := t.get(h.Address)
		d.remote = h.Region != t.region
		if t.isPolled(h.Address) {
			continue
		}
		if now.Before(d.failedUntil) {
			if !d.remote && (failedAddress == "" || d.lastPolled.Before(t.get(failedAddress).lastPolled)) {
				failedAddress = h.Address
			}
			continue
		}
		if !now.Before(d.staleUntil) {
			address, maxWait = h.Address, MaxPollWait
			break
		}
		if !d.remote && (staleAddress == "" || (poller > 0 && d.lastPolled.Before(t.get(staleAddress).lastPolled))) {
			staleAddress = h.Address
		}
	}
	if address == "" {
		if address, maxWait = staleAddress, staleMaxPollWait; poller == 0 {
			maxWait = MaxPollWait
		}
	}
	if address == "" && failedAddress != "" && now.Sub(t.get(failedAddress).lastPolled) > minFailureBackoff/2 {
		address = failedAddress // no other distributor can be polled
	}
	if address == "" {
		return "", 0, false
	}
	d := t.get(address)
	if !d.connected && now.After(d.staleUntil) {
		maxWait = 0 // first learn whether the distributor is connected to the store
	}
	d.lastPolled, t.polled[poller], t.pollStarted[poller] = now, address, now
	return address, maxWait, true
}

// prune drops the state of former distributors if there are too many. The caller
// holds mu.
func (t *distributorTable) prune(candidates []hosts.Host) {
	if len(t.byAddr) <= len(candidates)+maxFormerDistributors {
		return
	}
	kept := make(map[string]*distributorState, len(candidates))
	for _, h := range candidates {
		kept[h.Address] = t.get(h.Address)
	}
	t.byAddr = kept
}

// isPolled reports whether a poller polls address. The caller holds mu.
func (t *distributorTable) isPolled(address string) bool {
	for _, other := range t.polled {
		if other == address {
			return true
		}
	}
	return false
}

// recordFailure starts the backoff after a failed poll.
func (t *distributorTable) recordFailure(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.get(address)
	d.connected = false
	d.failedUntil = time.Now().Add(jitter(min(minFailureBackoff<<min(d.failures, 8), maxFailureBackoff)))
	d.failures++
}

// recordReply ends the backoff after failed polls. connected is set if the
// distributor is connected to the store.
func (t *distributorTable) recordReply(address string, connected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.get(address)
	d.failures, d.failedUntil, d.connected = 0, time.Time{}, connected
	t.lastReply = time.Now()
	d.staleUntil = time.Time{}
	switch {
	case connected:
	case d.remote:
		d.staleUntil = time.Now().Add(jitter(remoteStaleBackoff))
	default:
		d.staleUntil = time.Now().Add(jitter(staleBackoff))
	}
}

// hasConnectedPoll reports whether a poll is in progress at a distributor that is
// connected to the store.
func (t *distributorTable) hasConnectedPoll() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for poller, address := range t.polled {
		if address != "" && t.get(address).connected && time.Since(t.pollStarted[poller]) < MaxPollWait+pollGrace {
			return true
		}
	}
	return false
}

// nextPollArgs returns HostsVersion and Connected for the next poll of a distributor.
// If no version is set for the distributor, it returns own, the version that this node
// has, so that a change of distributors does not transfer the same list again.
func (t *distributorTable) nextPollArgs(address string, own uint64) (hostsVersion uint64, connected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.get(address)
	if d.hostsVersion != 0 {
		own = d.hostsVersion
	}
	return own, d.connected
}

// setHostsVersion sets the version of the host list for the next poll of a
// distributor; 0 clears it.
func (t *distributorTable) setHostsVersion(address string, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(address).hostsVersion = version
}

// isolated reports whether no distributor has replied for isolatedAfter.
func (t *distributorTable) isolated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.lastReply) > isolatedAfter
}

// allowSnapshotRequest reports whether a snapshot may be requested now. It returns true
// at most once per minSnapshotRequestInterval.
func (t *distributorTable) allowSnapshotRequest() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Now().Before(t.nextSnapshotRequest) {
		return false
	}
	t.nextSnapshotRequest = time.Now().Add(minSnapshotRequestInterval)
	return true
}

// release frees a poller's distributor for the other poller.
func (t *distributorTable) release(poller int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.polled[poller] = ""
}

// runPoller polls distributors unless this node is itself a distributor that is
// connected to the store.
func (s *Syncer) runPoller(ctx context.Context, poller int) error {
	for ctx.Err() == nil {
		if s.isDistributor() && s.isStoreConnected() {
			s.distributors.release(poller)
			wait.Sleep(ctx, idlePollerInterval)
			continue
		}
		s.mu.RLock()
		candidates := s.topology.candidates
		s.mu.RUnlock()
		address, maxWait, ok := s.distributors.pick(poller, candidates)
		if !ok {
			wait.Sleep(ctx, idlePollerInterval)
			continue
		}
		s.pollOnce(ctx, address, maxWait)
	}
	return nil
}

// pollOnce polls a distributor and records in distributorTable whether it replied.
func (s *Syncer) pollOnce(ctx context.Context, address string, maxWait time.Duration) {
	started, before := time.Now(), s.Status().Revision
	reply, err := s.poll(ctx, address, maxWait)
	if err != nil {
		if ctx.Err() == nil {
			s.distributors.recordFailure(address)
		}
		return
	}
	s.distributors.recordReply(address, isConnected(reply))
	if maxWait > 0 && time.Since(started) < minPollInterval && s.Status().Revision == before {
		wait.Sleep(ctx, minPollInterval)
	}
}

// isConnected reports whether the sender of a reply is connected to the store.
func isConnected(reply *wire.SyncPollReply) bool {
	return reply.LastContactMillis >= 0 && reply.LastContactMillis <= maxContactAge.Milliseconds()
}

// poll polls a distributor once and applies its reply.
func (s *Syncer) poll(ctx context.Context, address string, maxWait time.Duration) (*wire.SyncPollReply, error) {
	s.counters.polls.Inc(1)
	args := &wire.SyncPollArgs{KeyPatterns: s.opts.KeyPatterns, MaxWaitMillis: maxWait.Milliseconds()}
	base := s.Hosts()
	args.HostsVersion, args.Connected = s.distributors.nextPollArgs(address, base.Version)
	if args.After = s.Status().Revision; s.needsSnapshot() && s.distributors.allowSnapshotRequest() {
		args.After = -args.After - 1 // requests a snapshot; see wire.SyncPollArgs
	}
	var reply wire.SyncPollReply
	if err := s.call(ctx, address, args, &reply, maxWait); err != nil {
		s.counters.pollFailures.Inc(1)
		s.distributors.setHostsVersion(address, 0)
		return nil, err
	}
	s.distributors.setHostsVersion(address, s.applyHosts(base, args.HostsVersion, &reply, time.Now()))
	s.applyEntries(args.After, &reply)
	return &reply, nil
}

func (s *Syncer) call(ctx context.Context, address string, args, reply any, maxWait time.Duration) error {
	dialCtx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	client, err := s.opts.Dial(dialCtx, address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, maxWait+pollGrace)
	defer cancel()
	return client.Call(ctx, "Sync.Poll", args, reply)
}

// applyEntries applies the entries of a reply.
func (s *Syncer) applyEntries(after int64, reply *wire.SyncPollReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply.IsSnapshot {
		s.publishSnapshot(reply.Entries, reply.Revision)
	} else {
		s.publishDelta(after, reply)
	}
	contact := time.Now().Add(-time.Duration(reply.LastContactMillis) * time.Millisecond)
	if isConnected(reply) && !reply.More && contact.After(s.lastIndirectContact) {
		s.lastIndirectContact = contact
	}
}

// publishSnapshot applies and publishes a snapshot. The caller holds mu.
func (s *Syncer) publishSnapshot(entries []wire.SyncEntry, revision int64) {
	if revision >= s.table.revision {
		s.unverified, s.needSnapshot = false, false
		s.wakePolls()
	}
	s.publish(s.table.applySnapshot(entries, revision), true)
}

// publishDelta applies and publishes changes after a revision. If the distributor
// may have dropped tombstones since then, the key set hashes are compared. Until
// they are equal the configuration is not published, because its version could
// include a deletion that this node has missed. The caller holds mu.
func (s *Syncer) publishDelta(after int64, reply *wire.SyncPollReply) {
	before := s.table.revision
	events := s.table.applyDelta(reply.Entries, reply.Revision)
	if after < reply.TombstoneHorizon && reply.Revision > before {
		s.table.tombstoneHorizon = max(s.table.tombstoneHorizon, reply.TombstoneHorizon)
		s.unverified = true
		if !reply.More {
			s.unverified = s.table.keySetHash(nil) != reply.KeySetHash
		}
	}
	s.needSnapshot = s.unverified && (s.needSnapshot || (!reply.More && reply.Revision >= s.table.revision))
	s.publish(events, false)
}

func (s *Syncer) needsSnapshot() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.needSnapshot
}

func (s *Syncer) isUnverified() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.unverified
}

// pollAll polls all distributors concurrently and without waiting, so that the node
// has the highest version among them when it starts.
func (s *Syncer) pollAll(ctx context.Context) {
	s.mu.RLock()
	candidates := s.topology.candidates
	s.mu.RUnlock()
	var wg sync.WaitGroup
	for _, h := range candidates {
		wg.Go(func() {
			for ctx.Err() == nil {
				reply, err := s.poll(ctx, h.Address, 0)
				if err != nil || !reply.More {
					return
				}
			}
		})
	}
	wg.Wait()
}

// runFallback reads the store directly while this node has no poll in progress at a
// connected distributor. The backoff between the reads grows, so that many nodes do
// not overload the store after an outage.
func (s *Syncer) runFallback(ctx context.Context) error {
	backoff := jitter(minFallbackBackoff)
	var next time.Time
	for wait.Sleep(ctx, fallbackCheckInterval+rand.N(fallbackCheckInterval)) {
		if s.isDistributor() || s.distributors.hasConnectedPoll() {
			backoff, next = jitter(minFallbackBackoff), time.Now().Add(rand.N(time.Second))
			continue
		}
		if time.Now().Before(next) {
			continue
		}
		s.readStoreIfChanged(ctx)
		limit := maxFallbackBackoff
		if s.distributors.isolated() {
			limit = isolatedFallbackBackoff
		}
		next = time.Now().Add(min(backoff, limit))
		backoff = jitter(min(2*backoff, maxFallbackBackoff))
	}
	return nil
}

// readStoreIfChanged reads the configuration's head, and all keys only if the head
// has changed, a snapshot is needed or the last one is older than maxFallbackBackoff.
// Without a change it costs one small read.
func (s *Syncer) readStoreIfChanged(ctx context.Context) {
	s.mu.RLock()
	recent := !s.needSnapshot && !s.lastSnapshot.IsZero() && time.Since(s.lastSnapshot) < maxFallbackBackoff
	s.mu.RUnlock()
	if recent && !s.missedHead(ctx) {
		return
	}
	if err := s.readStore(ctx); err == nil {
		s.log.Info("store read directly, no connected distributor replies")
	}
}

// jitter returns a duration between three quarters and five quarters of d.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2) }
