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
	// maxAuthorizationBytes is the maximum length of the Authorization field.
	maxAuthorizationBytes = 512
	// rejectedKeyTTL is how long a rejected API key stays in the negative cache. A
	// key that is created meanwhile becomes usable only when its entry expires.
	rejectedKeyTTL = 2 * time.Second
	// maxRejectedKeys is the capacity of the negative cache, in keys.
	maxRejectedKeys = 4096
	// rejectedKeysPerSecond is the rate limit, per workspace, of rejected API keys
	// that name budgets for which no valid key has been seen yet. Each such key can
	// cost a store call of the budget's holder, and a caller could name any number of
	// budgets.
	rejectedKeysPerSecond = 10
	// rejectedKeyBurst is the burst size of that rate limit, in keys.
	rejectedKeyBurst = 50
	// maxVerifiedBudgets is the capacity of the cache of budgets for which a valid
	// key has been seen. At the target size of a deployment, 300,000 budgets on 390
	// routers, a router has about 770 of them, so that twice as many fit.
	maxVerifiedBudgets = 2048
	// maxKeyLimiters is the capacity of the cache of rate limiters, in workspaces.
	maxKeyLimiters = 1024
)

// errUnauthorized returns the same error for every key that is not valid, so that
// it does not reveal which workspaces and budgets exist.
func errUnauthorized() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "a valid API key is required as a bearer token")
}

// identity is the workspace and the budget that a valid API key belongs to.
type identity struct {
	workspace Workspace
	budget    budget.ID
}

// authenticator identifies callers by their API keys. It stores no key, only the
// hashes of rejected ones. Each cache has its own lock, which is not held during
// calls to other objects.
type authenticator struct {
	directory     Directory
	keys          KeySource
	rejectedUntil *lru.Cache[[sha256.Size]byte, time.Time] // expiry time, by hash of the key
	verified      *lru.Cache[budget.ID, struct{}]          // budgets for which a valid key has been seen
	limiters      *lru.Cache[string, *rate.Limiter]        // by workspace
}

func newAuthenticator(directory Directory, keys KeySource) *authenticator {
	return &authenticator{
		directory:     directory,
		keys:          keys,
		rejectedUntil: newCache[[sha256.Size]byte, time.Time](maxRejectedKeys),
		verified:      newCache[budget.ID, struct{}](maxVerifiedBudgets),
		limiters:      newCache[string, *rate.Limiter](maxKeyLimiters),
	}
}

func newCache[K comparable, V any](size int) *lru.Cache[K, V] {
	cache, err := lru.New[K, V](size)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return cache
}

// authenticate checks the API key in h and returns the identity that it belongs to.
func (a *authenticator) authenticate(ctx context.Context, h http.Header) (identity, *verdict.Error) {
	key, id, ok := parseBearerKey(h)
	if !ok {
		return identity{}, errUnauthorized()
	}
	workspace, ok := a.directory.Workspace(id.Workspace())
	if !ok && !a.directory.Ready() {
		return identity{}, verdict.New(verdict.NotRun, verdict.CodeNotReady, "the router has no confirmed configuration")
	}
	if !ok {
		return identity{}, errUnauthorized()
	}
	hash := sha256.Sum256([]byte(key))
	if until, ok := a.rejectedUntil.Get(hash); ok {
		if time.Now().Before(until) {
			return identity{}, errUnauthorized()
		}
		a.rejectedUntil.Remove(hash)
	}
	limiter := a.rejectedKeyLimiter(id)
	if limiter != nil && limiter.Tokens() < 1 {
		const wait = time.Second
		return identity{}, verdict.New(verdict.NotRun, verdict.CodeRateLimited, "too many API keys of unknown budgets were tried").WithRetryAfter(wait)
	}
	hashes, err := a.keys.KeyHashes(ctx, id)
	if err != nil && verdict.CodeOf(err) != verdict.CodeNotFound {
		return identity{}, asNotRun(err, "the API key cannot be checked")
	}
	if !containsHash(hashes, hash[:]) {
		a.rejectedUntil.Add(hash, time.Now().Add(rejectedKeyTTL))
		if limiter != nil {
			limiter.Allow()
		}
		return identity{}, errUnauthorized()
	}
	a.verified.Add(id, struct{}{})
	return identity{workspace: workspace, budget: id}, nil
}

// rejectedKeyLimiter returns the rate limiter that applies to rejected keys of a
// budget, nil if a valid key of the budget has been seen.
func (a *authenticator) rejectedKeyLimiter(id budget.ID) *rate.Limiter {
	if a.verified.Contains(id) {
		return nil
	}
	limiter, ok := a.limiters.Get(id.Workspace())
	if !ok {
		limiter = rate.NewLimiter(rejectedKeysPerSecond, rejectedKeyBurst)
		if earlier, found, _ := a.limiters.PeekOrAdd(id.Workspace(), limiter); found {
			limiter = earlier
		}
	}
	return limiter
}

// containsHash reports whether hashes contain hash, in a time that does not depend
// on its position.
func containsHash(hashes [][]byte, hash []byte) bool {
	found := 0
	for _, h := range hashes {
		found |= subtle.ConstantTimeCompare(h, hash)
	}
	return found == 1
}

// parseBearerKey returns the API key in h and the budget that the key names.
func parseBearerKey(h http.Header) (key string, id budget.ID, ok bool) {
	values := h["Authorization"]
	if len(values) != 1 || len(values[0]) > maxAuthorizationBytes {
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
	if !isValidName(workspace) || !isValidName(name) || secret == "" {
		return "", "", false
	}
	return key, budget.MakeID(workspace, name), true
}

func isValidName(s string) bool {
	const allowed = "abcdefghijklmnopqrstuvwxyz0123456789-"
	return s != "" && strings.Trim(s, allowed) == ""
}

// asNotRun converts the error of a step before dispatch to one with the verdict
// not-run. The caller receives the detail of err if that is a *verdict.Error, otherwise
// the given detail.
func asNotRun(err error, detail string) *verdict.Error {
	e := &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeOf(err), Detail: detail, Err: err}
	if verdictErr, ok := asVerdictError(err); ok {
		e.Detail, e.RetryAfter = verdictErr.Detail, verdictErr.RetryAfter
	} else if errors.Is(err, context.Canceled) {
		e.Code = verdict.CodeCanceled
	} else if errors.Is(err, context.DeadlineExceeded) {
		e.Code = verdict.CodeDeadlineExceeded
	}
	return e
}
