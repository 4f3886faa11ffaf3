package suspect

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// maxCandidates bounds a crash, and maxFingerprints one candidate and all candidates of a
	// crash together. Further ones are dropped. A request header of 16 KiB has room for fewer
	// parts of a prompt.
	maxCandidates   = 16
	maxFingerprints = 2048
	// maxStoredFingerprints bounds the fingerprints of all crashes together, so that the encoded
	// evidence fits into a message to a relay.
	maxStoredFingerprints = 4 * maxFingerprints
	// maxSoundMarks and maxTrials bound the evidence besides its crashes. A long prompt can need
	// a mark for each part.
	maxSoundMarks = maxFingerprints
	maxTrials     = 64
	// maxIDBytes bounds the ID of a crash and the owner of a trial.
	maxIDBytes = 256
	// maxStoredCrashes bounds the crashes of decoded evidence.
	maxStoredCrashes = 64
	// maxMillis bounds times and maxNumber the numbers of crashes and trials, so that sums and
	// differences cannot overflow.
	maxMillis = 1 << 53
	maxNumber = 1 << 53
	// evidenceVersion is the format version of encoded evidence.
	evidenceVersion = 1
)

// ErrCorruptEvidence means that encoded evidence cannot be decoded.
var ErrCorruptEvidence = merry.New("evidence of crashes is corrupt")

// Policy decides when a fingerprint is blocked and when it is tried again.
type Policy struct {
	// BegunCrashes is the number of crashes after which a fingerprint is blocked if its requests
	// were the only ones at their servers that had got the head of an answer and no event,
	// AnsweringCrashes the number if they had got their first event shortly before, as bystanders
	// have more often, and Crashes the number for other requests. All kinds add up in proportion.
	BegunCrashes, AnsweringCrashes, Crashes int
	// RepeatCrashes is the number for a whole request, of whatever kind: one that is in progress at
	// each of several crashes has been repeated, which few bystanders are.
	RepeatCrashes int
	// MinSpacing is the time within which crashes count once against a fingerprint: servers
	// that crash together have a common cause other than a request.
	MinSpacing time.Duration
	// FirstTrial is the time from a block to the first trial request. It doubles after each
	// trial up to MaxTrial.
	FirstTrial, MaxTrial time.Duration
	// TTL is how long a process keeps a crash that blocks nothing.
	TTL time.Duration
	// MaxCrashes bounds the crashes kept. Those that decide nothing are dropped first.
	MaxCrashes int
}

// DefaultPolicy returns the policy of the gates.
func DefaultPolicy() Policy {
	return Policy{
		BegunCrashes: 3, AnsweringCrashes: 4, Crashes: 5, RepeatCrashes: 3, MinSpacing: 500 * time.Millisecond,
		FirstTrial: 15 * time.Second, MaxTrial: time.Hour, TTL: time.Hour, MaxCrashes: maxStoredCrashes,
	}
}

// trialInterval returns the time from a block, or from the last of the given number of
// trials, to the next trial.
func (p Policy) trialInterval(trials int) time.Duration {
	interval := p.FirstTrial
	for range min(trials, 32) {
		if interval >= p.MaxTrial {
			break
		}
		interval *= 2
	}
	return min(interval, p.MaxTrial)
}

// Candidate is a request that may have caused a crash.
type Candidate struct {
	// Fingerprints are those of the request, from the one that it shares with most requests
	// to its own: the parts of its prompt without the last one, then the whole request.
	Fingerprints []uint64 `json:"f"`
	// Begun means that the head of the response was received, and no event.
	Begun bool `json:"begun,omitempty"`
	// Answering means that the first event was received shortly before the crash.
	Answering bool `json:"answering,omitempty"`
}

// strong reports whether the server had just begun to answer the request when it crashed.
func (c Candidate) strong() bool { return c.Begun || c.Answering }

// Crash is a crash of a server.
type Crash struct {
	// ID identifies the server instance and its lifetime, so that it is the same in all
	// reports of the crash.
	ID string `json:"id"`
	// Number is the position in the order of crashes. Evidence sets it.
	Number int64 `json:"n"`
	// At is the Unix time in milliseconds of the first report.
	At         int64       `json:"at"`
	Candidates []Candidate `json:"c"`
}

// SoundMark states that a request with a fingerprint was answered.
type SoundMark struct {
	Fingerprint uint64 `json:"f"`
	// UpTo is the number of the last crash before the answer. Crashes up to it do not count
	// against the fingerprint.
	UpTo int64 `json:"n"`
	// ClosedUpTo is set if the fingerprint was blocked. Crashes up to it with the fingerprint
	// as a candidate count against no other either: their cause has been removed.
	ClosedUpTo int64 `json:"closed,omitempty"`
}

// Trial is the last trial of a blocked fingerprint.
type Trial struct {
	Fingerprint uint64 `json:"f"`
	// Count is the number of trials since the block.
	Count int `json:"count"`
	// Owner identifies the trial and the process that was permitted to run it.
	Owner string `json:"owner"`
}

