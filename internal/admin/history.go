// Package admin implements the RPC service of a process for the operators' tool: the
// status of the process and, at a router, a bounded history of how requests ended.
// The history contains nothing that a caller sent or received.
//
// The daemon creates the service and passes the gateway's records to the history. The
// package must not know how requests are dispatched or billed.
package admin

import (
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"
	"unique"
	"unsafe"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/dispatch"
	"github.com/monsoonworks/monsoonworks/internal/gateway"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

const (
	// MaxAge is the retention time of a record. Records are evicted in chunks, and only
	// when a record is added, so some stay longer.
	MaxAge = time.Hour
	// MaxRecords is the maximum number of records of authenticated requests.
	MaxRecords = 50_000
	// MaxBytes is the maximum size of the records of authenticated requests. A record
	// with one attempt takes 224 bytes, so 37,000 of them fit.
	MaxBytes = 8 << 20
	// maxUnauthenticated is the maximum number of records of requests without a
	// valid key. They are kept in a separate log, because anybody can send such
	// requests and they must not evict the others.
	maxUnauthenticated = 1000
	// maxDetailBytes is the length to which the detail of an error is truncated.
	maxDetailBytes = 240
	// chunkRecords is the number of records that are evicted together.
	chunkRecords = 256
)

// internedString is a string that is stored once for all records. Names of workspaces,
// budgets, targets and servers, and error codes, repeat in many records.
type internedString = unique.Handle[string]

// record is the compact form of wire.AdminRecord.
type record struct {
	request                         uuid.UUID
	at                              time.Time
	workspace, budget, target, code internedString
	detail                          string
	maxCost, billed                 budget.Tokens
	elapsed                         time.Duration
	attempts                        []attempt
	status                          int16
	verdict                         verdict.Verdict
	dispatched                      bool
}

// attempt is the compact form of wire.AdminAttempt.
type attempt struct {
	id                           uuid.UUID
	server, region, reason, code internedString
	reserved, billed             budget.Tokens
	elapsed                      time.Duration
	verdict                      verdict.Verdict
}

// size returns the memory that r takes, in bytes, without the interned strings.
func (r *record) size() int {
	return int(unsafe.Sizeof(*r)) + len(r.detail) + len(r.attempts)*int(unsafe.Sizeof(attempt{}))
}

// History stores how requests ended. It is safe for concurrent use. No other lock is
// acquired while its mutex is held.
type History struct {
	router  string
	started time.Time

	mu              sync.Mutex
	authenticated   recordLog
	unauthenticated recordLog
}

// NewHistory returns an empty history of the named router.
func NewHistory(router string) *History {
	return &History{
		router: router, started: time.Now(),
		authenticated:   recordLog{maxRecords: MaxRecords, maxBytes: MaxBytes},
		unauthenticated: recordLog{maxRecords: maxUnauthenticated, maxBytes: MaxBytes / 16},
	}
}

// RecordFinished implements gateway.Options.Finished.
func (h *History) RecordFinished(r gateway.Record) {
	call, out := r.Call, r.Outcome
	rec := record{
		request: call.Request, at: time.Now(), workspace: unique.Make(call.Workspace),
		budget: unique.Make(string(call.Budget)), target: unique.Make(call.Target),
		maxCost: call.MaxCost, elapsed: r.Elapsed, status: int16(r.Status), verdict: out.Verdict, dispatched: true,
	}
	rec.setError(out.Err, len(out.Attempts) > 0)
	if out.Bill != nil {
		rec.billed = out.Bill.Amount
	}
	for _, a := range out.Attempts {
		rec.attempts = append(rec.attempts, compactAttempt(a))
	}
	rec.attempts = slices.Clip(rec.attempts)
	h.add(&h.authenticated, rec)
}

func compactAttempt(a dispatch.AttemptSummary) attempt {
	return attempt{
		id: a.ID, server: unique.Make(a.Server), region: unique.Make(a.Region),
		reason: unique.Make(a.Reason), code: unique.Make(string(a.Code)),
		reserved: a.Reserved, billed: a.Billed, elapsed: a.Elapsed, verdict: a.Verdict,
	}
}

// RecordRefused implements gateway.Options.Refused.
func (h *History) RecordRefused(r gateway.Refusal) {
	rec := record{
		request: r.Request, at: time.Now(), workspace: unique.Make(r.Budget.Workspace()),
		budget: unique.Make(string(r.Budget)), target: unique.Make(r.Target),
		maxCost: r.MaxCost, elapsed: r.Elapsed, status: int16(r.Status),
	}
	rec.setError(r.Err, false)
	if r.Authenticated {
		h.add(&h.authenticated, rec)
	} else {
		h.add(&h.unauthenticated, rec)
	}
}

// setError sets the code, verdict and detail of err. attempted says whether the request
// was sent to a server.
func (r *record) setError(err *verdict.Error, attempted bool) {
	r.code = unique.Make("")
	if err == nil {
		return
	}
	r.code, r.verdict = unique.Make(string(err.Code)), err.Verdict
	detail := redactedDetail(err, attempted)
	r.detail = strings.Clone(detail[:min(len(detail), maxDetailBytes)])
}

// quotedText matches quoted text in a detail.
var quotedText = regexp.MustCompile(`"(?:[^"\\]|\\.)*"`)

// redactedDetail returns the detail of an error without content of the caller's request.
// A detail that may come from an engine can contain a part of the prompt, so it is replaced
// by the title of the code. The gateway's own details quote the caller's text, so quoted
// text is removed from them.
func redactedDetail(err *verdict.Error, attempted bool) string {
	switch err.Code {
	case verdict.CodeBadRequest, verdict.CodeNotFound, verdict.CodeTooLarge:
		if !attempted {
			return quotedText.ReplaceAllString(err.Detail, `"..."`)
		}
	case verdict.CodeServerError, verdict.CodeInternal:
	case verdict.CodeOverloaded:
		if !attempted {
			return err.Detail
		}
	default:
		return err.Detail
	}
	return err.Problem("").Title
}

func (h *History) add(log *recordLog, r record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	log.add(r)
}

// Explain returns the records of a request. There is normally only one, because routers
// never reuse a request ID.
func (h *History) Explain(request uuid.UUID) []wire.AdminRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []wire.AdminRecord
	for r := range h.recordsAfter(time.Time{}) {
		if r.request == request {
			out = append(out, h.toWire(r))
		}
	}
	return out
}

