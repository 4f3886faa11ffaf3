// Package admin is what a process offers to the operators' tool: its status, and
// at a router a bounded memory of how requests ended. Nothing that a caller sent
// or received is kept.
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

// Bounds of a Memory.
const (
	// MaxAge is how long a record is kept.
	MaxAge = time.Hour
	// MaxRecords and MaxBytes bound the records of authenticated requests. A
	// record with one attempt takes 224 bytes, so 8 MiB hold 37,000 of them.
	MaxRecords = 50_000
	MaxBytes   = 8 << 20
	// maxStrangers bounds the records of requests without a valid key, which
	// anybody can send; they have a memory of their own.
	maxStrangers = 1000
	// maxDetailBytes bounds the detail of an error that is kept.
	maxDetailBytes = 240
	// chunkRecords is how many records are forgotten at once.
	chunkRecords = 256
)

// text is a string that is kept once for all records. The records hold names of
// the configuration and of hosts, which repeat.
type text = unique.Handle[string]

// record is the compact form of wire.AdminRecord.
type record struct {
	request                         uuid.UUID
	at                              time.Time
	workspace, budget, target, code text
	detail                          string
	reserve, billed                 budget.Tokens
	elapsed                         time.Duration
	hops                            []hop
	status                          int16
	verdict                         verdict.Verdict
	dispatched                      bool
}

// hop is the compact form of wire.AdminAttempt.
type hop struct {
	attempt                      uuid.UUID
	server, region, reason, code text
	reserved, billed             budget.Tokens
	elapsed                      time.Duration
	verdict                      verdict.Verdict
}

func (r *record) bytes() int {
	return int(unsafe.Sizeof(*r)) + len(r.detail) + len(r.hops)*int(unsafe.Sizeof(hop{}))
}

// Memory remembers how requests ended. It is safe for concurrent use; its mutex
// is a leaf.
type Memory struct {
	router  string
	started time.Time

	mu        sync.Mutex
	known     ring
	strangers ring
}

// NewMemory returns an empty memory of the named router.
func NewMemory(router string) *Memory {
	return &Memory{
		router: router, started: time.Now(),
		known:     ring{maxRecords: MaxRecords, maxBytes: MaxBytes},
		strangers: ring{maxRecords: maxStrangers, maxBytes: MaxBytes / 16},
	}
}

// Finished implements gateway.Options.Finished.
func (m *Memory) Finished(r gateway.Record) {
	call, out := r.Call, r.Outcome
	kept := record{
		request: call.Request, at: time.Now(), workspace: unique.Make(call.Workspace),
		budget: unique.Make(string(call.Budget)), target: unique.Make(call.Target),
		reserve: call.Reserve, elapsed: r.Elapsed, status: int16(r.Status), verdict: out.Verdict, dispatched: true,
	}
	kept.setError(out.Err, len(out.Attempts) > 0)
	if out.Bill != nil {
		kept.billed = out.Bill.Amount
	}
	for _, h := range out.Attempts {
		kept.hops = append(kept.hops, compactHop(h))
	}
	kept.hops = slices.Clip(kept.hops)
	m.add(&m.known, kept)
}

func compactHop(h dispatch.AttemptSummary) hop {
	return hop{
		attempt: h.ID, server: unique.Make(h.Server), region: unique.Make(h.Region),
		reason: unique.Make(h.Reason), code: unique.Make(string(h.Code)),
		reserved: h.Reserved, billed: h.Billed, elapsed: h.Elapsed, verdict: h.Verdict,
	}
}

// Refused implements gateway.Options.Refused.
func (m *Memory) Refused(r gateway.Refusal) {
	kept := record{
		request: r.Request, at: time.Now(), workspace: unique.Make(r.Budget.Workspace()),
		budget: unique.Make(string(r.Budget)), target: unique.Make(r.Target),
		reserve: r.Reserve, elapsed: r.Elapsed, status: int16(r.Status),
	}
	kept.setError(r.Err, false)
	if r.Authenticated {
		m.add(&m.known, kept)
	} else {
		m.add(&m.strangers, kept)
	}
}

// setError keeps an error. sent tells that a server was tried.
func (r *record) setError(err *verdict.Error, sent bool) {
	r.code = unique.Make("")
	if err == nil {
		return
	}
	r.code, r.verdict = unique.Make(string(err.Code)), err.Verdict
	detail := keptDetail(err, sent)
	r.detail = strings.Clone(detail[:min(len(detail), maxDetailBytes)])
}

// quoted matches what a detail quotes.
var quoted = regexp.MustCompile(`"(?:[^"\\]|\\.)*"`)

