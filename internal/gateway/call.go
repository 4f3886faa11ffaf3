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
	// maxKeyLength bounds an idempotency key, in bytes.
	maxKeyLength = 255
	// keyClockTolerance is how far a timed key may be ahead of the clock.
	keyClockTolerance = 2 * time.Second
)

// modelCall builds the call of a model request.
func (g *Gateway) modelCall(f format, r *http.Request, who caller, body []byte) (*dispatch.Call, *verdict.Error) {
	req, err := parseModelRequest(f, body)
	if err != nil {
		return nil, err
	}
	model, ok := g.opts.Directory.Model(req.model)
	if !ok || !slices.Contains(who.workspace.Models, req.model) {
		return nil, errNoModel(req.model)
	}
	if req.maxOutput == 0 {
		return nil, badRequest("max_tokens or max_completion_tokens is required")
	}
	if req.maxOutput > model.MaxOutputTokens {
		return nil, badRequest("the model generates at most %d tokens", model.MaxOutputTokens)
	}
	call, err := newCall(r, who, body, model.Deadline)
	if err != nil {
		return nil, err
	}
	call.Kind = wire.KindModel
	call.Target = model.Name
	call.Path = r.URL.Path
	call.Headers = []wire.Header{{Name: "Content-Type", Value: "application/json"}}
	call.Stream = req.stream
	// Generating a text again has no effect but its cost.
	call.Idempotent = true
	call.PromptBound = req.prompt.bound(model)
	call.MaxOutput = req.maxOutput
	call.Reserve = call.PromptBound + call.MaxOutput
	call.PromptTokens = req.prompt.estimate(call.PromptBound)
	call.Prefixes = prefix.BlockHashes(req.prompt.head)
	call.Fingerprint = req.fingerprint(call.Path)
	call.RequestHash = requestHash(call)
	return call, nil
}

// serviceCall builds the call of a plain service.
func serviceCall(service Service, path string, r *http.Request, who caller, body []byte) (*dispatch.Call, *verdict.Error) {
	call, err := newCall(r, who, body, service.Deadline)
	if err != nil {
		return nil, err
	}
	call.Kind = wire.KindService
	call.Target = service.Name
	call.Path = path
	call.Headers = requestHeaders(r.Header)
	call.Idempotent = slices.Contains(service.IdempotentMethods, r.Method)
	call.Reserve = service.Price
	call.Fingerprint = serviceFingerprint(call)
	call.RequestHash = requestHash(call)
	return call, nil
}

// newCall fills in what both kinds of calls have in common.
func newCall(r *http.Request, who caller, body []byte, limit time.Duration) (*dispatch.Call, *verdict.Error) {
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
		Workspace:  who.workspace.Name,
		Budget:     who.budget,
		Method:     r.Method,
		Body:       body,
		Priority:   who.workspace.Priority,
		Deadline:   now.Add(timeout),
		Key:        key,
		HomeRegion: who.workspace.HomeRegion,
	}, nil
}

// requestTimeout returns how long a call may take: the configured limit, or
// less if the caller asks for less.
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

// idempotencyKey returns the caller's key, empty if there is none. A pair of
// quotes around the key is not part of it.
func idempotencyKey(h http.Header, now time.Time) (string, *verdict.Error) {
	values := h[headerIdempotencyKey]
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	if n := len(key); n >= 2 && key[0] == '"' && key[n-1] == '"' {
		key = key[1 : n-1]
	}
	if len(values) > 1 || key == "" || len(key) > maxKeyLength || !isVisibleASCII(key) {
		return "", badRequest("%s must be 1 to %d visible ASCII characters", headerIdempotencyKey, maxKeyLength)
	}
	if at, ok := KeyTime(key); ok && at.After(now.Add(keyClockTolerance)) {
		return "", badRequest("%s carries a time that is more than %s ahead of the clock", headerIdempotencyKey, keyClockTolerance)
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

// KeyTime returns the time that an idempotency key carries. Only a UUIDv7 in
// its usual form of 36 characters carries one.
func KeyTime(key string) (time.Time, bool) {
	const uuidLength = 36
	id, err := uuid.Parse(key)
	if len(key) != uuidLength || err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	return time.UnixMilli(int64(binary.BigEndian.Uint64(id[:8]) >> 16)), true
}

// requestHash covers what makes two requests with one idempotency key the same:
// method, path, budget and body.
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

// requestPath is the path as the caller sees it, so that the same path of two
// services differs.
func requestPath(c *dispatch.Call) string {
	if c.Kind == wire.KindService {
		return servicePrefix + c.Target + c.Path
	}
	return c.Path
}

// notFingerprinted holds the members that do not change what an engine computes.
var notFingerprinted = map[string]bool{
	"stream": true, "stream_options": true, "user": true, "metadata": true,
	"store": true, "safety_identifier": true, "prompt_cache_key": true,
}

// fingerprint hashes the model, the prompt and the parameters. The order of the
// members does not matter.
func (r *modelRequest) fingerprint(path string) uint64 {
	sorted := slices.Clone(r.members)
	slices.SortFunc(sorted, func(a, b member) int { return strings.Compare(a.name, b.name) })
	d := xxhash.New()
	_, _ = d.WriteString(path)
	for _, m := range sorted {
		if !notFingerprinted[m.name] {
			writeField(d, m.name)
			writeField(d, m.value.Raw)
		}
	}
	return d.Sum64()
}

func serviceFingerprint(c *dispatch.Call) uint64 {
	d := xxhash.New()
	writeField(d, c.Target)
	writeField(d, c.Method)
	writeField(d, c.Path)
	_, _ = d.Write(c.Body)
	return d.Sum64()
}

// writeField adds s and a separator. The digest returns no errors.
func writeField(d *xxhash.Digest, s string) {
	_, _ = d.WriteString(s)
	_, _ = d.Write([]byte{0})
}
