package ctl

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/config"
	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Status is the state of the fleet and the store.
type Status struct {
	Store    StoreStatus     `json:"store"`
	Domains  []DomainStatus  `json:"domains"`
	Accounts []AccountStatus `json:"accounts"`
	// OutOfReach lists the amounts that accounts have drawn but cannot spend at
	// present, and those that are lost.
	OutOfReach []OutOfReach `json:"out_of_reach"`
	// Unreachable lists the hosts on the host list whose status call failed.
	Unreachable []Unreachable      `json:"unreachable"`
	Processes   []wire.AdminStatus `json:"processes"`
}

// StoreStatus is the state of the store as seen from the tool.
type StoreStatus struct {
	Reachable bool   `json:"reachable"`
	Error     string `json:"error,omitempty"`
	// ConfigVersion is the configuration version in the store.
	ConfigVersion int64  `json:"config_version,omitempty"`
	Author        string `json:"author,omitempty"`
	// OldestContactMillis is the longest time in milliseconds since a process that
	// replied was last in contact with the store, -1 if one has had no contact.
	OldestContactMillis int64 `json:"oldest_contact_millis"`
}

// DomainStatus is the state of one failure domain.
type DomainStatus struct {
	Region  string        `json:"region"`
	Domain  string        `json:"domain"`
	Routers ProcessCounts `json:"routers"`
	Agents  ProcessCounts `json:"agents"`
	// Versions lists the configuration versions that the processes use, ascending.
	// Unconfirmed is the number of processes that have not synced with the store
	// since they started.
	Versions    []int64 `json:"config_versions"`
	Unconfirmed int     `json:"unconfirmed"`
	// InForce is set if all processes that replied are synced and use the same
	// version, at least the store's if the store is reachable.
	InForce bool `json:"in_force"`
}

// ProcessCounts is the number of processes of one role by state.
type ProcessCounts struct {
	Known     int `json:"known"`
	Reachable int `json:"reachable"`
	Ready     int `json:"ready"`
	Leaving   int `json:"leaving"`
}

func (p ProcessCounts) text() string {
	text := fmt.Sprintf("%d of %d, %d ready", p.Reachable, p.Known, p.Ready)
	if p.Leaving > 0 {
		text += fmt.Sprintf(", %d leaving", p.Leaving)
	}
	return text
}

// AccountStatus is the state of an account and its holder.
type AccountStatus struct {
	Shard  budget.Shard `json:"shard"`
	Region string       `json:"region"`
	Holder string       `json:"holder"`
	Epoch  uint64       `json:"epoch"`
	// Live is set if the router that Holder names reports that it holds the account,
	// and no holder record has a later epoch. Budgets and PendingBills are known
	// only then.
	Live         bool `json:"live"`
	Budgets      int  `json:"budgets"`
	PendingBills int  `json:"pending_bills"`
	// State is "ok" or says in words what the account waits for.
	State string `json:"state"`
}

// OutOfReach is an amount of a budget that cannot be spent at present, or is lost.
type OutOfReach struct {
	Budget budget.ID `json:"budget"`
	Region string    `json:"region"`
	// Kind is "unreconciled", "dead router" or "lost": the amounts Unreconciled,
	// Fenced and Lost of budget.OutOfReach.
	Kind   string        `json:"kind"`
	Amount budget.Tokens `json:"amount_tokens"`
	// Returns describes when the amount becomes available again.
	Returns string `json:"returns"`
}

// Unreachable is a host whose status call failed.
type Unreachable struct {
	Name    string    `json:"name"`
	Role    wire.Role `json:"role"`
	Region  string    `json:"region"`
	Domain  string    `json:"domain"`
	Address string    `json:"address"`
	Leaving bool      `json:"leaving"`
	Error   string    `json:"error"`
}

// ReadStatus queries all processes and the store. If the store is unreachable,
// the status has what the processes report.
func ReadStatus(ctx context.Context, f *Fleet, kv store.KV) *Status {
	s := &Status{
		Domains: []DomainStatus{}, Accounts: []AccountStatus{}, OutOfReach: []OutOfReach{},
		Unreachable: []Unreachable{}, Processes: []wire.AdminStatus{},
	}
	results := CallAll[wire.AdminStatus](ctx, f, "", "Admin.Status", &wire.Empty{})
	s.readConfigVersion(ctx, kv)
	for _, result := range results {
		s.addProcess(result)
	}
	for i := range s.Domains {
		s.Domains[i].setInForce(s.Store)
	}
	s.addAccounts(ctx, kv)
	s.addOutOfReach()
	return s
}

