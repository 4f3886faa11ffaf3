package ctl

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Explanation is what became of a request.
type Explanation struct {
	Request   uuid.UUID             `json:"request"`
	Record    wire.AdminRecord      `json:"record"`
	Help      *CodeHelp             `json:"words,omitempty"`
	Verdict   string                `json:"verdict_in_words"`
	Settled   string                `json:"settled"`
	Bills     []BillItem            `json:"durable_bills"`
	Unreached []string              `json:"routers_not_reached"`
	Retention []wire.AdminRetention `json:"memory"`
}

// NotFoundError means that no router that answered remembers the request.
type NotFoundError struct {
	Request   uuid.UUID
	Unreached []string
	Retention []wire.AdminRetention
}

// Error implements error.
func (e *NotFoundError) Error() string {
	text := fmt.Sprintf("no router remembers request %s", e.Request)
	for _, m := range e.Retention {
		text += fmt.Sprintf("; %s remembers the last %s", m.Router, memoryAge(m))
	}
	if len(e.Unreached) > 0 {
		text += "; not reached: " + strings.Join(e.Unreached, " ")
	}
	return text
}

func memoryAge(m wire.AdminRetention) time.Duration {
	return (time.Duration(m.SinceMillis) * time.Millisecond).Round(time.Second)
}

// Explain asks all routers about a request. treasury, if not nil, tells whether
// its bill is durable.
func Explain(ctx context.Context, f *Fleet, treasury *BudgetAdmin, request uuid.UUID) (*Explanation, error) {
	e := &Explanation{Request: request, Bills: []BillItem{}, Unreached: []string{}}
	found := false
	for _, a := range CallAll[wire.AdminExplainReply](ctx, f, wire.RoleRouter, "Admin.Explain", &wire.AdminExplainArgs{Request: request}) {
		if a.Err != nil {
			e.Unreached = append(e.Unreached, a.Host.Name)
			continue
		}
		e.Retention = append(e.Retention, a.Reply.Retention)
		if len(a.Reply.Records) > 0 {
			e.Record, found = a.Reply.Records[0], true
		}
	}
	if !found {
		return nil, &NotFoundError{Request: request, Unreached: e.Unreached, Retention: e.Retention}
	}
	if e.Record.Code != "" {
		w := HelpFor(e.Record.Code)
		e.Help = &w
	}
	e.Verdict = verdictWords(e.Record.Verdict)
	e.settle(ctx, treasury)
	return e, nil
}

func verdictWords(v verdict.Verdict) string {
	switch v {
	case verdict.Ran:
		return "the request ran"
	case verdict.NotRun:
		return "the request did not run and never will"
	}
	return "the request may have run"
}

// settle finds out whether the bill is durable.
func (e *Explanation) settle(ctx context.Context, treasury *BudgetAdmin) {
	switch {
	case !e.Record.Dispatched:
		e.Settled = "nothing was reserved"
		return
	case treasury == nil:
		e.Settled = "not checked: the store cannot be reached"
		return
	}
	bills, err := treasury.ReadBills(ctx, e.Record.Budget, time.Time{}, time.Time{})
	if err != nil {
		e.Settled = "not checked: " + err.Error()
		return
	}
	var sum budget.Tokens
	for _, b := range bills.Items {
		if b.Request == e.Request {
			e.Bills = append(e.Bills, b)
			sum += b.Amount
		}
	}
	switch {
	case len(e.Bills) > 0:
		e.Settled = fmt.Sprintf("%d tokens, durable in the store", sum)
	case e.Record.Billed > 0:
		e.Settled = fmt.Sprintf("%d tokens, kept by router and agent until the next flush (at most a minute while the store is up)", e.Record.Billed)
	default:
		e.Settled = "nothing; the reservation was given back"
	}
}

// Tables implements Result.
func (e *Explanation) Tables() []Table {
	r := e.Record
	facts := Table{Title: "request " + e.Request.String(), Columns: []string{"what", "value"}, Rows: [][]string{
		{"router", r.Router}, {"ended", time.UnixMilli(r.UnixMilli).UTC().Format(time.RFC3339Nano)},
		{"workspace, budget", fmt.Sprintf("%s, %s", r.Workspace, r.Budget)}, {"model or service", orNone(r.Target)},
		{"HTTP status", strconv.Itoa(r.Status)}, {"verdict", fmt.Sprintf("%s: %s", r.Verdict, e.Verdict)},
		{"reserved at most", tokens(r.MaxCost)}, {"billed", tokens(r.Billed)}, {"settled", e.Settled},
		{"took", fmt.Sprintf("%d ms", r.ElapsedMillis)},
	}}
	if e.Help != nil {
		facts.Rows = append(facts.Rows, []string{"code", string(r.Code)}, []string{"told the caller", r.Detail},
			[]string{"reason", e.Help.Reason}, []string{"what helps", e.Help.Remedy})
	}
	hops := Table{Title: "no server was tried"}
	if len(r.Attempts) > 0 {
		hops = Table{Title: "servers tried", Columns: []string{"server", "region", "chosen because", "reserved", "billed", "verdict", "code", "ms", "attempt"}}
	}
	for _, h := range r.Attempts {
		hops.Rows = append(hops.Rows, []string{h.Server, h.Region, h.Reason, tokens(h.Reserved), tokens(h.Billed),
			h.Verdict.String(), orNone(string(h.Code)), strconv.FormatInt(h.ElapsedMillis, 10), h.Attempt.String()})
	}
	return []Table{facts, hops}
}

