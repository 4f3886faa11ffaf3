package suspect

import (
	"cmp"
	"math"
	"slices"
)

// standing is the result for one fingerprint.
type standing struct {
	// score grows with each crash that counts against the fingerprint.
	score   int
	blocked bool
	// passedOver is how often a more specific fingerprint was blocked instead.
	passedOver int
	// crashes are the IDs of the crashes that count.
	crashes []string
	// lastAt, in Unix milliseconds, and lastWeight are those of the last crash that counts.
	lastAt     int64
	lastWeight int
	// behind means that the previous crash seemed to precede that one.
	behind bool
}

// decision is the result of the evidence. It is the same in all processes that have the
// same evidence and policy.
type decision struct {
	policy    Policy
	standings map[uint64]*standing
	// explained holds the numbers of the crashes with a known cause.
	explained map[int64]bool
}

// threshold is the score at which a fingerprint is blocked.
func (p Policy) threshold() int {
	return p.BegunCrashes * p.AnsweringCrashes * p.Crashes * p.RepeatCrashes
}

// weight is what a crash with a candidate adds to the score of a fingerprint of it. As many crashes
// as the policy states reach the threshold. whole means that the fingerprint is that of the whole
// request.
func (p Policy) weight(c Candidate, whole bool) int {
	crashes := p.Crashes
	switch {
	case c.Begun:
		crashes = p.BegunCrashes
	case c.Answering:
		crashes = p.AnsweringCrashes
	}
	if whole {
		crashes = min(crashes, p.RepeatCrashes)
	}
	return p.threshold() / crashes
}

// maxWeight is the most that a crash adds to a score.
func (p Policy) maxWeight() int {
	return p.threshold() / min(p.BegunCrashes, p.AnsweringCrashes, p.Crashes, p.RepeatCrashes)
}

// decide goes through the crashes in their order.
func (e *Evidence) decide(p Policy) decision {
	d := decision{policy: p, standings: map[uint64]*standing{}, explained: map[int64]bool{}}
	sound := make(map[uint64]SoundMark, len(e.Sound))
	for _, s := range e.Sound {
		sound[s.Fingerprint] = s
	}
	for _, crash := range e.Crashes {
		if d.explains(crash, sound) {
			d.explained[crash.Number] = true
			continue
		}
		d.count(crash, sound)
		if cause := d.cause(crash, sound); cause != nil {
			cause.blocked = true
		}
	}
	return d
}

// explains reports whether a crash has a known cause: a blocked fingerprint, or one that was
// blocked and has been answered since.
func (d *decision) explains(crash Crash, sound map[uint64]SoundMark) bool {
	for _, candidate := range crash.Candidates {
		for _, f := range candidate.Fingerprints {
			if d.blocked(f) || sound[f].ClosedUpTo >= crash.Number {
				return true
			}
		}
	}
	return false
}

// count counts a crash once against each fingerprint of its candidates.
func (d *decision) count(crash Crash, sound map[uint64]SoundMark) {
	counted := map[uint64]bool{}
	begun := 0
	for _, candidate := range crash.Candidates {
		if candidate.Begun {
			begun++
		}
	}
	for _, candidate := range crash.Candidates {
		if begun > 1 { // a server that sends heads early, so that a head tells little
			candidate.Begun = false
		}
		for i, f := range candidate.Fingerprints {
			if counted[f] || sound[f].UpTo >= crash.Number {
				continue
			}
			counted[f] = true
			s := d.standings[f]
			if s == nil {
				s = &standing{}
				d.standings[f] = s
			}
			s.add(crash, d.policy.weight(candidate, i == len(candidate.Fingerprints)-1), d.policy.MinSpacing.Milliseconds())
		}
	}
}

// add counts a crash. Of crashes within spacing milliseconds only the heaviest counts. A crash
// that seems to precede the last one was reported by a host whose clock differs, so it does not
// count either. After two of them in a row, the last one's clock was ahead and is not used any
// more.
func (s *standing) add(crash Crash, weight int, spacing int64) {
	if gap := crash.At - s.lastAt; spacing > 0 && len(s.crashes) > 0 && gap < spacing {
		s.score += max(weight-s.lastWeight, 0)
		s.lastWeight = max(weight, s.lastWeight)
		if gap < 0 && s.behind {
			s.lastAt = crash.At
		}
		s.behind = gap < 0 && !s.behind
		return
	}
	s.behind = false
	s.score += weight
	s.lastAt, s.lastWeight = crash.At, weight
	s.crashes = append(s.crashes, crash.ID)
}