// Evidence is what is known of the causes of crashes. Its merges are idempotent.
type Evidence struct {
	Version int `json:"v"`
	// LastNumber is the number of the latest crash, also if that crash is no longer kept.
	LastNumber int64       `json:"last"`
	Crashes    []Crash     `json:"crashes,omitempty"`
	Sound      []SoundMark `json:"sound,omitempty"`
	Trials     []Trial     `json:"trials,omitempty"`
}

// clone returns a copy that can be changed. Candidates are never changed in place.
func (e *Evidence) clone() Evidence {
	c := *e
	c.Crashes, c.Sound, c.Trials = slices.Clone(e.Crashes), slices.Clone(e.Sound), slices.Clone(e.Trials)
	return c
}

// addCrash adds a crash, or merges its candidates with those of the crash with the same ID.
// It reports whether the evidence has changed.
func (e *Evidence) addCrash(c Crash) bool {
	candidates := mergeCandidates(nil, c.Candidates)
	if c.ID == "" || len(c.ID) > maxIDBytes || len(candidates) == 0 {
		return false
	}
	if i := e.indexOf(c.ID); i >= 0 {
		known := &e.Crashes[i]
		merged := mergeCandidates(known.Candidates, candidates)
		if slices.EqualFunc(merged, known.Candidates, Candidate.equal) {
			return false
		}
		known.Candidates = merged
		return true
	}
	if e.LastNumber >= maxNumber {
		e.renumber()
	}
	e.LastNumber++
	e.Crashes = append(e.Crashes, Crash{
		ID: c.ID, Number: e.LastNumber, At: min(max(c.At, 0), maxMillis), Candidates: candidates,
	})
	return true
}

// renumber gives the crashes the lowest numbers, in the same order.
func (e *Evidence) renumber() {
	upTo := func(number int64) int64 {
		return int64(len(slices.DeleteFunc(slices.Clone(e.Crashes), func(c Crash) bool { return c.Number > number })))
	}
	for i := range e.Sound {
		e.Sound[i].UpTo, e.Sound[i].ClosedUpTo = upTo(e.Sound[i].UpTo), upTo(e.Sound[i].ClosedUpTo)
	}
	e.Sound = slices.DeleteFunc(e.Sound, func(s SoundMark) bool { return s.UpTo == 0 })
	for i := range e.Crashes {
		e.Crashes[i].Number = int64(i + 1)
	}
	e.LastNumber = int64(len(e.Crashes))
}

func (c Candidate) equal(o Candidate) bool {
	return c.Begun == o.Begun && c.Answering == o.Answering && slices.Equal(c.Fingerprints, o.Fingerprints)
}

// ranks is the number of ranks of candidates.
const ranks = 3

// rank orders candidates: those that are most probably the cause come first.
func (c Candidate) rank() int {
	switch {
	case c.Begun:
		return 0
	case c.Answering:
		return 1
	}
	return 2
}

// mergeCandidates returns the union of the candidates, strong ones first. All kinds stay: servers may
// send heads long before they begin to answer, so the head of one response does not clear the requests
// without one.
func mergeCandidates(known, added []Candidate) []Candidate {
	merged := slices.Clone(known)
	for _, c := range added {
		if len(c.Fingerprints) == 0 {
			continue
		}
		if n := len(c.Fingerprints); n > maxFingerprints { // keeps the whole request
			c.Fingerprints = append(slices.Clone(c.Fingerprints[:maxFingerprints-1]), c.Fingerprints[n-1])
		}
		same := slices.IndexFunc(merged, func(m Candidate) bool { return slices.Equal(m.Fingerprints, c.Fingerprints) })
		if same < 0 {
			merged = append(merged, c)
			continue
		}
		merged[same].Begun = merged[same].Begun || c.Begun
		merged[same].Answering = merged[same].Answering || c.Answering
	}
	merged = boundCandidates(merged)
	slices.SortStableFunc(merged, func(a, b Candidate) int { return cmp.Compare(a.rank(), b.rank()) })
	return merged
}

// boundCandidates drops candidates beyond maxCandidates and maxFingerprints. It keeps the first of each
// kind, then the second of each, and so on, so that many candidates of one kind do not displace another.
func boundCandidates(candidates []Candidate) []Candidate {
	type turn struct {
		Candidate
		number int
	}
	turns := make([]turn, len(candidates))
	seen := [ranks]int{}
	for i, c := range candidates {
		turns[i] = turn{c, seen[c.rank()]}
		seen[c.rank()]++
	}
	slices.SortStableFunc(turns, func(a, b turn) int {
		return cmp.Or(cmp.Compare(a.number, b.number), cmp.Compare(a.rank(), b.rank()))
	})
	var kept []Candidate
	fingerprints := 0
	for _, t := range turns {
		fingerprints += len(t.Fingerprints)
		if len(kept) == maxCandidates || len(kept) > 0 && fingerprints > maxFingerprints {
			break
		}
		kept = append(kept, t.Candidate)
	}
	return kept
}

// fingerprintCount returns the number of fingerprints of candidates, with repetitions.
func fingerprintCount(candidates []Candidate) int {
	n := 0
	for _, c := range candidates {
		n += len(c.Fingerprints)
	}
	return n
}

