package syncer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// followerSlots is the number of relays that a follower polls at once. With
	// two, a relay that dies or falls behind delays nothing.
	followerSlots = 2
	// dialTimeout bounds the connection to a relay.
	dialTimeout = time.Second
	// Pauses before a relay that failed is tried again while there are others.
	minFailurePause = 2 * time.Second
	maxFailurePause = 30 * time.Second
	// stalePause is how long a relay without contact with the store is put after
	// all others. It is longer for other regions, because the links there are
	// paid by volume and an outage of the store can last.
	stalePause    = 10 * time.Second
	farStalePause = 5 * time.Minute
	// quickPause follows an answer that came at once and brought no entries, so
	// that a faulty relay cannot cause a busy loop.
	quickPause = 200 * time.Millisecond
	// idlePause is how often a slot without a relay to poll looks again.
	idlePause = 300 * time.Millisecond
	// fullInterval is the shortest time between two requests for the whole
	// state.
	fullInterval = 2 * time.Second
	// Pauses between direct reads of the store by a node without a relay in
	// contact with the store.
	fallbackDelay    = 300 * time.Millisecond
	minFallbackPause = 2 * time.Second
	maxFallbackPause = time.Minute
	// aloneFallbackPause bounds the pause of a node that no relay answers, so that
	// it has the newest version within 5 s after the store is in reach again.
	aloneFallbackPause = 3 * time.Second
	// aloneAfter is how long no relay may have answered for that.
	aloneAfter = 10 * time.Second
	// keptPeers is how many relays beyond the present ones a node remembers.
	keptPeers = 64
)

// peer is what a node knows about a relay. peers.mu guards it.
type peer struct {
	failures    int
	failedUntil time.Time
	staleUntil  time.Time
	lastPolled  time.Time
	// current is set if the last poll found the relay in contact with the store.
	current bool
	far     bool // in another region
	// hostsVersion is the version of the host list that the relay told last.
	hostsVersion uint64
}

// peers is the table of relays, and of the polls of the two slots.
type peers struct {
	region string

	mu       sync.Mutex
	byAddr   map[string]*peer
	inUse    [followerSlots]string
	polledAt [followerSlots]time.Time
	nextFull time.Time
	answerAt time.Time // last answer of any relay
}

func (p *peers) get(address string) *peer {
	if p.byAddr == nil {
		p.byAddr = make(map[string]*peer)
	}
	known := p.byAddr[address]
	if known == nil {
		known = &peer{}
		p.byAddr[address] = known
	}
	return known
}

// pick chooses the relay that a slot polls next, and for how long the relay may
// hold the poll. Relays in contact with the store come first. Without any, slot
// 0 stays at the nearest relay, which tells when its contact returns, and the
// others go round.
func (p *peers) pick(slot int, candidates []hosts.Host) (address string, hold time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.inUse[slot] = ""
	p.prune(candidates)
	var stale, failed string
	for _, h := range candidates {
		known := p.get(h.Address)
		known.far = h.Region != p.region
		if p.used(h.Address) {
			continue
		}
		if now.Before(known.failedUntil) {
			if !known.far && (failed == "" || known.lastPolled.Before(p.get(failed).lastPolled)) {
				failed = h.Address
			}
			continue
		}
		if !now.Before(known.staleUntil) {
			address, hold = h.Address, MaxPollWait
			break
		}
		if !known.far && (stale == "" || (slot > 0 && known.lastPolled.Before(p.get(stale).lastPolled))) {
			stale = h.Address
		}
	}
	if address == "" {
		if address, hold = stale, exploreHold; slot == 0 {
			hold = MaxPollWait
		}
	}
	if address == "" && failed != "" && now.Sub(p.get(failed).lastPolled) > minFailurePause/2 {
		address = failed // there is no other left
	}
	if address == "" {
		return "", 0, false
	}
	known := p.get(address)
	if !known.current && now.After(known.staleUntil) {
		hold = 0 // learn first whether this relay is in contact with the store
	}
	known.lastPolled, p.inUse[slot], p.polledAt[slot] = now, address, now
	return address, hold, true
}

