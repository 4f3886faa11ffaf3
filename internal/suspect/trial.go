package suspect

import (
	"context"
	"fmt"
	"time"
)

// claimTrial asks the store for the trial of all given fingerprints, which are blocked. At most
// one process gets it. A trial whose outcome is unknown is refused unless the store shows that
// this process has it.
func (s *Shared) claimTrial(ctx context.Context, fingerprints []uint64) bool {
	if !s.beginClaim() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	claimed, err := s.commitTrial(ctx, fingerprints)
	s.endClaim(err)
	switch {
	case err != nil:
		s.opts.Log.Warn("claiming a trial of a blocked fingerprint failed", "error", err)
	case claimed:
		s.stats.trials.Inc(1)
		for _, f := range fingerprints {
			s.opts.Log.Info("trial of a blocked fingerprint", "fingerprint", formatFingerprint(f))
		}
	}
	return claimed
}

// beginClaim reports whether a trial may be claimed now.
func (s *Shared) beginClaim() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.trialBusy || time.Now().Before(s.noTrialBefore) {
		return false
	}
	s.trialBusy = true
	return true
}

func (s *Shared) endClaim(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trialBusy = false
	if err != nil {
		s.noTrialBefore = time.Now().Add(trialBackoff)
	}
}

// commitTrial records the trial in the store unless another process has been faster.
func (s *Shared) commitTrial(ctx context.Context, fingerprints []uint64) (bool, error) {
	for range maxCommits {
		p, owner, due, err := s.proposeTrial(fingerprints)
		if err != nil || !due {
			return false, err
		}
		committed, err := s.commit(ctx, p)
		if err != nil || committed {
			return committed, err
		}
		if s.ownsTrial(fingerprints, owner) {
			return true, nil // a commit with an unknown outcome was applied
		}
	}
	return false, errTooManyConflicts
}

// proposeTrial returns a proposal with the next trial of the fingerprints, under a new owner
// name; due is false if one of them is not blocked any more or its trial is not due.
func (s *Shared) proposeTrial(fingerprints []uint64) (p proposal, owner string, due bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, f := range fingerprints {
		state, blocked := s.trials[f]
		if !blocked || now.Before(state.since.Add(s.opts.Policy.trialInterval(state.count))) {
			return p, "", false, nil
		}
	}
	s.claims++
	owner = fmt.Sprintf("%s/%d", s.owner, s.claims)
	p, err = s.proposeLocked(func(e *Evidence) {
		for _, f := range fingerprints {
			e.addTrial(f, owner)
		}
	})
	return p, owner, err == nil, err
}

// ownsTrial reports whether the known evidence of the store has the trials of an owner.
func (s *Shared) ownsTrial(fingerprints []uint64, owner string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range fingerprints {
		if s.base.trialOf(f).Owner != owner {
			return false
		}
	}
	return true
}
