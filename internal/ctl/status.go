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

// Status is the state of the whole fleet.
type Status struct {
	Store    StoreStatus    `json:"store"`
	Domains  []DomainStatus `json:"domains"`
	Accounts []HolderStatus `json:"accounts"`
	// OutOfReach lists the amounts that count as drawn and cannot be spent now.
	OutOfReach []OutOfReach `json:"out_of_reach"`
	// Unreachable lists the hosts of the host list that did not answer.
	Unreachable []Unreachable      `json:"unreachable"`
	Processes   []wire.AdminStatus `json:"processes"`
}

// StoreStatus is the store as the tool sees it.
type StoreStatus struct {
	Reachable bool   `json:"reachable"`
	Error     string `json:"error,omitempty"`
	// ConfigVersion is the version of the configuration in the store.
	ConfigVersion int64  `json:"config_version,omitempty"`
	Author        string `json:"author,omitempty"`
	// OldestContactMillis is the age of the oldest last contact with the store
	// among the processes that answered, -1 if one never had any.
	OldestContactMillis int64 `json:"oldest_contact_millis"`
}

// DomainStatus is the state of one failure domain.
type DomainStatus struct {
	Region  string      `json:"region"`
	Domain  string      `json:"domain"`
	Routers ProcessInfo `json:"routers"`
	Agents  ProcessInfo `json:"agents"`
	// Versions are the versions of the configuration in force, ascending.
	// Unconfirmed counts the processes that have not heard from the store since
	// they started.
	Versions    []int64 `json:"config_versions"`
	Unconfirmed int     `json:"unconfirmed"`
	// InForce is set if all processes that replied have the store's version.
	InForce bool `json:"in_force"`
}

// ProcessInfo counts the processes of a role.
type ProcessInfo struct {
	Known     int `json:"known"`
	Reachable int `json:"reachable"`
	Ready     int `json:"ready"`
	Leaving   int `json:"leaving"`
}

func (p ProcessInfo) text() string {
	text := fmt.Sprintf("%d of %d, %d ready", p.Reachable, p.Known, p.Ready)
	if p.Leaving > 0 {
		text += fmt.Sprintf(", %d leaving", p.Leaving)
	}
	return text
}

// HolderStatus is the holder of one account.
type HolderStatus struct {
	Shard  budget.Shard `json:"shard"`
	Region string       `json:"region"`
	Holder string       `json:"holder"`
	Epoch  uint64       `json:"epoch"`
	// Live is set if the router that the record names says that it holds the
	// account.
	Live         bool   `json:"live"`
	Budgets      int    `json:"budgets"`
	PendingBills int    `json:"pending_bills"`
	State        string `json:"state"`
}

// OutOfReach is an amount that cannot be spent now.
type OutOfReach struct {
	Budget budget.ID     `json:"budget"`
	Region string        `json:"region"`
	Kind   string        `json:"kind"`
	Amount budget.Tokens `json:"amount_tokens"`
	// Returns says when the amount can be spent again.
	Returns string `json:"returns"`
}

// Unreachable is a host that did not answer.
type Unreachable struct {
	Name    string    `json:"name"`
	Role    wire.Role `json:"role"`
	Region  string    `json:"region"`
	Domain  string    `json:"domain"`
	Address string    `json:"address"`
	Leaving bool      `json:"leaving"`
	Error   string    `json:"error"`
}

// ReadStatus asks all processes and the store. kv may be unreachable; the rest is
// still shown.
func ReadStatus(ctx context.Context, f *Fleet, kv store.KV) *Status {
	s := &Status{
		Domains: []DomainStatus{}, Accounts: []HolderStatus{}, OutOfReach: []OutOfReach{},
		Unreachable: []Unreachable{}, Processes: []wire.AdminStatus{},
	}
	answers := CallAll[wire.AdminStatus](ctx, f, "", "Admin.Status", &wire.Empty{})
	s.readStore(ctx, kv)
	for _, a := range answers {
		s.addProcess(a)
	}
	for i := range s.Domains {
		s.Domains[i].finish(s.Store)
	}
	s.addAccounts(ctx, kv)
	s.addOutOfReach()
	return s
}