// prune forgets relays that are no candidates any more.
func (p *peers) prune(candidates []hosts.Host) {
	if len(p.byAddr) <= len(candidates)+keptPeers {
		return
	}
	kept := make(map[string]*peer, len(candidates))
	for _, h := range candidates {
		kept[h.Address] = p.get(h.Address)
	}
	p.byAddr = kept
}

func (p *peers) used(address string) bool {
	for _, other := range p.inUse {
		if other == address {
			return true
		}
	}
	return false
}

func (p *peers) failed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.get(address)
	known.current = false
	known.failedUntil = time.Now().Add(jitter(min(minFailurePause<<min(known.failures, 8), maxFailurePause)))
	known.failures++
}

func (p *peers) answered(address string, current bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.get(address)
	known.failures, known.failedUntil, known.current = 0, time.Time{}, current
	p.answerAt = time.Now()
	known.staleUntil = time.Time{}
	switch {
	case current:
	case known.far:
		known.staleUntil = time.Now().Add(jitter(farStalePause))
	default:
		known.staleUntil = time.Now().Add(jitter(stalePause))
	}
}

// covered reports whether a poll is held by a relay in contact with the store.
func (p *peers) covered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for slot, address := range p.inUse {
		if address != "" && p.get(address).current && time.Since(p.polledAt[slot]) < MaxPollWait+pollGrace {
			return true
		}
	}
	return false
}

// told returns the version of the host list that a relay told last, and whether
// it was in contact with the store. For a relay that told no version it returns
// the node's own, so that a change of relay does not transfer the same list
// again.
func (p *peers) told(address string, own uint64) (hostsVersion uint64, inContact bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.get(address)
	if known.hostsVersion != 0 {
		own = known.hostsVersion
	}
	return own, known.current
}

func (p *peers) setHostsVersion(address string, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.get(address).hostsVersion = version
}

// alone reports whether no relay has answered for some time.
func (p *peers) alone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.answerAt) > aloneAfter
}

// fullAllowed limits the requests for the whole state.
func (p *peers) fullAllowed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(p.nextFull) {
		return false
	}
	p.nextFull = time.Now().Add(fullInterval)
	return true
}

// release frees a slot's relay for the other slot.
func (p *peers) release(slot int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse[slot] = ""
}

// runSlot polls one relay after the other while this node does not hear from the
// store itself.
func (s *Syncer) runSlot(ctx context.Context, slot int) error {
	for ctx.Err() == nil {
		if s.isRelay() && s.contactState() {
			s.peers.release(slot)
			pause(ctx, idlePause)
			continue
		}
		s.mu.RLock()
		candidates := s.plan.candidates
		s.mu.RUnlock()
		address, hold, ok := s.peers.pick(slot, candidates)
		if !ok {
			pause(ctx, idlePause)
			continue
		}
		s.pollSlot(ctx, address, hold)
	}
	return nil
}

func (s *Syncer) pollSlot(ctx context.Context, address string, hold time.Duration) {
	began, before := time.Now(), s.Status().Revision
	reply, err := s.poll(ctx, address, hold)
	if err != nil {
		if ctx.Err() == nil {
			s.peers.failed(address)
		}
		return
	}
	s.peers.answered(address, inContact(reply))
	if hold > 0 && time.Since(began) < quickPause && s.Status().Revision == before {
		pause(ctx, quickPause)
	}
}

func inContact(reply *wire.SyncPollReply) bool {
	return reply.LastContactMillis >= 0 && reply.LastContactMillis <= contactLimit.Milliseconds()
}

// poll asks one relay once and applies its answer.
func (s *Syncer) poll(ctx context.Context, address string, hold time.Duration) (*wire.SyncPollReply, error) {
	s.counters.polls.Inc(1)
	args := &wire.SyncPollArgs{KeyPatterns: s.opts.KeyPatterns, MaxWaitMillis: hold.Milliseconds()}
	known := s.Hosts()
	args.HostsVersion, args.Connected = s.peers.told(address, known.Version)
	if args.After = s.Status().Revision; s.wantsFull() && s.peers.fullAllowed() {
		args.After = -args.After - 1
	}
	var reply wire.SyncPollReply
	if err := s.call(ctx, address, args, &reply, hold); err != nil {
		s.counters.pollFailures.Inc(1)
		s.peers.setHostsVersion(address, 0)
		return nil, err
	}
	s.peers.setHostsVersion(address, s.takeHosts(known, args.HostsVersion, &reply, time.Now()))
	s.takeEntries(args.After, &reply)
	return &reply, nil
}

