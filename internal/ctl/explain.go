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

// Explanation describes the outcome of a request: the record that its router
// kept, and whether its bill is durable.
type Explanation struct {
	Request uuid.UUID        `json:"request"`
	Record  wire.AdminRecord `json:"record"`
	// Description is nil if the caller received the complete response.
	Description *CodeDescription `json:"words,omitempty"`
	// Verdict and Settled say in words whether the request ran, and what was billed
	// for it.
	Verdict string     `json:"verdict_in_words"`
	Settled string     `json:"settled"`
	Bills   []BillItem `json:"durable_bills"`
	// Unreachable lists the routers whose call failed. Retention has an entry for
	// each of the others.
	Unreachable []string              `json:"routers_not_reached"`
	Retention   []wire.AdminRetention `json:"memory"`
}

// RecordNotFoundError means that no router that replied has a record of the
// request.
type RecordNotFoundError struct {
	Request     uuid.UUID
	Unreachable []string
	Retention   []wire.AdminRetention
}

// Error implements error.
func (e *RecordNotFoundError) Error() string {
	text := fmt.Sprintf("no router remembers request %s", e.Request)
	for _, r := range e.Retention {
		text += fmt.Sprintf("; %s remembers the last %s", r.Router, retentionPeriod(r))
	}
	if len(e.Unreachable) > 0 {
		text += "; not reached: " + strings.Join(e.Unreachable, " ")
	}
	return text
}

// retentionPeriod returns how far back the records of a router go.
func retentionPeriod(r wire.AdminRetention) time.Duration {
	return (time.Duration(r.SinceMillis) * time.Millisecond).Round(time.Second)
}

// Explain asks all routers for their record of a request. If budgets is nil, the
// durable bills are not checked. The error is a *RecordNotFoundError if no router that
// replied has a record.
func Explain(ctx context.Context, f *Fleet, budgets *BudgetStore, request uuid.UUID) (*Explanation, error) {
	e := &Explanation{Request: request, Bills: []BillItem{}, Unreachable: []string{}}
	found := false
	for _, result := range CallAll[wire.AdminExplainReply](ctx, f, wire.RoleRouter, "Admin.Explain", &wire.AdminExplainArgs{Request: request}) {
		if result.Err != nil {
			e.Unreachable = append(e.Unreachable, result.Host.Name)
			continue
		}
		e.Retention = append(e.Retention, result.Reply.Retention)
		if len(result.Reply.Records) > 0 {
			e.Record, found = result.Reply.Records[0], true
		}
	}
	if !found {
		return nil, &RecordNotFoundError{Request: request, Unreachable: e.Unreachable, Retention: e.Retention}
	}
	if e.Record.Code != "" {
		description := DescribeCode(e.Record.Code)
		e.Description = &description
	}
	e.Verdict = describeVerdict(e.Record.Verdict)
	e.readSettlement(ctx, budgets)
	return e, nil
}

func describeVerdict(v verdict.Verdict) string {
	switch v {
	case verdict.Ran:
		return "the request ran"
	case verdict.NotRun:
		return "the request did not run and never will"
	}
	return "the request may have run"
}

// readSettlement looks up the durable bills of the request and describes how it
// was settled.
func (e *Explanation) readSettlement(ctx context.Context, budgets *BudgetStore) {
	switch {
	case !e.Record.Dispatched:
		e.Settled = "nothing was reserved"
		return
	case budgets == nil:
		e.Settled = "not checked: the store cannot be reached"
		return
	}
	bills, err := budgets.ListBills(ctx, e.Record.Budget, time.Time{}, time.Time{})
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
		e.Settled = "nothing; the reservation was released"
	}
}