// RefusalCount is how often requests of a workspace ended with a code.
type RefusalCount struct {
	Code    verdict.Code     `json:"code"`
	Count   int              `json:"count"`
	Help    CodeHelp         `json:"words"`
	Example wire.AdminRecord `json:"example"`
}

// Refusals are the refusals of a workspace at all routers.
type Refusals struct {
	Workspace string         `json:"workspace"`
	Since     string         `json:"since"`
	Answered  int            `json:"answered"`
	Refusals  []RefusalCount `json:"refusals"`
	Unreached []string       `json:"routers_not_reached"`
	// ShortRetention names the routers whose memory does not reach back far enough.
	ShortRetention []string `json:"short_memory"`
}

// ExplainRefusals asks all routers for the refusals of a workspace and merges
// them.
func ExplainRefusals(ctx context.Context, f *Fleet, workspace string, since time.Duration) (*Refusals, error) {
	out := &Refusals{Workspace: workspace, Since: since.String(), Refusals: []RefusalCount{}, Unreached: []string{}, ShortRetention: []string{}}
	args := &wire.AdminRefusalsArgs{Workspace: workspace, SinceMillis: since.Milliseconds()}
	reached := false
	for _, a := range CallAll[wire.AdminRefusalsReply](ctx, f, wire.RoleRouter, "Admin.Refusals", args) {
		if a.Err != nil {
			out.Unreached = append(out.Unreached, a.Host.Name)
			continue
		}
		reached = true
		out.Answered += a.Reply.Completed
		if age := memoryAge(a.Reply.Retention); age < since {
			out.ShortRetention = append(out.ShortRetention, fmt.Sprintf("%s (%s)", a.Host.Name, age))
		}
		for _, r := range a.Reply.Refusals {
			out.merge(r)
		}
	}
	if !reached {
		return nil, fmt.Errorf("no router could be reached: %s", strings.Join(out.Unreached, " "))
	}
	slices.SortFunc(out.Refusals, func(a, b RefusalCount) int {
		return cmp.Or(b.Count-a.Count, strings.Compare(string(a.Code), string(b.Code)))
	})
	return out, nil
}

func (r *Refusals) merge(part wire.AdminRefusalCount) {
	i := slices.IndexFunc(r.Refusals, func(c RefusalCount) bool { return c.Code == part.Code })
	if i < 0 {
		r.Refusals = append(r.Refusals, RefusalCount{
			Code: part.Code, Count: part.Count, Help: HelpFor(part.Code), Example: part.Example,
		})
		return
	}
	c := &r.Refusals[i]
	c.Count += part.Count
	if part.Example.UnixMilli > c.Example.UnixMilli {
		c.Example = part.Example
	}
}

// Tables implements Result.
func (r *Refusals) Tables() []Table {
	t := Table{
		Title:   fmt.Sprintf("%s in the last %s: %d answered", r.Workspace, r.Since, r.Answered),
		Columns: []string{"code", "count", "verdict", "reason", "what helps", "latest example", "told the caller"},
	}
	if len(r.Refusals) == 0 {
		t.Title += ", none refused"
	}
	for _, c := range r.Refusals {
		t.Rows = append(t.Rows, []string{string(c.Code), strconv.Itoa(c.Count), c.Example.Verdict.String(), c.Help.Reason,
			c.Help.Remedy, c.Example.Request.String(), c.Example.Detail})
	}
	tables := []Table{t}
	if len(r.Unreached) > 0 {
		tables = append(tables, Table{Title: "not counted, because not reached: " + strings.Join(r.Unreached, " ")})
	}
	if len(r.ShortRetention) > 0 {
		tables = append(tables, Table{Title: "counted since later, because their memory does not reach back that far: " + strings.Join(r.ShortRetention, ", ")})
	}
	return tables
}