func (s *Syncer) call(ctx context.Context, address string, args, reply any, hold time.Duration) error {
	dialCtx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	caller, err := s.opts.Dial(dialCtx, address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, hold+pollGrace)
	defer cancel()
	return caller.Call(ctx, "Sync.Poll", args, reply)
}

// takeEntries applies the entries of an answer.
func (s *Syncer) takeEntries(after int64, reply *wire.SyncPollReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply.Full {
		s.takeFull(reply.Entries, reply.Revision)
	} else {
		s.takeDelta(after, reply)
	}
	contact := time.Now().Add(-time.Duration(reply.LastContactMillis) * time.Millisecond)
	if inContact(reply) && !reply.More && contact.After(s.relayContact) {
		s.relayContact = contact
	}
}

// takeFull applies the whole state at a revision. The caller holds mu.
func (s *Syncer) takeFull(entries []wire.SyncEntry, revision int64) {
	if revision >= s.table.revision {
		s.unverified, s.wantFull = false, false
		s.wakePolls()
	}
	s.publish(s.table.applyFull(entries, revision), true)
}

// takeDelta applies changes after a revision. If the relay may not know all
// deletions since then, the sets of keys are compared, and until they agree the
// configuration is not published: its version would promise a deletion that this
// node has missed. The caller holds mu.
func (s *Syncer) takeDelta(after int64, reply *wire.SyncPollReply) {
	before := s.table.revision
	events := s.table.applyDelta(reply.Entries, reply.Revision)
	if after < reply.TombstoneHorizon && reply.Revision > before {
		s.table.horizon = max(s.table.horizon, reply.TombstoneHorizon)
		s.unverified = true
		if !reply.More {
			s.unverified = s.table.keySet(nil) != reply.KeySetHash
		}
	}
	s.wantFull = s.unverified && (s.wantFull || (!reply.More && reply.Revision >= s.table.revision))
	s.publish(events, false)
}

func (s *Syncer) wantsFull() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.wantFull
}

func (s *Syncer) isUnverified() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.unverified
}

// askAll polls all relays at once, so that the highest version among them is
// known before the node starts its work.
func (s *Syncer) askAll(ctx context.Context) {
	s.mu.RLock()
	candidates := s.plan.candidates
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

// runFallback reads the store directly while no relay in contact with the store
// holds a poll of this node. The reads become rarer the longer that lasts, so
// that an outage does not end in a storm of reads.
func (s *Syncer) runFallback(ctx context.Context) error {
	wait := jitter(minFallbackPause)
	var next time.Time
	for pause(ctx, fallbackDelay+rand.N(fallbackDelay)) {
		if s.isRelay() || s.peers.covered() {
			wait, next = jitter(minFallbackPause), time.Now().Add(rand.N(time.Second))
			continue
		}
		if time.Now().Before(next) {
			continue
		}
		s.readDirectly(ctx)
		limit := maxFallbackPause
		if s.peers.alone() {
			limit = aloneFallbackPause
		}
		next = time.Now().Add(min(wait, limit))
		wait = jitter(min(2*wait, maxFallbackPause))
	}
	return nil
}

// readDirectly reads the configuration's head, and the whole prefix if the head
// has changed or was not read for long. Without a change that costs one small
// call.
func (s *Syncer) readDirectly(ctx context.Context) {
	s.mu.RLock()
	recent := !s.wantFull && !s.lastList.IsZero() && time.Since(s.lastList) < maxFallbackPause
	s.mu.RUnlock()
	if recent && !s.missedHead(ctx) {
		return
	}
	if err := s.readStore(ctx); err == nil {
		s.log.Info("store read directly, no relay in contact with it answers")
	}
}

// jitter returns a duration between three quarters and five quarters of d.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2) }

// pause sleeps and reports whether ctx is still alive.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