// Tables implements Result.
func (e *Explanation) Tables() []Table {
	r := e.Record
	summary := Table{Title: "request " + e.Request.String(), Columns: []string{"what", "value"}, Rows: [][]string{
		{"router", r.Router}, {"ended", time.UnixMilli(r.UnixMilli).UTC().Format(time.RFC3339Nano)},
		{"workspace, budget", fmt.Sprintf("%s, %s", r.Workspace, r.Budget)}, {"model or service", orDash(r.Target)},
		{"HTTP status", strconv.Itoa(r.Status)}, {"verdict", fmt.Sprintf("%s: %s", r.Verdict, e.Verdict)},
		{"reserved at most", tokens(r.MaxCost)}, {"billed", tokens(r.Billed)}, {"settled", e.Settled},
		{"took", fmt.Sprintf("%d ms", r.ElapsedMillis)},
	}}
	if e.Description != nil {
		summary.Rows = append(summary.Rows, []string{"code", string(r.Code)}, []string{"told the caller", r.Detail},
			[]string{"reason", e.Description.Reason}, []string{"what helps", e.Description.Help})
	}
	attempts := Table{Title: "no server was tried"}
	if len(r.Attempts) > 0 {
		attempts = Table{Title: "servers tried", Columns: []string{"server", "region", "chosen because", "reserved", "billed", "verdict", "code", "ms", "attempt"}}
	}
	for _, a := range r.Attempts {
		attempts.Rows = append(attempts.Rows, []string{a.Server, a.Region, a.Reason, tokens(a.Reserved), tokens(a.Billed),
			a.Verdict.String(), orDash(string(a.Code)), strconv.FormatInt(a.ElapsedMillis, 10), a.Attempt.String()})
	}
	return []Table{summary, attempts}
}

// RefusalCount is the number of requests of a workspace that ended with a code.
type RefusalCount struct {
	Code        verdict.Code     `json:"code"`
	Count       int              `json:"count"`
	Description CodeDescription  `json:"words"`
	Example     wire.AdminRecord `json:"example"`
}

// Refusals counts the requests of a workspace that ended in a period until now, over all
// routers that replied.
type Refusals struct {
	Workspace string `json:"workspace"`
	// Since is the length of the period, such as "10m0s".
	Since string `json:"since"`
	// Completed is the number of requests with a complete response; Refusals counts
	// the others by code, the most frequent first.
	Completed   int            `json:"answered"`
	Refusals    []RefusalCount `json:"refusals"`
	Unreachable []string       `json:"routers_not_reached"`
	// ShortRetention lists the routers whose records do not cover the whole period,
	// with the period that they cover.
	ShortRetention []string `json:"short_memory"`
}

// ExplainRefusals counts the requests of a workspace that ended in the given period until
// now, over all routers. It counts those without a complete response by code. It fails if
// no router could be reached.
func ExplainRefusals(ctx context.Context, f *Fleet, workspace string, period time.Duration) (*Refusals, error) {
	out := &Refusals{Workspace: workspace, Since: period.String(), Refusals: []RefusalCount{}, Unreachable: []string{}, ShortRetention: []string{}}
	args := &wire.AdminRefusalsArgs{Workspace: workspace, SinceMillis: period.Milliseconds()}
	reached := false
	for _, result := range CallAll[wire.AdminRefusalsReply](ctx, f, wire.RoleRouter, "Admin.Refusals", args) {
		if result.Err != nil {
			out.Unreachable = append(out.Unreachable, result.Host.Name)
			continue
		}
		reached = true
		out.Completed += result.Reply.Completed
		if retained := retentionPeriod(result.Reply.Retention); retained < period {
			out.ShortRetention = append(out.ShortRetention, fmt.Sprintf("%s (%s)", result.Host.Name, retained))
		}
		for _, r := range result.Reply.Refusals {
			out.merge(r)
		}
	}
	if !reached {
		return nil, fmt.Errorf("no router could be reached: %s", strings.Join(out.Unreachable, " "))
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
			Code: part.Code, Count: part.Count, Description: DescribeCode(part.Code), Example: part.Example,
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
		Title:   fmt.Sprintf("%s in the last %s: %d completed", r.Workspace, r.Since, r.Completed),
		Columns: []string{"code", "count", "verdict", "reason", "what helps", "latest example", "told the caller"},
	}
	if len(r.Refusals) == 0 {
		t.Title += ", none refused or failed"
	}
	for _, c := range r.Refusals {
		t.Rows = append(t.Rows, []string{string(c.Code), strconv.Itoa(c.Count), c.Example.Verdict.String(), c.Description.Reason,
			c.Description.Help, c.Example.Request.String(), c.Example.Detail})
	}
	tables := []Table{t}
	if len(r.Unreachable) > 0 {
		tables = append(tables, Table{Title: "not counted, because not reached: " + strings.Join(r.Unreachable, " ")})
	}
	if len(r.ShortRetention) > 0 {
		tables = append(tables, Table{Title: "not counted for the whole period, because their records do not go back that far: " + strings.Join(r.ShortRetention, ", ")})
	}
	return tables
}
