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

// Explanation is the outcome of one request, as routers and store record it.
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

// NotFoundError means that none of the routers that replied has a record of the
// request.
type NotFoundError struct {
	Request   uuid.UUID
	Unreached []string
	Retention []wire.AdminRetention
}

// Error implements error.
func (e *NotFoundError) Error() string {
	text := fmt.Sprintf("no router remembers request %s", e.Request)
	for _, m := range e.Retention {
		text += fmt.Sprintf("; %s remembers the last %s", m.Router, retentionAge(m))
	}
	if len(e.Unreached) > 0 {
		text += "; not reached: " + strings.Join(e.Unreached, " ")
	}
	return text
}

func retentionAge(m wire.AdminRetention) time.Duration {
	return (time.Duration(m.SinceMillis) * time.Millisecond).Round(time.Second)
}

// Explain queries all routers for a request. If budgets is nil, Settled
// says that the bills were not checked. It fails with *NotFoundError if no router
// has a record of the request.
func Explain(ctx context.Context, f *Fleet, budgets *BudgetAdmin, request uuid.UUID) (*Explanation, error) {
	e := &Explanation{Request: request, Bills: []BillItem{}, Unreached: []string{}}
	found := false
	for _, result := range CallAll[wire.AdminExplainReply](ctx, f, wire.RoleRouter, "Admin.Explain", &wire.AdminExplainArgs{Request: request}) {
		if result.Err != nil {
			e.Unreached = append(e.Unreached, result.Host.Name)
			continue
		}
		e.Retention = append(e.Retention, result.Reply.Retention)
		if len(result.Reply.Records) > 0 {
			e.Record, found = result.Reply.Records[0], true
		}
	}
	if !found {
		return nil, &NotFoundError{Request: request, Unreached: e.Unreached, Retention: e.Retention}
	}
	if e.Record.Code != "" {
		help := HelpFor(e.Record.Code)
		e.Help = &help
	}
	e.Verdict = verdictText(e.Record.Verdict)
	e.checkBills(ctx, budgets)
	return e, nil
}

func verdictText(v verdict.Verdict) string {
	switch v {
	case verdict.Ran:
		return "the request ran"
	case verdict.NotRun:
		return "the request did not run and never will"
	}
	return "the request may have run"
}

// checkBills reads the durable bills of the request from the store, and sets
// Settled to a text that says what was charged and whether it is durable.
func (e *Explanation) checkBills(ctx context.Context, budgets *BudgetAdmin) {
	switch {
	case !e.Record.Dispatched:
		e.Settled = "nothing was reserved"
		return
	case budgets == nil:
		e.Settled = "not checked: the store cannot be reached"
		return
	}
	bills, err := budgets.ReadBills(ctx, e.Record.Budget, time.Time{}, time.Time{})
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
		{"workspace, budget", fmt.Sprintf("%s, %s", r.Workspace, r.Budget)}, {"model or service", orDash(r.Target)},
		{"HTTP status", strconv.Itoa(r.Status)}, {"verdict", fmt.Sprintf("%s: %s", r.Verdict, e.Verdict)},
		{"reserved at most", tokens(r.MaxCost)}, {"billed", tokens(r.Billed)}, {"settled", e.Settled},
		{"took", fmt.Sprintf("%d ms", r.ElapsedMillis)},
	}}
	if e.Help != nil {
		facts.Rows = append(facts.Rows, []string{"code", string(r.Code)}, []string{"told the caller", r.Detail},
			[]string{"reason", e.Help.Reason}, []string{"what helps", e.Help.Remedy})
	}
	attempts := Table{Title: "no server was tried"}
	if len(r.Attempts) > 0 {
		attempts = Table{Title: "servers tried", Columns: []string{"server", "region", "chosen because", "reserved", "billed", "verdict", "code", "ms", "attempt"}}
	}
	for _, a := range r.Attempts {
		attempts.Rows = append(attempts.Rows, []string{a.Server, a.Region, a.Reason, tokens(a.Reserved), tokens(a.Billed),
			a.Verdict.String(), orDash(string(a.Code)), strconv.FormatInt(a.ElapsedMillis, 10), a.Attempt.String()})
	}
	return []Table{facts, attempts}
}

// RefusalCount is the number of a workspace's requests that ended with a code.
type RefusalCount struct {
	Code    verdict.Code     `json:"code"`
	Count   int              `json:"count"`
	Help    CodeHelp         `json:"words"`
	Example wire.AdminRecord `json:"example"`
}

// Refusals counts the refusals of a workspace at all routers by code.
type Refusals struct {
	Workspace string         `json:"workspace"`
	Since     string         `json:"since"`
	Answered  int            `json:"answered"`
	Refusals  []RefusalCount `json:"refusals"`
	Unreached []string       `json:"routers_not_reached"`
	// ShortRetention names the routers whose records start later than the period
	// that was asked for.
	ShortRetention []string `json:"short_memory"`
}

// ExplainRefusals queries all routers for the refusals of a workspace in the last
// since and merges their replies. It fails if no router replies.
func ExplainRefusals(ctx context.Context, f *Fleet, workspace string, since time.Duration) (*Refusals, error) {
	out := &Refusals{Workspace: workspace, Since: since.String(), Refusals: []RefusalCount{}, Unreached: []string{}, ShortRetention: []string{}}
	args := &wire.AdminRefusalsArgs{Workspace: workspace, SinceMillis: since.Milliseconds()}
	reached := false
	for _, result := range CallAll[wire.AdminRefusalsReply](ctx, f, wire.RoleRouter, "Admin.Refusals", args) {
		if result.Err != nil {
			out.Unreached = append(out.Unreached, result.Host.Name)
			continue
		}
		reached = true
		out.Answered += result.Reply.Completed
		if age := retentionAge(result.Reply.Retention); age < since {
			out.ShortRetention = append(out.ShortRetention, fmt.Sprintf("%s (%s)", result.Host.Name, age))
		}
		for _, r := range result.Reply.Refusals {
			out.merge(r)
		}
	}
	if !reached {
		return nil, fmt.Errorf("no router could be reached: %s", strings.Join(out.Unreached, " "))
	}
	slices.SortFunc(out.Refusals, func(result, b RefusalCount) int {
		return cmp.Or(b.Count-result.Count, strings.Compare(string(result.Code), string(b.Code)))
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
