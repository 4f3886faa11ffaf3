package suspect

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

const (
	// minRetryAfter and maxRetryAfter bound the RetryAfter of a refused request.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// begunReportDelay bounds the random delay of a report with a candidate whose answer had
	// just begun; otherReportDelay that of other reports, which are often superseded meanwhile.
	begunReportDelay = 100 * time.Millisecond
	otherReportDelay = 600 * time.Millisecond
	// blockedMarkDelay and nearMarkDelay bound the random delay before a sound mark of a
	// fingerprint that is blocked, or one crash from it, is published. Most processes then see
	// that another one has published it.
	blockedMarkDelay = 300 * time.Millisecond
	nearMarkDelay    = 900 * time.Millisecond
	// maxPendingCrashes bounds the reports kept while the store is silent.
	maxPendingCrashes = maxStoredCrashes
)

// SharedOptions configure a Shared. Store, Log and Key are required.
type SharedOptions struct {
	// Key is the key of the evidence in the store.
	Key   string
	Store store.KV
	// Policy is DefaultPolicy if it is the zero value.
	Policy Policy
	Log    *slog.Logger
	// Metrics is the registry for counters; nil for the default registry.
	Metrics metrics.Registry
}

// Shared is a process's copy of the evidence that all gates share through the store. What
// the process has seen itself takes effect at once and without the store. It is safe for
// concurrent use.
type Shared struct {
	opts  SharedOptions
	stats sharedStats
	// owner identifies this process in trials.
	owner   string
	answers *answers
	// view is nil while nothing is suspect.
	view atomic.Pointer[view]
	wake chan struct{}

	// mu guards all fields below. It is not held during calls to the store.
	mu sync.Mutex
	// base is the evidence in the store at revision; synced is set once it is known.
	base     Evidence
	revision int64
	synced   bool
	// merged is base with what is pending here. It is replaced, never changed.
	merged Evidence
	// crashes are the reports to send, in their order. Their elements are replaced when
	// candidates are added.
	crashes []*pendingCrash
	// marks are sound marks that are not in the store. Most are never sent.
	marks map[uint64]*pendingMark
	// knownSince is when this process learned of a crash, by crash ID, and trials since when
	// it knows the state of a block. Decisions use no clock of another host.
	knownSince map[string]time.Time
	trials     map[uint64]trialState
	// trialBusy is set while a trial is claimed, and noTrialBefore after a failure of it.
	trialBusy     bool
	noTrialBefore time.Time
	// claims counts the trials that this process has tried to claim.
	claims int
	// dropped counts the reports that were dropped since the last log line about it.
	dropped int
}

type sharedStats struct {
	crashes, blocked, refused, trials, conflicts metrics.Counter
}

// pendingCrash is a report to send at sendAt.
type pendingCrash struct {
	crash  Crash
	sendAt time.Time
}

// pendingMark is a sound mark up to the crash with the ID after. sendAt is zero if it need
// not be sent.
type pendingMark struct {
	after  string
	closed bool
	sendAt time.Time
}

// trialState is the number of trials of a blocked fingerprint and since when this process
// knows it.
type trialState struct {
	count int
	since time.Time
}

// view is what Check and ReportSound need to know. It is never changed.
type view struct {
	suspects map[uint64]viewEntry
}

// viewEntry is a fingerprint with crashes that count against it.
type viewEntry struct {
	blocked bool
	// trialAt is when the next trial is due, for a blocked fingerprint.
	trialAt time.Time
	// crashes are the IDs of the crashes that count.
	crashes []string
}

// NewShared returns a Shared without evidence.
func NewShared(o SharedOptions) *Shared {
	if o.Policy == (Policy{}) {
		o.Policy = DefaultPolicy()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.DefaultRegistry
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("monsoon.suspect."+name, o.Metrics)
	}
	return &Shared{
		opts: o, owner: uuid.NewString(), answers: newAnswers(), wake: make(chan struct{}, 1),
		stats: sharedStats{
			crashes: counter("crash_reports_count"), blocked: counter("blocked_count"), refused: counter("refused_count"),
			trials: counter("trials_count"), conflicts: counter("conflicts_count"),
		},
		base: Evidence{Version: evidenceVersion}, merged: Evidence{Version: evidenceVersion},
		marks: map[uint64]*pendingMark{}, knownSince: map[string]time.Time{}, trials: map[uint64]trialState{},
	}
}

// Synced reports whether Apply has been called at least once. Until then a new process does
// not know what others have blocked, so it should not be ready.
func (s *Shared) Synced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.synced
}

// Apply applies the mirrored entry of Key; ok is false if there is none. An entry older than
// the known one is ignored. One that cannot be decoded is logged and replaced with the next
// report.
func (s *Shared) Apply(entry store.Entry, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.synced = true
	if !ok {
		// A mirror can lag behind a commit of this process, and the absence has no revision.
		// If the key was deleted, the next commit finds out by its conflict.
		return
	}
	s.applyEntry(entry)
}

