package suspect

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// answerTTL is how long an answer shows that its request crashes no server. Within it, a crash
	// counts against none of the request's fingerprints.
	answerTTL = 2 * time.Second
	// maxAnswers bounds the fingerprints whose last answer is known.
	maxAnswers = 8192
)

// answers holds when requests with a fingerprint were last answered in this process. When many
// servers crash together for another reason, it keeps the fingerprints that most requests share
// from being taken for the cause. It is safe for concurrent use. No other lock is acquired while
// its mutex is held.
type answers struct {
	mu   sync.Mutex
	last *simplelru.LRU[uint64, time.Time]
}

func newAnswers() *answers {
	last, err := simplelru.NewLRU[uint64, time.Time](maxAnswers, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &answers{last: last}
}

// add notes the answer to a request with these fingerprints.
func (a *answers) add(fingerprints []uint64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, f := range fingerprints {
		a.last.Add(f, now)
	}
}

// unanswered returns the candidates without the fingerprints that were answered recently, and
// without the candidates whose whole request was.
func (a *answers) unanswered(candidates []Candidate, now time.Time) []Candidate {
	a.mu.Lock()
	defer a.mu.Unlock()
	var rest []Candidate
	for _, c := range candidates {
		whole := len(c.Fingerprints) - 1
		if whole < 0 || a.recent(c.Fingerprints[whole], now) {
			continue
		}
		var fingerprints []uint64
		for _, f := range c.Fingerprints {
			if !a.recent(f, now) {
				fingerprints = append(fingerprints, f)
			}
		}
		c.Fingerprints = fingerprints
		rest = append(rest, c)
	}
	return rest
}

// recent reports whether a fingerprint was answered recently. The caller holds a.mu.
func (a *answers) recent(fingerprint uint64, now time.Time) bool {
	at, ok := a.last.Peek(fingerprint)
	return ok && now.Sub(at) < answerTTL
}