func (s *Status) readStore(ctx context.Context, kv store.KV) {
	snapshot, _, err := LoadConfig(ctx, kv)
	if err != nil {
		s.Store.Error = err.Error()
		return
	}
	s.Store.Reachable, s.Store.ConfigVersion, s.Store.Author = true, snapshot.Version, snapshot.Head.Author
}

func (s *Status) domain(region, domain string) *DomainStatus {
	i := slices.IndexFunc(s.Domains, func(d DomainStatus) bool { return d.Region == region && d.Domain == domain })
	if i < 0 {
		i = len(s.Domains)
		s.Domains = append(s.Domains, DomainStatus{Region: region, Domain: domain})
	}
	return &s.Domains[i]
}

func (s *Status) addProcess(a CallResult[wire.AdminStatus]) {
	d := s.domain(a.Host.Region, a.Host.Domain)
	info := &d.Routers
	if a.Host.Role == wire.RoleAgent {
		info = &d.Agents
	}
	info.Known++
	if a.Host.Leaving {
		info.Leaving++
	}
	if a.Err != nil {
		s.Unreachable = append(s.Unreachable, Unreachable{
			Name: a.Host.Name, Role: a.Host.Role, Region: a.Host.Region, Domain: a.Host.Domain,
			Address: a.Host.Address, Leaving: a.Host.Leaving, Error: a.Err.Error(),
		})
		return
	}
	info.Reachable++
	if a.Reply.Ready {
		info.Ready++
	}
	if !a.Reply.Synced {
		d.Unconfirmed++
	}
	if !slices.Contains(d.Versions, a.Reply.ConfigVersion) {
		d.Versions = append(d.Versions, a.Reply.ConfigVersion)
	}
	oldest := &s.Store.OldestContactMillis
	if a.Reply.LastContactMillis < 0 || *oldest >= 0 && a.Reply.LastContactMillis > *oldest {
		*oldest = a.Reply.LastContactMillis
	}
	s.Processes = append(s.Processes, a.Reply)
}

func (d *DomainStatus) finish(st StoreStatus) {
	slices.Sort(d.Versions)
	d.InForce = len(d.Versions) == 1 && (!st.Reachable || d.Versions[0] >= st.ConfigVersion) && d.Unconfirmed == 0
}

// addAccounts joins the holder records with what the routers say.
func (s *Status) addAccounts(ctx context.Context, kv store.KV) {
	live := map[budget.Account]HolderStatus{}
	for _, p := range s.Processes {
		for _, a := range p.Accounts {
			key := budget.Account{Shard: a.Shard, Region: a.Region}
			if h, ok := live[key]; ok && h.Epoch > a.Epoch {
				continue
			}
			live[key] = HolderStatus{
				Shard: a.Shard, Region: a.Region, Holder: p.Name, Epoch: a.Epoch, Live: true,
				Budgets: a.Budgets, PendingBills: a.PendingBills, State: accountState(a),
			}
		}
	}
	records, err := kv.List(ctx, config.HolderPrefix)
	if err == nil {
		for _, e := range records.Entries {
			addRecord(live, e)
		}
	}
	for _, h := range live {
		s.Accounts = append(s.Accounts, h)
	}
	slices.SortFunc(s.Accounts, func(a, b HolderStatus) int {
		return cmp.Or(cmp.Compare(a.Shard, b.Shard), strings.Compare(a.Region, b.Region))
	})
}