// applyEntry applies an entry of the store. The caller holds s.mu.
func (s *Shared) applyEntry(entry store.Entry) {
	if entry.ModRevision <= s.revision {
		return
	}
	s.revision = entry.ModRevision
	evidence, err := DecodeEvidence(entry.Value)
	if err != nil {
		s.opts.Log.Error("evidence of crashes is corrupt, keeping the last known", "key", s.opts.Key, "revision", entry.ModRevision, "error", err)
		return
	}
	s.base = evidence
	s.refresh()
}

// Check returns nil if a request with these fingerprints may be sent to a server. Otherwise it
// returns a *verdict.Error with verdict NotRun, code CodeQuarantined and the time until the
// next trial. If a trial is due it asks the store whether this request may be the trial.
func (s *Shared) Check(ctx context.Context, fingerprints []uint64) error {
	v := s.view.Load()
	if v == nil {
		return nil
	}
	var blocked []uint64
	var trialAt time.Time
	for _, f := range fingerprints {
		if entry, ok := v.suspects[f]; ok && entry.blocked {
			blocked = append(blocked, f)
			if entry.trialAt.After(trialAt) {
				trialAt = entry.trialAt
			}
		}
	}
	if len(blocked) == 0 {
		return nil
	}
	wait := time.Until(trialAt)
	if wait <= 0 && s.claimTrial(ctx, blocked) {
		return nil
	}
	s.stats.refused.Inc(1)
	return verdict.New(verdict.NotRun, verdict.CodeQuarantined, "several servers crashed when they answered such requests").
		WithRetryAfter(min(max(wait, minRetryAfter), maxRetryAfter))
}

// Suspected reports whether a crash counts against one of the fingerprints.
func (s *Shared) Suspected(fingerprints []uint64) bool {
	v := s.view.Load()
	return v != nil && slices.ContainsFunc(fingerprints, func(f uint64) bool {
		_, ok := v.suspects[f]
		return ok
	})
}

// ReportCrash reports a crash. It takes effect in this process at once and is sent to the
// store in the background. What was answered here recently is no candidate for the cause.
func (s *Shared) ReportCrash(crash Crash) {
	crash.Candidates = s.answers.unanswered(crash.Candidates, time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	crash.At = s.alignedTime(crash.At, time.Now())
	known := s.merged.clone()
	if !known.addCrash(crash) {
		return
	}
	s.stats.crashes.Inc(1)
	delay := otherReportDelay
	if slices.ContainsFunc(crash.Candidates, Candidate.strong) {
		delay = begunReportDelay
	}
	s.addPending(&pendingCrash{crash: crash, sendAt: time.Now().Add(rand.N(delay))})
	s.refresh()
}

// alignedTime returns the time of a crash that is reported now. If the clock of this host is behind that
// of the latest crash, the crash would not count, so that the time since this process knows of that one
// is used instead. The caller holds s.mu.
func (s *Shared) alignedTime(at int64, now time.Time) int64 {
	if len(s.merged.Crashes) == 0 {
		return at
	}
	latest := s.merged.Crashes[len(s.merged.Crashes)-1]
	if at >= latest.At {
		return at
	}
	return latest.At + now.Sub(s.knownSince[latest.ID]).Milliseconds()
}

// addPending adds a report, or merges it with one of the same crash. The caller holds s.mu.
func (s *Shared) addPending(added *pendingCrash) {
	i := slices.IndexFunc(s.crashes, func(p *pendingCrash) bool { return p.crash.ID == added.crash.ID })
	if i >= 0 {
		known := s.crashes[i]
		added.crash.At = known.crash.At
		added.crash.Candidates = mergeCandidates(known.crash.Candidates, added.crash.Candidates)
		if known.sendAt.Before(added.sendAt) {
			added.sendAt = known.sendAt
		}
		s.crashes[i] = added
		return
	}
	if len(s.crashes) >= maxPendingCrashes {
		if s.dropped == 0 {
			s.opts.Log.Warn("too many unsent reports of crashes, dropping the oldest", "limit", maxPendingCrashes)
		}
		s.dropped++
		s.crashes = s.crashes[1:]
	}
	s.crashes = append(s.crashes, added)
}

// ReportSound reports that a server has answered a request with these fingerprints and lives.
// It takes effect in this process at once. It is published only for fingerprints that are
// blocked or one crash from it.
func (s *Shared) ReportSound(fingerprints []uint64) {
	s.answers.add(fingerprints, time.Now())
	v := s.view.Load()
	if v == nil {
		return
	}
	suspected := func(f uint64) bool { _, ok := v.suspects[f]; return ok }
	if !slices.ContainsFunc(fingerprints, suspected) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.merged.Crashes) == 0 {
		return // cleared since
	}
	latest := s.merged.Crashes[len(s.merged.Crashes)-1]
	for _, f := range fingerprints {
		if entry, ok := v.suspects[f]; ok {
			// Without a trial the answer may be to a request that was sent before the block. Then the
			// crashes had another cause, which has not been removed.
			tried := entry.blocked && s.trials[f].count > 0
			s.marks[f] = &pendingMark{after: latest.ID, closed: tried || s.unsentClosedMark(f)}
		}
	}
	s.refresh()
}

