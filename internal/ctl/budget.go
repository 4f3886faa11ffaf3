package ctl

import (
	"context"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/config"
	"github.com/monsoonworks/monsoonworks/internal/operator"
	"github.com/monsoonworks/monsoonworks/internal/store"
)

// budgetIDPattern matches budget IDs. It excludes underscores, which separate the
// parts of an API key.
var budgetIDPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}(/[a-z0-9][a-z0-9-]{0,62})?$`)

// ParseBudgetID parses "WORKSPACE" or "WORKSPACE/NAME".
func ParseBudgetID(text string) (budget.ID, error) {
	if !budgetIDPattern.MatchString(text) {
		return "", InputErrorf("%q is not a budget: WORKSPACE or WORKSPACE/NAME of lower-case letters, digits and hyphens", text)
	}
	workspace, name, _ := strings.Cut(text, "/")
	return budget.MakeID(workspace, name), nil
}

// ParseAmount parses a positive whole number of tokens. Underscores may separate
// groups of digits.
func ParseAmount(text string) (budget.Tokens, error) {
	n, err := strconv.ParseInt(strings.ReplaceAll(text, "_", ""), 10, 64)
	if err != nil || n <= 0 {
		return 0, InputErrorf("%q is not an amount: a whole number of tokens above 0, such as 1_000_000", text)
	}
	return budget.Tokens(n), nil
}

// BudgetStore reads and changes the budgets of a configured deployment.
type BudgetStore struct {
	operator.BudgetManager
	Config *config.Snapshot
}

// OpenBudgetStore reads the configuration, which determines the shard of each
// budget. It fails with ErrNoConfig if none has been applied yet.
func OpenBudgetStore(ctx context.Context, kv store.KV) (*BudgetStore, error) {
	snapshot, err := ReadDeployedConfig(ctx, kv)
	if err != nil {
		return nil, err
	}
	return &BudgetStore{BudgetManager: operator.BudgetManager{KV: kv, Shards: snapshot.Deployment.Shards}, Config: snapshot}, nil
}

// RegionNames returns the names of the configured regions.
func (s *BudgetStore) RegionNames() []string {
	var names []string
	for _, r := range s.Config.Deployment.Regions {
		names = append(names, r.Name)
	}
	return names
}

// Create creates a budget if it does not exist yet. It fails with ErrInput if the
// workspace is not configured.
func (s *BudgetStore) Create(ctx context.Context, id budget.ID) error {
	if _, ok := s.Config.Workspaces[id.Workspace()]; !ok {
		return InputErrorf("workspace %q is not configured", id.Workspace())
	}
	return s.CreateBudget(ctx, id)
}

// Balances lists budgets with their durable balances.
type Balances struct {
	Budgets []operator.Balance `json:"budgets"`
}

// Balances reads the durable balances of the budgets of a workspace, or of all
// workspaces if workspace is empty.
func (s *BudgetStore) Balances(ctx context.Context, workspace string) (*Balances, error) {
	ids, err := s.Budgets(ctx, workspace)
	if err != nil {
		return nil, err
	}
	out := &Balances{Budgets: []operator.Balance{}}
	for _, id := range ids {
		b, err := s.Balance(ctx, id)
		if err != nil {
			return nil, err
		}
		out.Budgets = append(out.Budgets, b)
	}
	return out, nil
}

// Tables implements Result.
func (b *Balances) Tables() []Table {
	t := Table{Columns: []string{"budget", "paid", "spent", "lost", "left", "unallocated", "keys"}}
	for _, v := range b.Budgets {
		t.Rows = append(t.Rows, []string{string(v.Budget), tokens(v.Paid), tokens(v.Spent), tokens(v.Lost),
			tokens(v.Unspent()), tokens(v.Unallocated), strconv.Itoa(len(v.Keys))})
	}
	return []Table{t}
}

// BalanceView is the balance of one budget in total and by region.
type BalanceView struct {
	operator.Balance
	Remaining budget.Tokens `json:"left_tokens"`
}

// Tables implements Result.
func (b BalanceView) Tables() []Table {
	summary := (&Balances{Budgets: []operator.Balance{b.Balance}}).Tables()
	regions := Table{Title: "regions (bills of the last minute may be missing)", Columns: []string{"region", "drawn", "spent", "lost"}}
	for _, r := range b.Regions {
		regions.Rows = append(regions.Rows, []string{r.Region, tokens(r.Drawn), tokens(r.Spent), tokens(r.Lost)})
	}
	return append(summary, regions)
}

// TopUpView is the result of a top-up.
type TopUpView struct {
	Budget budget.ID     `json:"budget"`
	ID     string        `json:"id"`
	Amount budget.Tokens `json:"amount_tokens"`
	// Counted is false if a top-up with the same ID was applied before.
	Counted   bool          `json:"counted_now"`
	Paid      budget.Tokens `json:"paid_tokens"`
	Remaining budget.Tokens `json:"left_tokens"`
}

// Tables implements Result.
func (v TopUpView) Tables() []Table {
	text := fmt.Sprintf("top-up %q of %d tokens applied", v.ID, v.Amount)
	if !v.Counted {
		text = fmt.Sprintf("top-up %q was applied before, nothing changed", v.ID)
	}
	return []Table{{Title: fmt.Sprintf("%s; %s has %d tokens paid and %d left", text, v.Budget, v.Paid, v.Remaining)}}
}

// AddTopUp adds a payment to a budget. It is idempotent: a payment with the same
// topUpID is added once.
func (s *BudgetStore) AddTopUp(ctx context.Context, id budget.ID, topUpID string, amount budget.Tokens) (TopUpView, error) {
	counted, err := s.TopUp(ctx, id, topUpID, amount)
	if err != nil {
		return TopUpView{}, err
	}
	v := TopUpView{Budget: id, ID: topUpID, Amount: amount, Counted: counted}
	// The top-up has succeeded, so a failure to read the balance is not reported
	// as an error of the command.
	if b, err := s.Balance(ctx, id); err == nil {
		v.Paid, v.Remaining = b.Paid, b.Unspent()
	}
	return v, nil
}

// KeyView is the result of a command that issues, lists, revokes or rotates keys.
type KeyView struct {
	Budget budget.ID `json:"budget"`
	// Key is the full key. Only its hash is stored, so it is shown only once.
	Key     string   `json:"key,omitempty"`
	KeyID   string   `json:"key_id,omitempty"`
	Revoked string   `json:"revoked_key_id,omitempty"`
	KeyIDs  []string `json:"key_ids,omitempty"`
}

// Tables implements Result.
func (v KeyView) Tables() []Table {
	var tables []Table
	if v.Key != "" {
		tables = append(tables, Table{Title: "save this key now, it is not shown again",
			Columns: []string{"key id", "key"}, Rows: [][]string{{v.KeyID, v.Key}}})
	}
	if v.Revoked != "" {
		tables = append(tables, Table{Title: fmt.Sprintf("key %s is revoked; routers in contact with a holder refuse it within 30 s", v.Revoked)})
	}
	if v.KeyIDs != nil {
		t := Table{Title: fmt.Sprintf("%d keys of %s", len(v.KeyIDs), v.Budget), Columns: []string{"key id"}}
		for _, id := range v.KeyIDs {
			t.Rows = append(t.Rows, []string{id})
		}
		tables = append(tables, t)
	}
	return tables
}

// RotateKey issues a new key and then revokes the key oldKeyID. If the revocation
// fails, the new key is returned together with the error.
func (s *BudgetStore) RotateKey(ctx context.Context, id budget.ID, oldKeyID string) (KeyView, error) {
	b, err := s.Balance(ctx, id)
	if err != nil {
		return KeyView{}, err
	}
	if !slices.Contains(b.Keys, oldKeyID) {
		return KeyView{}, fmt.Errorf("%w: %s", operator.ErrNoKey, oldKeyID)
	}
	v := KeyView{Budget: id}
	if v.Key, v.KeyID, err = s.IssueKey(ctx, id); err != nil {
		return KeyView{}, err
	}
	if err = s.RevokeKey(ctx, id, oldKeyID); err == nil {
		v.Revoked = oldKeyID
	}
	return v, err
}

// BillItem is one bill of an itemised statement.
type BillItem struct {
	Time    time.Time     `json:"time"`
	Request uuid.UUID     `json:"request"`
	Target  string        `json:"target"`
	Server  string        `json:"server"`
	Region  string        `json:"region"`
	Prompt  budget.Tokens `json:"prompt_tokens"`
	Output  budget.Tokens `json:"output_tokens"`
	Amount  budget.Tokens `json:"amount_tokens"`
	// Estimated is set if the router estimated the bill because the agent was lost.
	Estimated bool `json:"estimated"`
}

// LossItem is an amount that counts as spent because its bills cannot be
// recovered.
type LossItem struct {
	Time   time.Time     `json:"time"`
	Amount budget.Tokens `json:"amount_tokens"`
	Router string        `json:"router"`
	Agents []string      `json:"agents"`
}

// TargetTotal is the sum of the bills of one model or service.
type TargetTotal struct {
	Target string        `json:"target"`
	Bills  int           `json:"bills"`
	Amount budget.Tokens `json:"amount_tokens"`
}

// Bills is an itemised statement of a budget.
type Bills struct {
	Budget budget.ID  `json:"budget"`
	Since  *time.Time `json:"since,omitempty"`
	Until  *time.Time `json:"until,omitempty"`
	Items  []BillItem `json:"bills"`
	// Losses are listed apart from the bills so that they can be credited.
	Losses []LossItem    `json:"losses"`
	Totals []TargetTotal `json:"totals"`
	// Billed and Lost are the sums of Items and Losses.
	Billed budget.Tokens `json:"billed_tokens"`
	Lost   budget.Tokens `json:"lost_tokens"`
	// Balance is the current balance, not limited to Since and Until.
	Balance operator.Balance `json:"balance"`
}

// ListBills reads the bills of a budget with times in [since, until). A zero time
// means no limit.
func (s *BudgetStore) ListBills(ctx context.Context, id budget.ID, since, until time.Time) (*Bills, error) {
	balance, err := s.Balance(ctx, id)
	if err != nil {
		return nil, err
	}
	statement, err := s.Statement(ctx, id, s.RegionNames())
	if err != nil {
		return nil, err
	}
	b := &Bills{Budget: id, Balance: balance, Items: []BillItem{}, Losses: []LossItem{}, Totals: []TargetTotal{}}
	if !since.IsZero() {
		b.Since = &since
	}
	if !until.IsZero() {
		b.Until = &until
	}
	within := func(at time.Time) bool { return !at.Before(since) && (until.IsZero() || at.Before(until)) }
	for _, bill := range statement.Bills {
		if within(bill.Time()) {
			b.addBill(bill)
		}
	}
	for _, loss := range statement.Losses {
		if at := time.UnixMilli(loss.UnixMilli).UTC(); within(at) {
			b.Lost += loss.Amount
			b.Losses = append(b.Losses, LossItem{Time: at, Amount: loss.Amount, Router: loss.Router.Name, Agents: loss.Agents})
		}
	}
	return b, nil
}

func (b *Bills) addBill(bill budget.Bill) {
	b.Billed += bill.Amount
	b.Items = append(b.Items, BillItem{
		Time: bill.Time().UTC(), Request: bill.Request, Target: bill.Target, Server: bill.Server,
		Region: bill.Lot.Account.Region, Prompt: bill.Prompt, Output: bill.Output, Amount: bill.Amount, Estimated: bill.Estimated,
	})
	i := slices.IndexFunc(b.Totals, func(t TargetTotal) bool { return t.Target == bill.Target })
	if i < 0 {
		i = len(b.Totals)
		b.Totals = append(b.Totals, TargetTotal{Target: bill.Target})
	}
	b.Totals[i].Bills++
	b.Totals[i].Amount += bill.Amount
}

// Tables implements Result.
func (b *Bills) Tables() []Table {
	items := Table{
		Title:   fmt.Sprintf("bills of %s", b.Budget),
		Columns: []string{"time", "request", "target", "server", "region", "prompt", "output", "amount", "estimated"},
	}
	for _, i := range b.Items {
		items.Rows = append(items.Rows, []string{i.Time.Format(time.RFC3339Nano), i.Request.String(), i.Target, i.Server, i.Region,
			tokens(i.Prompt), tokens(i.Output), tokens(i.Amount), strconv.FormatBool(i.Estimated)})
	}
	totals := Table{Title: "totals", Columns: []string{"target", "bills", "amount"}}
	for _, t := range b.Totals {
		totals.Rows = append(totals.Rows, []string{t.Target, strconv.Itoa(t.Bills), tokens(t.Amount)})
	}
	totals.Rows = append(totals.Rows, []string{"all", strconv.Itoa(len(b.Items)), tokens(b.Billed)})
	losses := Table{
		Title:   fmt.Sprintf("losses: %d tokens count as spent without a bill and can be credited", b.Lost),
		Columns: []string{"time", "amount", "router", "agents"},
	}
	for _, l := range b.Losses {
		losses.Rows = append(losses.Rows, []string{l.Time.Format(time.RFC3339), tokens(l.Amount), l.Router, strings.Join(l.Agents, " ")})
	}
	state := Table{Title: fmt.Sprintf("balance now: paid %d, spent %d, lost %d, left %d (bills of the last minute may be missing)",
		b.Balance.Paid, b.Balance.Spent, b.Balance.Lost, b.Balance.Unspent())}
	return []Table{items, totals, losses, state}
}

func tokens(t budget.Tokens) string { return strconv.FormatInt(int64(t), 10) }

// Workspaces lists configured workspaces.
type Workspaces struct {
	Workspaces []config.Workspace `json:"workspaces"`
}

// ListWorkspaces returns the configured workspaces sorted by name, or only the
// named one if name is not empty.
func ListWorkspaces(snapshot *config.Snapshot, name string) (*Workspaces, error) {
	out := &Workspaces{Workspaces: []config.Workspace{}}
	for _, w := range snapshot.Workspaces {
		if name == "" || w.Name == name {
			out.Workspaces = append(out.Workspaces, w)
		}
	}
	if name != "" && len(out.Workspaces) == 0 {
		return nil, InputErrorf("workspace %q is not configured", name)
	}
	slices.SortFunc(out.Workspaces, func(a, b config.Workspace) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

// Tables implements Result.
func (w *Workspaces) Tables() []Table {
	t := Table{Columns: []string{"workspace", "home region", "models", "services", "max concurrent", "requests/s", "priority"}}
	for _, v := range w.Workspaces {
		t.Rows = append(t.Rows, []string{v.Name, v.HomeRegion, strings.Join(v.Models, " "), strings.Join(v.Services, " "),
			strconv.Itoa(v.MaxConcurrent), strconv.FormatFloat(v.RequestsPerSecond, 'g', -1, 64), strconv.Itoa(int(v.Priority))})
	}
	return []Table{t}
}