func (s *Status) readConfigVersion(ctx context.Context, kv store.KV) {
	snapshot, _, err := ReadConfig(ctx, kv)
	if err != nil {
		s.Store.Error = err.Error()
		return
	}
	s.Store.Reachable, s.Store.ConfigVersion, s.Store.Author = true, snapshot.Version, snapshot.Head.Author
}

// domain returns the status of a failure domain, which it adds to s.Domains if it is not
// there yet. The pointer is valid until the next call.
func (s *Status) domain(region, domain string) *DomainStatus {
	i := slices.IndexFunc(s.Domains, func(d DomainStatus) bool { return d.Region == region && d.Domain == domain })
	if i < 0 {
		i = len(s.Domains)
		s.Domains = append(s.Domains, DomainStatus{Region: region, Domain: domain})
	}
	return &s.Domains[i]
}

func (s *Status) addProcess(result CallResult[wire.AdminStatus]) {
	d := s.domain(result.Host.Region, result.Host.Domain)
	counts := &d.Routers
	if result.Host.Role == wire.RoleAgent {
		counts = &d.Agents
	}
	counts.Known++
	if result.Host.Leaving {
		counts.Leaving++
	}
	if result.Err != nil {
		s.Unreachable = append(s.Unreachable, Unreachable{
			Name: result.Host.Name, Role: result.Host.Role, Region: result.Host.Region, Domain: result.Host.Domain,
			Address: result.Host.Address, Leaving: result.Host.Leaving, Error: result.Err.Error(),
		})
		return
	}
	counts.Reachable++
	if result.Reply.Ready {
		counts.Ready++
	}
	if !result.Reply.Synced {
		d.Unconfirmed++
	}
	if !slices.Contains(d.Versions, result.Reply.ConfigVersion) {
		d.Versions = append(d.Versions, result.Reply.ConfigVersion)
	}
	oldest := &s.Store.OldestContactMillis
	if result.Reply.LastContactMillis < 0 || *oldest >= 0 && result.Reply.LastContactMillis > *oldest {
		*oldest = result.Reply.LastContactMillis
	}
	s.Processes = append(s.Processes, result.Reply)
}

func (d *DomainStatus) setInForce(storeStatus StoreStatus) {
	slices.Sort(d.Versions)
	d.InForce = len(d.Versions) == 1 && (!storeStatus.Reachable || d.Versions[0] >= storeStatus.ConfigVersion) && d.Unconfirmed == 0
}

// addAccounts merges the accounts that the routers report with the holder records
// in the store.
func (s *Status) addAccounts(ctx context.Context, kv store.KV) {
	accounts := map[budget.Account]AccountStatus{}
	for _, p := range s.Processes {
		for _, a := range p.Accounts {
			key := budget.Account{Shard: a.Shard, Region: a.Region}
			if other, ok := accounts[key]; ok && other.Epoch > a.Epoch {
				continue
			}
			accounts[key] = AccountStatus{
				Shard: a.Shard, Region: a.Region, Holder: p.Name, Epoch: a.Epoch, Live: true,
				Budgets: a.Budgets, PendingBills: a.PendingBills, State: accountState(a),
			}
		}
	}
	records, err := kv.List(ctx, config.HolderPrefix)
	if err == nil {
		for _, e := range records.Entries {
			addHolderRecord(accounts, e)
		}
	}
	for _, account := range accounts {
		s.Accounts = append(s.Accounts, account)
	}
	slices.SortFunc(s.Accounts, func(a, b AccountStatus) int {
		return cmp.Or(cmp.Compare(a.Shard, b.Shard), strings.Compare(a.Region, b.Region))
	})
}

// addHolderRecord adds the account of a holder record, unless a router reports it
// with the same or a later epoch.
func addHolderRecord(accounts map[budget.Account]AccountStatus, e store.Entry) {
	key, err := config.ParseHolderKey(e.Key)
	if err != nil {
		return
	}
	record, err := config.DecodeHolder(e.Value)
	reported, known := accounts[key]
	switch {
	case err != nil:
		accounts[key] = AccountStatus{Shard: key.Shard, Region: key.Region, State: "holder record is damaged: " + err.Error()}
	case known && reported.Epoch >= record.Epoch:
	case record.Released:
		accounts[key] = AccountStatus{Shard: key.Shard, Region: key.Region, Holder: record.Name, Epoch: record.Epoch,
			State: "released by its holder; a router takes it over at the next request"}
	default:
		accounts[key] = AccountStatus{Shard: key.Shard, Region: key.Region, Holder: record.Name, Epoch: record.Epoch,
			State: "holder does not respond; another router takes it over at the next request, after the holder has been unreachable for 3 s"}
	}
}