// Refusals counts the requests of a workspace that have ended since a time: those with a
// complete response, and the others by code, the most frequent code first.
func (h *History) Refusals(workspace string, since time.Time) wire.AdminRefusalsReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	reply := wire.AdminRefusalsReply{Retention: h.retention()}
	examples, counts := map[internedString]*record{}, map[internedString]int{}
	wanted, noCode := unique.Make(workspace), unique.Make("")
	for r := range h.recordsAfter(since) {
		if r.workspace != wanted {
			continue
		}
		if r.code == noCode {
			reply.Completed++
			continue
		}
		counts[r.code]++
		if e := examples[r.code]; e == nil || !r.at.Before(e.at) {
			examples[r.code] = r
		}
	}
	for code, r := range examples {
		reply.Refusals = append(reply.Refusals, wire.AdminRefusalCount{
			Code: verdict.Code(code.Value()), Count: counts[code], Example: h.toWire(r),
		})
	}
	slices.SortFunc(reply.Refusals, func(a, b wire.AdminRefusalCount) int {
		if a.Count != b.Count {
			return b.Count - a.Count
		}
		return strings.Compare(string(a.Code), string(b.Code))
	})
	return reply
}

// recordsAfter returns an iterator over the records after a time. mu must be held.
func (h *History) recordsAfter(since time.Time) func(yield func(*record) bool) {
	return func(yield func(*record) bool) {
		for _, log := range []*recordLog{&h.authenticated, &h.unauthenticated} {
			for _, chunk := range log.chunks {
				for i := range chunk {
					if chunk[i].at.After(since) && !yield(&chunk[i]) {
						return
					}
				}
			}
		}
	}
}

// Retention returns how many records of authenticated requests there are and how far back
// they go.
func (h *History) Retention() wire.AdminRetention {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.retention()
}

// retention implements Retention. mu must be held.
func (h *History) retention() wire.AdminRetention {
	since := h.started
	if h.authenticated.lastEvicted.After(since) {
		since = h.authenticated.lastEvicted
	}
	return wire.AdminRetention{Router: h.router, Records: h.authenticated.records, SinceMillis: time.Since(since).Milliseconds()}
}

func (h *History) toWire(r *record) wire.AdminRecord {
	out := wire.AdminRecord{
		Request: r.request, Router: h.router, UnixMilli: r.at.UnixMilli(), Workspace: r.workspace.Value(),
		Budget: budget.ID(r.budget.Value()), Target: r.target.Value(), Dispatched: r.dispatched,
		Status: int(r.status), Verdict: r.verdict, Code: verdict.Code(r.code.Value()), Detail: r.detail,
		MaxCost: r.maxCost, Billed: r.billed, ElapsedMillis: r.elapsed.Milliseconds(),
	}
	for _, a := range r.attempts {
		out.Attempts = append(out.Attempts, wire.AdminAttempt{
			Server: a.server.Value(), Region: a.region.Value(), Reason: a.reason.Value(), Attempt: a.id,
			Reserved: a.reserved, Billed: a.billed, Verdict: a.verdict, Code: verdict.Code(a.code.Value()),
			ElapsedMillis: a.elapsed.Milliseconds(),
		})
	}
	return out
}

// recordLog stores the latest records in chunks, oldest first.
type recordLog struct {
	maxRecords, maxBytes int
	chunks               [][]record
	records, bytes       int
	// lastEvicted is the time of the latest record that was evicted.
	lastEvicted time.Time
}

func (l *recordLog) add(r record) {
	last := len(l.chunks) - 1
	if last < 0 || len(l.chunks[last]) == chunkRecords {
		l.chunks = append(l.chunks, make([]record, 0, chunkRecords))
		last++
	}
	l.chunks[last] = append(l.chunks[last], r)
	l.records++
	l.bytes += r.size()
	for len(l.chunks) > 1 && (l.records > l.maxRecords || l.bytes > l.maxBytes || r.at.Sub(newestTime(l.chunks[0])) > MaxAge) {
		l.evictOldest()
	}
}

func newestTime(chunk []record) time.Time { return chunk[len(chunk)-1].at }

// evictOldest evicts the oldest chunk.
func (l *recordLog) evictOldest() {
	oldest := l.chunks[0]
	l.lastEvicted = newestTime(oldest)
	for i := range oldest {
		l.bytes -= oldest[i].size()
	}
	l.records -= len(oldest)
	l.chunks[0] = nil
	l.chunks = l.chunks[1:]
}
