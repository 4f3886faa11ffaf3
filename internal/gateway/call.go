package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/dispatch"
	"github.com/monsoonworks/monsoonworks/internal/prefix"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// maxIdempotencyKeyBytes is the maximum length of an idempotency key.
	maxIdempotencyKeyBytes = 255
	// maxKeyClockSkew is how far the time in an idempotency key may be ahead of
	// the router's clock.
	maxKeyClockSkew = 2 * time.Second
)

// newModelCall builds the call of a model request.
func (g *Gateway) newModelCall(f format, r *http.Request, caller identity, body []byte) (*dispatch.Call, *verdict.Error) {
	req, err := parseModelRequest(f, body)
	if err != nil {
		return nil, err
	}
	model, ok := g.opts.Directory.Model(req.model)
	if !ok || !slices.Contains(caller.workspace.Models, req.model) {
		return nil, errModelNotFound(req.model)
	}
	if req.maxOutput == 0 {
		return nil, badRequest("max_tokens or max_completion_tokens is required")
	}
	if req.maxOutput > model.MaxOutputTokens {
		return nil, badRequest("the model generates at most %d tokens", model.MaxOutputTokens)
	}
	call, err := newCall(r, caller, body, model.Deadline)
	if err != nil {
		return nil, err
	}
	call.Kind = wire.KindModel
	call.Target = model.Name
	call.Path = r.URL.Path
	call.Headers = []wire.Header{{Name: "Content-Type", Value: "application/json"}}
	call.Stream = req.stream
	// Repeating a generation has no effect except its cost.
	call.Idempotent = true
	call.MaxPromptCost = req.prompt.maxTokens(model)
	call.MaxOutput = req.maxOutput
	call.MaxCost = call.MaxPromptCost + call.MaxOutput
	call.PromptTokens = req.prompt.estimateTokens(call.MaxPromptCost)
	call.Prefixes = prefix.BlockHashes(req.prompt.hashedText)
	call.Fingerprint = req.fingerprint(call.Path)
	call.RequestHash = requestHash(call)
	return call, nil
}

// newServiceCall builds the call of a plain service request.
func newServiceCall(service Service, path string, r *http.Request, caller identity, body []byte) (*dispatch.Call, *verdict.Error) {
	call, err := newCall(r, caller, body, service.Deadline)
	if err != nil {
		return nil, err
	}
	call.Kind = wire.KindService
	call.Target = service.Name
	call.Path = path
	call.Headers = requestHeaders(r.Header)
	call.Idempotent = slices.Contains(service.IdempotentMethods, r.Method)
	call.MaxCost = service.Price
	call.Fingerprint = serviceFingerprint(call)
	call.RequestHash = requestHash(call)
	return call, nil
}

// newCall sets the fields that are common to both kinds of calls.
func newCall(r *http.Request, caller identity, body []byte, limit time.Duration) (*dispatch.Call, *verdict.Error) {
	now := time.Now()
	timeout, err := requestTimeout(r.Header, orDefault(limit, DefaultDeadline))
	if err != nil {
		return nil, err
	}
	key, err := idempotencyKey(r.Header, now)
	if err != nil {
		return nil, err
	}
	return &dispatch.Call{
		Workspace:  caller.workspace.Name,
		Budget:     caller.budget,
		Method:     r.Method,
		Body:       body,
		Priority:   caller.workspace.Priority,
		Deadline:   now.Add(timeout),
		Key:        key,
		HomeRegion: caller.workspace.HomeRegion,
	}, nil
}

// requestTimeout returns the timeout of a call: the configured limit, or the
// timeout that the caller requests if that is shorter.
func requestTimeout(h http.Header, limit time.Duration) (time.Duration, *verdict.Error) {
	values := h[headerTimeout]
	if len(values) == 0 {
		return limit, nil
	}
	ms, err := strconv.ParseUint(values[0], 10, 31)
	if err != nil || ms == 0 || len(values) > 1 {
		return 0, badRequest("%s must be a positive number of milliseconds", headerTimeout)
	}
	return min(limit, time.Duration(ms)*time.Millisecond), nil
}

// idempotencyKey returns the caller's idempotency key, empty if there is none. A
// pair of quotes around the key is removed.
func idempotencyKey(h http.Header, now time.Time) (string, *verdict.Error) {
	values := h[headerIdempotencyKey]
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	if n := len(key); n >= 2 && key[0] == '"' && key[n-1] == '"' {
		key = key[1 : n-1]
	}
	if len(values) > 1 || key == "" || len(key) > maxIdempotencyKeyBytes || !isVisibleASCII(key) {
		return "", badRequest("%s must be 1 to %d visible ASCII characters", headerIdempotencyKey, maxIdempotencyKeyBytes)
	}
	if at, ok := idempotencyKeyTime(key); ok && at.After(now.Add(maxKeyClockSkew)) {
		return "", badRequest("%s carries a time that is more than %s ahead of the clock", headerIdempotencyKey, maxKeyClockSkew)
	}
	return key, nil
}

func isVisibleASCII(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// idempotencyKeyTime returns the time in an idempotency key. Only a UUIDv7 in its
// canonical form of 36 characters contains one.
func idempotencyKeyTime(key string) (time.Time, bool) {
	const uuidLength = 36
	id, err := uuid.Parse(key)
	if len(key) != uuidLength || err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	return time.UnixMilli(int64(binary.BigEndian.Uint64(id[:8]) >> 16)), true
}

// requestHash returns a hash of the method, path, budget and body. Two requests
// with the same idempotency key are the same request if their hashes are equal.
func requestHash(c *dispatch.Call) (sum [sha256.Size]byte) {
	h := sha256.New()
	for _, field := range []string{c.Method, requestPath(c), string(c.Budget)} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write([]byte(field))
	}
	h.Write(c.Body)
	h.Sum(sum[:0])
	return sum
}

// requestPath returns the path that the caller sent. Unlike Call.Path it contains
// the service's name, so that equal paths of two services differ.
func requestPath(c *dispatch.Call) string {
	if c.Kind == wire.KindService {
		return servicePrefix + c.Target + c.Path
	}
	return c.Path
}

// ignoredInFingerprint contains the members that do not affect what an engine
// computes.
var ignoredInFingerprint = map[string]bool{
	"stream": true, "stream_options": true, "user": true, "metadata": true,
	"store": true, "safety_identifier": true, "prompt_cache_key": true,
}

// fingerprint returns a hash of the path and of the members that affect the result,
// independent of the order of the members.
func (r *modelRequest) fingerprint(path string) uint64 {
	sorted := slices.Clone(r.members)
	slices.SortFunc(sorted, func(a, b member) int { return strings.Compare(a.name, b.name) })
	d := xxhash.New()
	_, _ = d.WriteString(path)
	for _, m := range sorted {
		if !ignoredInFingerprint[m.name] {
			writeField(d, m.name)
			writeField(d, m.value.Raw)
		}
	}
	return d.Sum64()
}

// serviceFingerprint returns a hash of the service, method, path and body.
func serviceFingerprint(c *dispatch.Call) uint64 {
	d := xxhash.New()
	writeField(d, c.Target)
	writeField(d, c.Method)
	writeField(d, c.Path)
	_, _ = d.Write(c.Body)
	return d.Sum64()
}

// writeField writes s and a separator. Writing to a digest never fails.
func writeField(d *xxhash.Digest, s string) {
	_, _ = d.WriteString(s)
	_, _ = d.Write([]byte{0})
}