// keptDetail returns the part of an error's detail that holds nothing of the
// caller's content. An engine's message can repeat a part of the prompt, so only
// the code's title is kept of it; the gateway quotes what it repeats.
func keptDetail(err *verdict.Error, sent bool) string {
	switch err.Code {
	case verdict.CodeBadRequest, verdict.CodeNotFound, verdict.CodeTooLarge:
		if !sent {
			return quoted.ReplaceAllString(err.Detail, `"..."`)
		}
	case verdict.CodeServerError, verdict.CodeInternal:
	case verdict.CodeOverloaded:
		if !sent {
			return err.Detail
		}
	default:
		return err.Detail
	}
	return err.Problem("").Title
}

func (m *Memory) add(to *ring, r record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	to.add(r)
}

// Explain returns the records of a request; there can be several if callers use
// the same request id, which routers never do.
func (m *Memory) Explain(request uuid.UUID) []wire.AdminRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []wire.AdminRecord
	for r := range m.all(time.Time{}) {
		if r.request == request {
			out = append(out, m.expand(r))
		}
	}
	return out
}

// Refusals counts how the requests of a workspace ended since a time, the most
// frequent code first.
func (m *Memory) Refusals(workspace string, since time.Time) wire.AdminRefusalsReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := wire.AdminRefusalsReply{Retention: m.reach()}
	examples, counts := map[text]*record{}, map[text]int{}
	of, none := unique.Make(workspace), unique.Make("")
	for r := range m.all(since) {
		if r.workspace != of {
			continue
		}
		if r.code == none {
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
			Code: verdict.Code(code.Value()), Count: counts[code], Example: m.expand(r),
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

// all goes over the records after a time. The caller holds mu.
func (m *Memory) all(since time.Time) func(yield func(*record) bool) {
	return func(yield func(*record) bool) {
		for _, from := range []*ring{&m.known, &m.strangers} {
			for _, chunk := range from.chunks {
				for i := range chunk {
					if chunk[i].at.After(since) && !yield(&chunk[i]) {
						return
					}
				}
			}
		}
	}
}

// Reach says how far the memory reaches back.
func (m *Memory) Reach() wire.AdminRetention {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reach()
}

func (m *Memory) reach() wire.AdminRetention {
	since := m.started
	if m.known.forgotten.After(since) {
		since = m.known.forgotten
	}
	return wire.AdminRetention{Router: m.router, Records: m.known.records, SinceMillis: time.Since(since).Milliseconds()}
}

func (m *Memory) expand(r *record) wire.AdminRecord {
	out := wire.AdminRecord{
		Request: r.request, Router: m.router, UnixMilli: r.at.UnixMilli(), Workspace: r.workspace.Value(),
		Budget: budget.ID(r.budget.Value()), Target: r.target.Value(), Dispatched: r.dispatched,
		Status: int(r.status), Verdict: r.verdict, Code: verdict.Code(r.code.Value()), Detail: r.detail,
		MaxCost: r.reserve, Billed: r.billed, ElapsedMillis: r.elapsed.Milliseconds(),
	}
	for _, h := range r.hops {
		out.Attempts = append(out.Attempts, wire.AdminAttempt{
			Server: h.server.Value(), Region: h.region.Value(), Reason: h.reason.Value(), Attempt: h.attempt,
			Reserved: h.reserved, Billed: h.billed, Verdict: h.verdict, Code: verdict.Code(h.code.Value()),
			ElapsedMillis: h.elapsed.Milliseconds(),
		})
	}
	return out
}

// ring keeps the latest records in chunks, oldest first.
type ring struct {
	maxRecords, maxBytes int
	chunks               [][]record
	records, bytes       int
	// forgotten is the time of the last record that was dropped.
	forgotten time.Time
}

func (g *ring) add(r record) {
	last := len(g.chunks) - 1
	if last < 0 || len(g.chunks[last]) == chunkRecords {
		g.chunks = append(g.chunks, make([]record, 0, chunkRecords))
		last++
	}
	g.chunks[last] = append(g.chunks[last], r)
	g.records++
	g.bytes += r.bytes()
	for len(g.chunks) > 1 && (g.records > g.maxRecords || g.bytes > g.maxBytes || r.at.Sub(newest(g.chunks[0])) > MaxAge) {
		g.drop()
	}
}

func newest(chunk []record) time.Time { return chunk[len(chunk)-1].at }

// drop forgets the oldest chunk.
func (g *ring) drop() {
	oldest := g.chunks[0]
	g.forgotten = newest(oldest)
	for i := range oldest {
		g.bytes -= oldest[i].bytes()
	}
	g.records -= len(oldest)
	g.chunks[0] = nil
	g.chunks = g.chunks[1:]
}