// cause returns the fingerprint to block for a crash that was counted, nil if there is none.
// All less specific fingerprints of a request that crashes servers reach the threshold no
// later than its cause, so it is the most specific one. But if one was blocked for that reason
// and crashes go on without it, the cause is among those that were passed over then.
func (d *decision) cause(crash Crash, sound map[uint64]SoundMark) *standing {
	var cause *standing
	var causeDepth int
	eligible := map[*standing]bool{}
	for _, candidate := range crash.Candidates {
		for depth, f := range candidate.Fingerprints {
			s := d.standings[f]
			if s == nil || sound[f].UpTo >= crash.Number || s.score < d.policy.threshold() {
				continue
			}
			if depth == len(candidate.Fingerprints)-1 {
				depth = math.MaxInt // the whole request
			}
			eligible[s] = true
			if cause == nil || cmp.Or(cmp.Compare(s.passedOver, cause.passedOver), cmp.Compare(depth, causeDepth), cmp.Compare(s.score, cause.score)) > 0 {
				cause, causeDepth = s, depth
			}
		}
	}
	for s := range eligible {
		if s != cause {
			s.passedOver++
		}
	}
	return cause
}

func (d *decision) blocked(fingerprint uint64) bool {
	s := d.standings[fingerprint]
	return s != nil && s.blocked
}

// nearBlock reports whether one more crash can block the fingerprint.
func (d *decision) nearBlock(fingerprint uint64) bool {
	s := d.standings[fingerprint]
	return s != nil && !s.blocked && s.score > 0 &&
		s.score+d.policy.maxWeight() >= d.policy.threshold()
}

// prune removes what is no longer needed: expired crashes that block nothing, the least
// important crashes beyond MaxCrashes, and marks and trials without effect.
func (e *Evidence) prune(p Policy, expired func(Crash) bool) {
	d := e.decide(p)
	decisive := map[string]bool{}
	for _, s := range d.standings {
		if s.blocked {
			for _, id := range s.crashes {
				decisive[id] = true
			}
		}
	}
	e.Crashes = slices.DeleteFunc(e.Crashes, func(c Crash) bool { return !decisive[c.ID] && expired(c) })
	e.dropExcess(p.MaxCrashes, maxStoredFingerprints, func(c Crash) int {
		switch {
		case d.explained[c.Number]:
			return 0
		case !decisive[c.ID]:
			return 1
		}
		return 2
	})
	e.pruneMarks()
	blocked := e.decide(p)
	e.Trials = slices.DeleteFunc(e.Trials, func(t Trial) bool { return !blocked.blocked(t.Fingerprint) })
	e.Trials = e.Trials[max(0, len(e.Trials)-maxTrials):]
}

// dropExcess drops crashes beyond a number of crashes and of their fingerprints: those of the
// lowest rank first, and the oldest first of one rank.
func (e *Evidence) dropExcess(crashes, fingerprints int, rank func(Crash) int) {
	excess, excessFingerprints := len(e.Crashes)-crashes, e.fingerprintCount()-fingerprints
	if excess <= 0 && excessFingerprints <= 0 {
		return
	}
	order := slices.Clone(e.Crashes)
	slices.SortStableFunc(order, func(a, b Crash) int { return cmp.Compare(rank(a), rank(b)) })
	dropped := map[string]bool{}
	for _, c := range order {
		if excess <= 0 && excessFingerprints <= 0 {
			break
		}
		dropped[c.ID] = true
		excess--
		excessFingerprints -= fingerprintCount(c.Candidates)
	}
	e.Crashes = slices.DeleteFunc(e.Crashes, func(c Crash) bool { return dropped[c.ID] })
}

// pruneMarks removes the marks that no crash is affected by, and the oldest beyond
// maxSoundMarks.
func (e *Evidence) pruneMarks() {
	first := map[uint64]int64{} // number of the first crash by fingerprint
	for _, c := range e.Crashes {
		for _, candidate := range c.Candidates {
			for _, f := range candidate.Fingerprints {
				if first[f] == 0 {
					first[f] = c.Number
				}
			}
		}
	}
	e.Sound = slices.DeleteFunc(e.Sound, func(s SoundMark) bool {
		return first[s.Fingerprint] == 0 || s.UpTo < first[s.Fingerprint]
	})
	if excess := len(e.Sound) - maxSoundMarks; excess > 0 {
		slices.SortStableFunc(e.Sound, func(a, b SoundMark) int { return cmp.Compare(a.UpTo, b.UpTo) })
		e.Sound = e.Sound[excess:]
	}
}
