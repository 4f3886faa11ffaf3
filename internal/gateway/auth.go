package gateway

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net/http"
	"strings"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

const (
	maxKeyBytes = 512
	// negativeTTL is how long a refused key is refused without asking again. A
	// key that was just created works at most this much later.
	negativeTTL = 2 * time.Second
	// negativeEntries bounds the refused keys that are remembered.
	negativeEntries = 4096
	// guessesPerSecond and guessBurst bound, for each workspace, the refused keys
	// of budgets that have had no valid key yet. Each can cost a call of the
	// store, and a caller could name any number of budgets.
	guessesPerSecond = 10
	guessBurst       = 50
	// knownBudgets bounds the budgets that are remembered as having a valid key;
	// it covers the 300,000 budgets of the target size over 390 routers twice.
	knownBudgets = 2048
	// guessingWorkspaces bounds the workspaces with a limit on guesses.
	guessingWorkspaces = 1024
)

// errUnauthorized is the one answer to every key that does not work, so that it
// does not tell which workspaces and budgets exist.
func errUnauthorized() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "a valid API key is required as a bearer token")
}

// caller is who sent a request.
type caller struct {
	workspace Workspace
	budget    budget.ID
}

// authenticator identifies callers by their API keys. It keeps no key, only the
// hashes of refused ones. The cache has its own lock, which is not held during
// other calls.
type authenticator struct {
	directory Directory
	wallet    Wallet
	refused   *lru.Cache[[sha256.Size]byte, time.Time] // until when
	known     *lru.Cache[budget.ID, struct{}]
	guesses   *lru.Cache[string, *rate.Limiter] // by workspace
}

func newAuthenticator(directory Directory, wallet Wallet) *authenticator {
	return &authenticator{
		directory: directory,
		wallet:    wallet,
		refused:   newCache[[sha256.Size]byte, time.Time](negativeEntries),
		known:     newCache[budget.ID, struct{}](knownBudgets),
		guesses:   newCache[string, *rate.Limiter](guessingWorkspaces),
	}
}

func newCache[K comparable, V any](size int) *lru.Cache[K, V] {
	cache, err := lru.New[K, V](size)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return cache
}

// authenticate returns who sent a request with header h.
func (a *authenticator) authenticate(ctx context.Context, h http.Header) (caller, *verdict.Error) {
	key, id, ok := bearerKey(h)
	if !ok {
		return caller{}, errUnauthorized()
	}
	workspace, ok := a.directory.Workspace(id.Workspace())
	if !ok && !a.directory.Ready() {
		return caller{}, verdict.New(verdict.NotRun, verdict.CodeNotReady, "the router has no confirmed configuration")
	}
	if !ok {
		return caller{}, errUnauthorized()
	}
	hash := sha256.Sum256([]byte(key))
	if until, ok := a.refused.Get(hash); ok {
		if time.Now().Before(until) {
			return caller{}, errUnauthorized()
		}
		a.refused.Remove(hash)
	}
	guesses := a.guessLimit(id)
	if guesses != nil && guesses.Tokens() < 1 {
		const wait = time.Second
		return caller{}, verdict.New(verdict.NotRun, verdict.CodeRateLimited, "too many API keys of unknown budgets were tried").WithRetryAfter(wait)
	}
	hashes, err := a.wallet.KeyHashes(ctx, id)
	if err != nil && verdict.CodeOf(err) != verdict.CodeNotFound {
		return caller{}, asNotRun(err, "the API key cannot be checked")
	}
	if !contains(hashes, hash[:]) {
		a.refused.Add(hash, time.Now().Add(negativeTTL))
		if guesses != nil {
			guesses.Allow()
		}
		return caller{}, errUnauthorized()
	}
	a.known.Add(id, struct{}{})
	return caller{workspace: workspace, budget: id}, nil
}

// guessLimit returns the limit on refused keys that counts for a budget, nil if
// the budget is known to have a valid key.
func (a *authenticator) guessLimit(id budget.ID) *rate.Limiter {
	if a.known.Contains(id) {
		return nil
	}
	limiter, ok := a.guesses.Get(id.Workspace())
	if !ok {
		limiter = rate.NewLimiter(guessesPerSecond, guessBurst)
		if earlier, found, _ := a.guesses.PeekOrAdd(id.Workspace(), limiter); found {
			limiter = earlier
		}
	}
	return limiter
}

// contains compares hash with all hashes in a time that does not depend on
// where it is.
func contains(hashes [][]byte, hash []byte) bool {
	found := 0
	for _, h := range hashes {
		found |= subtle.ConstantTimeCompare(h, hash)
	}
	return found == 1
}

// bearerKey returns the API key in h and the budget that it names.
func bearerKey(h http.Header) (key string, id budget.ID, ok bool) {
	values := h["Authorization"]
	if len(values) != 1 || len(values[0]) > maxKeyBytes {
		return "", "", false
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return "", "", false
	}
	rest, ok := strings.CutPrefix(key, "mw_")
	if !ok {
		return "", "", false
	}
	workspace, rest, _ := strings.Cut(rest, "_")
	name, secret, _ := strings.Cut(rest, "_")
	if !isName(workspace) || !isName(name) || secret == "" {
		return "", "", false
	}
	return key, budget.MakeID(workspace, name), true
}

func isName(s string) bool {
	const allowed = "abcdefghijklmnopqrstuvwxyz0123456789-"
	return s != "" && strings.Trim(s, allowed) == ""
}

// asNotRun returns err with the verdict not-run, for a failure before dispatch.
// The text of an error without a code is not shown to the caller.
func asNotRun(err error, detail string) *verdict.Error {
	e := &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeOf(err), Detail: detail, Err: err}
	if known, ok := asVerdict(err); ok {
		e.Detail, e.RetryAfter = known.Detail, known.RetryAfter
	} else if errors.Is(err, context.Canceled) {
		e.Code = verdict.CodeCanceled
	} else if errors.Is(err, context.DeadlineExceeded) {
		e.Code = verdict.CodeDeadlineExceeded
	}
	return e
}