func accountState(a wire.AdminAccount) string {
	switch {
	case a.Reconciling:
		return "settling the escrow of a former holder"
	case len(a.FencedRouters) > 0:
		return "settling the lots of " + strings.Join(a.FencedRouters, " ")
	}
	return "ok"
}

// addOutOfReach adds the amounts that the holders report as unavailable.
func (s *Status) addOutOfReach() {
	note := s.unreachableAgentsNote()
	for _, p := range s.Processes {
		for _, a := range p.Accounts {
			for _, o := range a.OutOfReach {
				for _, part := range []OutOfReach{
					{Kind: "unreconciled", Amount: o.Unreconciled, Returns: "when all routers of the region and all agents have answered the new holder, usually within 1 s" + note},
					{Kind: "dead router", Amount: o.Fenced, Returns: "when all agents have answered and the requests of " + strings.Join(a.FencedRouters, " ") + " have ended" + note},
					{Kind: "lost", Amount: o.Lost, Returns: "never by itself; it counts as spent, and a top-up can credit it"},
				} {
					if part.Amount > 0 {
						part.Budget, part.Region = o.Budget, a.Region
						s.OutOfReach = append(s.OutOfReach, part)
					}
				}
			}
		}
	}
}

// unreachableAgentsNote lists the unreachable agents whose reply delays the return
// of an amount, or returns "" if all agents are reachable.
func (s *Status) unreachableAgentsNote() string {
	var names []string
	for _, u := range s.Unreachable {
		if u.Role == wire.RoleAgent {
			names = append(names, u.Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return "; waiting for " + strings.Join(names, " ") + "; the part of an agent is lost if it restarts, or is unreachable for 10 minutes after its removal from the host list"
}

// Tables implements Result.
func (s *Status) Tables() []Table {
	domains := Table{Title: s.storeLine(), Columns: []string{"region", "domain", "routers", "agents", "config", "confirmed"}}
	for _, d := range s.Domains {
		domains.Rows = append(domains.Rows, []string{d.Region, d.Domain, d.Routers.text(), d.Agents.text(), d.versionText(), d.confirmedText()})
	}
	tables := []Table{domains}
	accounts := Table{Title: "accounts", Columns: []string{"shard", "region", "holder", "epoch", "budgets", "bills not durable", "state"}}
	for _, a := range s.Accounts {
		accounts.Rows = append(accounts.Rows, []string{strconv.Itoa(int(a.Shard)), a.Region, a.Holder,
			strconv.FormatUint(a.Epoch, 10), strconv.Itoa(a.Budgets), strconv.Itoa(a.PendingBills), a.State})
	}
	if len(accounts.Rows) == 0 {
		accounts.Title = "accounts: none is held yet; each is taken at its first request"
	}
	outOfReach := Table{Title: "out of reach: nothing"}
	if len(s.OutOfReach) > 0 {
		outOfReach = Table{Title: "out of reach", Columns: []string{"budget", "region", "kind", "tokens", "returns"}}
	}
	for _, o := range s.OutOfReach {
		outOfReach.Rows = append(outOfReach.Rows, []string{string(o.Budget), o.Region, o.Kind, tokens(o.Amount), o.Returns})
	}
	tables = append(tables, accounts, outOfReach)
	if len(s.Unreachable) > 0 {
		unreachable := Table{Title: "not reachable", Columns: []string{"host", "role", "region", "domain", "address", "error"}}
		for _, u := range s.Unreachable {
			unreachable.Rows = append(unreachable.Rows, []string{u.Name, string(u.Role), u.Region, u.Domain, u.Address, u.Error})
		}
		tables = append(tables, unreachable)
	}
	return tables
}

func (s *Status) storeLine() string {
	if !s.Store.Reachable {
		return "store: not reachable from here: " + s.Store.Error
	}
	contact := "a process has had no contact with it"
	if s.Store.OldestContactMillis >= 0 {
		contact = "the oldest contact of a process is " + (time.Duration(s.Store.OldestContactMillis) * time.Millisecond).String() + " ago"
	}
	return fmt.Sprintf("store: reachable, configuration %d by %s; %s", s.Store.ConfigVersion, orDash(s.Store.Author), contact)
}

func (d *DomainStatus) versionText() string {
	var versions []string
	for _, v := range d.Versions {
		versions = append(versions, strconv.FormatInt(v, 10))
	}
	text := strings.Join(versions, " ")
	if d.InForce {
		text += " in force"
	}
	return orDash(text)
}

func (d *DomainStatus) confirmedText() string {
	if d.Unconfirmed == 0 {
		return "all"
	}
	return fmt.Sprintf("%d not", d.Unconfirmed)
}