// addRecord adds a holder record for which no router answers.
func addRecord(live map[budget.Account]HolderStatus, e store.Entry) {
	key, err := config.ParseHolderKey(e.Key)
	if err != nil {
		return
	}
	record, err := config.DecodeHolder(e.Value)
	h, known := live[key]
	switch {
	case err != nil:
		live[key] = HolderStatus{Shard: key.Shard, Region: key.Region, State: "holder record is damaged: " + err.Error()}
	case known && h.Epoch >= record.Epoch:
	case record.Released:
		live[key] = HolderStatus{Shard: key.Shard, Region: key.Region, Holder: record.Name, Epoch: record.Epoch,
			State: "handed over; taken over at the next request"}
	default:
		live[key] = HolderStatus{Shard: key.Shard, Region: key.Region, Holder: record.Name, Epoch: record.Epoch,
			State: "holder does not answer; taken over at the next request, 3 s after its death"}
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

// addOutOfReach lists the amounts that the holders name.
func (s *Status) addOutOfReach() {
	agents := s.silentAgents()
	for _, p := range s.Processes {
		for _, a := range p.Accounts {
			for _, o := range a.OutOfReach {
				for _, part := range []OutOfReach{
					{Kind: "unreconciled", Amount: o.Unreconciled, Returns: "when all routers of the region and all agents have answered the new holder, usually within 1 s" + agents},
					{Kind: "dead router", Amount: o.Fenced, Returns: "when all agents have answered and the requests of " + strings.Join(a.FencedRouters, " ") + " have ended" + agents},
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

// silentAgents names what the return of an amount waits for.
func (s *Status) silentAgents() string {
	var names []string
	for _, u := range s.Unreachable {
		if u.Role == wire.RoleAgent {
			names = append(names, u.Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return "; waiting for " + strings.Join(names, " ") + ", whose part is lost if it restarts, or stays away for 10 minutes after the host list has dropped it"
}

// Tables implements Result.
func (s *Status) Tables() []Table {
	domains := Table{Title: s.storeLine(), Columns: []string{"region", "domain", "routers", "agents", "config", "confirmed"}}
	for _, d := range s.Domains {
		domains.Rows = append(domains.Rows, []string{d.Region, d.Domain, d.Routers.text(), d.Agents.text(), d.versionText(), d.confirmedText()})
	}
	tables := []Table{domains}
	accounts := Table{Title: "accounts", Columns: []string{"shard", "region", "holder", "epoch", "budgets", "bills not durable", "state"}}
	for _, h := range s.Accounts {
		accounts.Rows = append(accounts.Rows, []string{strconv.Itoa(int(h.Shard)), h.Region, h.Holder,
			strconv.FormatUint(h.Epoch, 10), strconv.Itoa(h.Budgets), strconv.Itoa(h.PendingBills), h.State})
	}
	if len(accounts.Rows) == 0 {
		accounts.Title = "accounts: none is held yet; each is taken at its first request"
	}
	reach := Table{Title: "out of reach: nothing"}
	if len(s.OutOfReach) > 0 {
		reach = Table{Title: "out of reach", Columns: []string{"budget", "region", "kind", "tokens", "returns"}}
	}
	for _, o := range s.OutOfReach {
		reach.Rows = append(reach.Rows, []string{string(o.Budget), o.Region, o.Kind, tokens(o.Amount), o.Returns})
	}
	tables = append(tables, accounts, reach)
	if len(s.Unreachable) > 0 {
		lost := Table{Title: "not reachable", Columns: []string{"host", "role", "region", "domain", "address", "error"}}
		for _, u := range s.Unreachable {
			lost.Rows = append(lost.Rows, []string{u.Name, string(u.Role), u.Region, u.Domain, u.Address, u.Error})
		}
		tables = append(tables, lost)
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
	return fmt.Sprintf("store: reachable, configuration %d by %s; %s", s.Store.ConfigVersion, orNone(s.Store.Author), contact)
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
	return orNone(text)
}

func (d *DomainStatus) confirmedText() string {
	if d.Unconfirmed == 0 {
		return "all"
	}
	return fmt.Sprintf("%d not", d.Unconfirmed)
}