func (s *Shared) unsentClosedMark(fingerprint uint64) bool {
	mark := s.marks[fingerprint]
	return mark != nil && mark.closed
}

// withPending returns the evidence of the store with the pending reports, and with the marks
// that the filter selects. The caller holds s.mu.
func (s *Shared) withPending(selected func(*pendingMark) bool) Evidence {
	e := s.base.clone()
	for _, p := range s.crashes {
		e.addCrash(p.crash)
	}
	for f, mark := range s.marks {
		if selected(mark) {
			e.addSound(mark.resolve(f, &e))
		}
	}
	return e
}

// resolve returns the mark with the number of its crash, 0 if that crash is no longer known.
func (m *pendingMark) resolve(fingerprint uint64, e *Evidence) SoundMark {
	mark := SoundMark{Fingerprint: fingerprint, UpTo: e.numberOf(m.after)}
	if m.closed {
		mark.ClosedUpTo = mark.UpTo
	}
	return mark
}

// refresh derives the view from the evidence, after any change. The caller holds s.mu.
func (s *Shared) refresh() {
	now := time.Now()
	s.scheduleMarks(now)
	s.merged = s.withPending(func(*pendingMark) bool { return true })
	s.noteKnown(now)
	decided := s.merged.decide(s.opts.Policy)
	next := &view{suspects: map[uint64]viewEntry{}}
	trials := map[uint64]trialState{}
	for f, standing := range decided.standings {
		entry := viewEntry{blocked: standing.blocked, crashes: standing.crashes}
		if standing.blocked {
			state, ok := s.trials[f]
			if count := s.merged.trialOf(f).Count; !ok || state.count != count {
				state = trialState{count: count, since: now}
			}
			trials[f] = state
			entry.trialAt = state.since.Add(s.opts.Policy.trialInterval(state.count))
		}
		next.suspects[f] = entry
	}
	s.trials = trials
	s.logChanges(s.view.Load(), next)
	if len(next.suspects) == 0 {
		next = nil
	}
	s.view.Store(next)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// scheduleMarks removes the marks that have no effect any more, and schedules those that other
// processes should know of.
func (s *Shared) scheduleMarks(now time.Time) {
	unmarked := s.withPending(func(*pendingMark) bool { return false })
	decided := unmarked.decide(s.opts.Policy)
	for f, mark := range s.marks {
		resolved := mark.resolve(f, &unmarked)
		if resolved.UpTo == 0 || s.base.hasSound(resolved) {
			delete(s.marks, f)
			continue
		}
		if !mark.sendAt.IsZero() {
			continue
		}
		switch {
		case decided.blocked(f):
			mark.sendAt = now.Add(rand.N(blockedMarkDelay))
		case decided.nearBlock(f):
			mark.sendAt = now.Add(rand.N(nearMarkDelay))
		}
	}
}

// noteKnown notes since when this process knows each crash.
func (s *Shared) noteKnown(now time.Time) {
	known := make(map[string]time.Time, len(s.merged.Crashes))
	for _, c := range s.merged.Crashes {
		known[c.ID] = now
		if since, ok := s.knownSince[c.ID]; ok {
			known[c.ID] = since
		}
	}
	s.knownSince = known
}

// expired reports whether this process has known a crash for the policy's TTL. The caller
// holds s.mu.
func (s *Shared) expired(c Crash) bool {
	since, ok := s.knownSince[c.ID]
	return ok && time.Since(since) > s.opts.Policy.TTL
}

// logChanges logs the fingerprints that have been blocked or unblocked.
func (s *Shared) logChanges(before, after *view) {
	if before == nil {
		before = &view{}
	}
	for f, entry := range after.suspects {
		if entry.blocked && !before.suspects[f].blocked {
			s.stats.blocked.Inc(1)
			s.opts.Log.Warn("fingerprint blocked, requests with it crash servers", "fingerprint", formatFingerprint(f),
				"crashes", len(entry.crashes), "servers", entry.crashes, "trials", s.trials[f].count)
		}
	}
	for f, entry := range before.suspects {
		if entry.blocked && !after.suspects[f].blocked {
			s.opts.Log.Info("fingerprint no longer blocked", "fingerprint", formatFingerprint(f), "servers", entry.crashes)
		}
	}
}

func formatFingerprint(f uint64) string { return fmt.Sprintf("%016x", f) }