// fingerprintCount returns the number of fingerprints of all crashes, with repetitions.
func (e *Evidence) fingerprintCount() int {
	n := 0
	for _, c := range e.Crashes {
		n += fingerprintCount(c.Candidates)
	}
	return n
}

func (e *Evidence) indexOf(id string) int {
	return slices.IndexFunc(e.Crashes, func(c Crash) bool { return c.ID == id })
}

// numberOf returns the number of a crash, 0 if it is not known.
func (e *Evidence) numberOf(id string) int64 {
	if i := e.indexOf(id); i >= 0 {
		return e.Crashes[i].Number
	}
	return 0
}

// addSound merges a mark and reports whether the evidence has changed.
func (e *Evidence) addSound(mark SoundMark) bool {
	if mark.UpTo <= 0 {
		return false
	}
	i := slices.IndexFunc(e.Sound, func(s SoundMark) bool { return s.Fingerprint == mark.Fingerprint })
	if i < 0 {
		e.Sound = append(e.Sound, mark)
		return true
	}
	known := &e.Sound[i]
	before := *known
	known.UpTo, known.ClosedUpTo = max(known.UpTo, mark.UpTo), max(known.ClosedUpTo, mark.ClosedUpTo)
	return *known != before
}

// hasSound reports whether the evidence contains a mark.
func (e *Evidence) hasSound(mark SoundMark) bool {
	return slices.ContainsFunc(e.Sound, func(s SoundMark) bool {
		return s.Fingerprint == mark.Fingerprint && s.UpTo >= mark.UpTo && s.ClosedUpTo >= mark.ClosedUpTo
	})
}

// trialOf returns the last trial of a fingerprint, the zero Trial if there was none.
func (e *Evidence) trialOf(fingerprint uint64) Trial {
	for _, t := range e.Trials {
		if t.Fingerprint == fingerprint {
			return t
		}
	}
	return Trial{Fingerprint: fingerprint}
}

// addTrial records a further trial of a fingerprint.
func (e *Evidence) addTrial(fingerprint uint64, owner string) {
	next := e.trialOf(fingerprint)
	next.Count, next.Owner = min(next.Count+1, maxNumber), owner
	e.Trials = slices.DeleteFunc(e.Trials, func(t Trial) bool { return t.Fingerprint == fingerprint })
	e.Trials = append(e.Trials, next)
}

// Encode returns the evidence as it is stored.
func (e *Evidence) Encode() ([]byte, error) {
	stored := *e
	stored.Version = evidenceVersion
	return json.Marshal(&stored)
}

// DecodeEvidence decodes evidence. It returns empty evidence if raw is empty, which means that
// the key does not exist. The error wraps ErrCorruptEvidence.
func DecodeEvidence(raw []byte) (Evidence, error) {
	e := Evidence{Version: evidenceVersion}
	if len(raw) == 0 {
		return e, nil
	}
	err := json.Unmarshal(raw, &e)
	if err == nil {
		err = e.validate()
	}
	if err != nil {
		return Evidence{Version: evidenceVersion}, merry.Wrap(ErrCorruptEvidence, merry.WithCause(err))
	}
	return e, nil
}

var (
	errTooMuchEvidence = errors.New("too many crashes, candidates, fingerprints, marks or trials")
	errInvalidEvidence = errors.New("numbers, times or IDs are out of range, or crashes out of order")
)

func (e *Evidence) validate() error {
	if e.Version != evidenceVersion {
		return fmt.Errorf("unsupported version %d", e.Version)
	}
	if len(e.Crashes) > maxStoredCrashes || e.fingerprintCount() > maxStoredFingerprints || len(e.Sound) > maxSoundMarks || len(e.Trials) > maxTrials {
		return errTooMuchEvidence
	}
	last := int64(0)
	ids := map[string]bool{}
	for _, c := range e.Crashes {
		if c.ID == "" || len(c.ID) > maxIDBytes || ids[c.ID] || c.Number <= last || c.At < 0 || c.At > maxMillis {
			return errInvalidEvidence
		}
		if err := validateCandidates(c.Candidates); err != nil {
			return err
		}
		ids[c.ID], last = true, c.Number
	}
	if e.LastNumber < last || e.LastNumber > maxNumber {
		return errInvalidEvidence
	}
	return e.validateMarks()
}

func validateCandidates(candidates []Candidate) error {
	if len(candidates) > maxCandidates {
		return errTooMuchEvidence
	}
	for _, c := range candidates {
		if len(c.Fingerprints) == 0 || len(c.Fingerprints) > maxFingerprints {
			return errTooMuchEvidence
		}
	}
	return nil
}

func (e *Evidence) validateMarks() error {
	for _, s := range e.Sound {
		if s.UpTo <= 0 || s.UpTo > e.LastNumber || s.ClosedUpTo < 0 || s.ClosedUpTo > s.UpTo {
			return errInvalidEvidence
		}
	}
	for _, t := range e.Trials {
		if t.Count <= 0 || t.Count > maxNumber || len(t.Owner) > maxIDBytes {
			return errInvalidEvidence
		}
	}
	return nil
}
